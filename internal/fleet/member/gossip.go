package member

import (
	"cmp"
	"slices"
	"time"
)

// recordOverhead estimates the encoded size of a record without its strings.
const recordOverhead = 24

func (m *Machine) sendTo(id, address string, msg Message) {
	msg.From, msg.Incarnation, msg.Revision, msg.Hint = m.self.ID, m.self.Incarnation, m.self.Revision, m.hint
	m.emit(Send{ID: id, Address: address, Message: msg})
}

// send sends a message; inside the data centre pending changes travel with it.
func (m *Machine) send(e *entry, msg Message) {
	if e.DataCentre == m.self.DataCentre {
		if piggybacks(msg.Kind) {
			msg.Updates = m.pick(msg.Updates)
		}
		if m.isRep {
			msg.Silent = m.silent
		}
	}
	m.sendTo(e.ID, e.Address, msg)
}

// piggybacks reports whether messages of a kind carry pending changes. The records of a sync reply are a list of all
// nodes and must not be mixed with others.
func piggybacks(k Kind) bool { return k <= KindGossip }

// reply answers a message. A sender whose record has not arrived yet, e.g. because it has just joined, gets the answer
// over the connection that it uses; without an answer to its probes it would suspect this node.
func (m *Machine) reply(to Message, msg Message) {
	if e := m.nodes[to.From]; e != nil {
		m.send(e, msg)
		return
	}
	m.sendTo(to.From, "", msg)
}

// pick adds the least sent pending changes to a list of records, within the bounds of a message.
func (m *Machine) pick(with []Node) []Node {
	if len(m.queue) == 0 {
		return with
	}
	size, limit := 0, m.transmits()
	slices.SortStableFunc(m.queue, compareRumours)
	out := slices.Clone(with)
	keep := m.queue[:0]
	for _, r := range m.queue {
		n, ok := m.record(r.id)
		if !ok {
			continue
		}
		cost := recordOverhead + len(n.ID) + len(n.Address) + len(n.DataCentre) + len(n.Region) + len(n.Accuser) + len(n.Service)
		if len(out) < m.cfg.MaxUpdates && size+cost <= m.cfg.MaxUpdateBytes {
			size += cost
			out = append(out, n)
			r.sent++
		}
		if r.sent < limit && (!r.once || r.sent == 0) {
			keep = append(keep, r)
		}
	}
	m.queue = keep
	return out
}

// gossip sends pending changes and a new revision to a few random peers.
func (m *Machine) gossip() {
	if len(m.queue) == 0 && m.hintLeft == 0 {
		return
	}
	for _, e := range m.sample(m.cfg.Fanout, "") {
		m.send(e, Message{Kind: KindGossip})
		m.hintLeft = max(m.hintLeft-1, 0)
	}
}

func (m *Machine) syncRequest() Message {
	m.refresh()
	ds := []Digest{{m.self.DataCentre, m.digests[m.self.DataCentre]}}
	for _, dc := range m.dcs {
		ds = append(ds, Digest{dc, m.digests[dc]})
	}
	return Message{Kind: KindSync, Updates: []Node{m.self}, Digests: ds}
}

// answerSync sends the records of each data centre whose digest differs. A request without Target is about all data
// centres, one with Target only about that one.
func (m *Machine) answerSync(msg Message, corrections []Node) {
	m.refresh()
	if len(corrections) > 0 {
		m.reply(msg, Message{Kind: KindGossip, Updates: corrections})
	}
	theirs := map[string]uint64{}
	for _, d := range msg.Digests {
		theirs[d.DataCentre] = d.Hash
	}
	for _, dc := range append([]string{m.self.DataCentre}, m.dcs...) {
		if msg.Target != "" && msg.Target != dc || theirs[dc] == m.digests[dc] {
			continue
		}
		m.reply(msg, Message{
			Kind: KindSyncReply, Updates: m.recordsOf(dc), DataCentre: m.self.DataCentre,
			Digests: []Digest{{dc, m.digests[dc]}},
		})
	}
}

// recordsOf lists the records of a data centre that rest on more than this node's own verdict, ordered by id.
func (m *Machine) recordsOf(dc string) []Node {
	var out []Node
	if dc == m.self.DataCentre {
		out = append(out, m.self)
	}
	for _, e := range m.nodes {
		if e.DataCentre == dc && !e.local {
			n, _ := m.record(e.ID)
			out = append(out, n)
		}
	}
	slices.SortFunc(out, func(a, b Node) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

// takeSync compares the sender's list with the own records after they were merged and sends back what is newer or
// missing there. A sender that has forgotten a node answers with the verdict; one that never knew it takes it as new
// and, if it is of its data centre, probes it. So no list needs to be complete to be useful.
func (m *Machine) takeSync(msg Message) {
	listed := map[string]Node{}
	for _, n := range msg.Updates {
		listed[n.ID] = n
	}
	for _, d := range msg.Digests {
		var push []Node
		for _, n := range m.recordsOf(d.DataCentre) {
			theirs, ok := listed[n.ID]
			if !ok && n.State.Present() || ok && (n.Incarnation > theirs.Incarnation ||
				n.Incarnation == theirs.Incarnation && n.State > theirs.State) {
				push = append(push, n)
			}
		}
		if e := m.nodes[msg.From]; e != nil && len(push) > 0 {
			m.send(e, Message{Kind: KindSyncPush, Updates: push})
		}
	}
}

// reconnect tries to reach a node that is believed to have failed, and seeds that are not among the present nodes, so
// that two parts of the fleet that lost each other meet again.
func (m *Machine) reconnect(now time.Time) {
	alone := len(m.peers()) == 0
	if alone || m.isolated {
		m.nextReconnect = now.Add(m.cfg.ProbeEvery)
	}
	var failed []*entry
	known := map[string]bool{m.self.Address: true}
	for _, e := range m.nodes {
		if e.State == Failed && e.DataCentre == m.self.DataCentre {
			failed = append(failed, e)
		}
		known[e.Address] = known[e.Address] || e.State.Present() && !m.isolated && !alone
	}
	if len(failed) > 0 {
		slices.SortFunc(failed, func(a, b *entry) int { return cmp.Compare(a.ID, b.ID) })
		e := failed[m.rng.IntN(len(failed))]
		m.sendTo(e.ID, e.Address, m.syncRequest())
	}
	var seeds []string
	for _, a := range m.cfg.Seeds {
		if !known[a] {
			seeds = append(seeds, a)
		}
	}
	if len(seeds) > 0 {
		m.sendTo("", seeds[m.rng.IntN(len(seeds))], m.syncRequest())
	}
}
