package member

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"
)

const (
	noticeEvery = 500 * time.Millisecond // repetition to those who have not acknowledged
	fanTimeout  = 3 * time.Second        // after which a representative answers with the nodes that are missing
	fanKeep     = 30 * time.Second       // the answer is kept for repeated notices
	maxFans     = 256
)

// notice is a record that each node has to acknowledge: the own drain, or one that this representative passes on.
type notice struct {
	seq      uint64
	record   Node
	nodes    map[string]bool // of the own data centre, not yet acknowledged
	regions  map[string]bool // other data centres, not yet acknowledged
	missing  []string        // reported by other data centres
	next     time.Time
	deadline time.Time
	done     bool

	origin    string // of a notice that is passed on
	originSeq uint64
	expires   time.Time
}

// startDrain tells all nodes that this one is about to stop and collects their acknowledgements.
func (m *Machine) startDrain(now time.Time) {
	if m.left || m.self.State != Alive {
		return
	}
	m.setSelf(m.self.Incarnation+1, Draining)
	n := m.newNotice(now, m.cfg.DrainTimeout)
	for _, dc := range m.dcs {
		n.regions[dc] = true
	}
	m.drain = n
	m.pushNotice(now, n)
}

func (m *Machine) newNotice(now time.Time, timeout time.Duration) *notice {
	m.seq++
	n := &notice{
		seq: m.seq, nodes: map[string]bool{}, regions: map[string]bool{}, next: now, deadline: now.Add(timeout),
	}
	for _, e := range m.peers() {
		n.nodes[e.ID] = true
	}
	return n
}

// pushNotice sends a notice to all who have not acknowledged it and ends it when there are none left.
func (m *Machine) pushNotice(now time.Time, n *notice) {
	if n.done {
		return
	}
	for id := range n.nodes {
		e := m.nodes[id]
		if e != nil && e.State < Failed {
			continue
		}
		delete(n.nodes, id)
		if e != nil && e.State == Failed {
			n.missing = append(n.missing, id) // it may only be cut off and still hand the address out
		}
	}
	if len(n.nodes)+len(n.regions) == 0 || !now.Before(n.deadline) {
		m.endNotice(n)
		return
	}
	if now.Before(n.next) {
		return
	}
	n.next = now.Add(noticeEvery)
	record := n.record
	if n == m.drain {
		record = m.self
	}
	msg := Message{Kind: KindNotice, Seq: n.seq, Updates: []Node{record}}
	for _, id := range slices.Sorted(maps.Keys(n.nodes)) {
		m.send(m.nodes[id], msg)
	}
	msg.Relay = true
	for _, dc := range slices.Sorted(maps.Keys(n.regions)) {
		if e := m.contact(dc, false); e != nil {
			m.send(e, msg)
		}
	}
}

func (m *Machine) endNotice(n *notice) {
	n.done = true
	missing := append(slices.Sorted(maps.Keys(n.nodes)), slices.Sorted(maps.Keys(n.regions))...)
	missing = append(missing, n.missing...)
	slices.Sort(missing)
	n.missing = slices.Compact(missing)
	if n.origin == "" {
		m.emit(DrainDone{Missing: n.missing})
		return
	}
	m.answerNotice(n)
}

func (m *Machine) answerNotice(n *notice) {
	if e := m.nodes[n.origin]; e != nil {
		m.send(e, Message{
			Kind: KindNoticeAck, Seq: n.originSeq, DataCentre: m.self.DataCentre, Missing: n.missing, Relay: true,
		})
	}
}

// takeNotice acknowledges a notice, after passing it on to the whole data centre if it came from another one.
func (m *Machine) takeNotice(now time.Time, msg Message) {
	if !msg.Relay {
		m.reply(msg, Message{Kind: KindNoticeAck, Seq: msg.Seq})
		return
	}
	if len(msg.Updates) != 1 || m.nodes[msg.From] == nil || msg.Updates[0].ID != msg.From {
		return
	}
	key := fmt.Sprintf("%s %d", msg.From, msg.Seq)
	if n := m.fans[key]; n != nil {
		if n.done {
			m.answerNotice(n)
		}
		return
	}
	if len(m.fans) >= maxFans {
		return // another representative is tried with the repetition
	}
	n := m.newNotice(now, fanTimeout)
	n.record, n.origin, n.originSeq, n.expires = msg.Updates[0], msg.From, msg.Seq, now.Add(fanKeep)
	m.fans[key] = n
	m.pushNotice(now, n)
}

func (m *Machine) takeNoticeAck(now time.Time, msg Message) {
	if d := m.drain; d != nil && !d.done && d.seq == msg.Seq {
		if msg.Relay {
			if d.regions[msg.DataCentre] {
				delete(d.regions, msg.DataCentre)
				d.missing = append(d.missing, msg.Missing...)
			}
		} else {
			delete(d.nodes, msg.From)
		}
		m.pushNotice(now, d)
		return
	}
	for _, n := range m.fans {
		if n.seq == msg.Seq && !n.done {
			delete(n.nodes, msg.From)
			m.pushNotice(now, n)
			return
		}
	}
}

func (m *Machine) tickNotices(now time.Time) {
	if m.drain != nil {
		m.pushNotice(now, m.drain)
	}
	for _, key := range slices.Sorted(maps.Keys(m.fans)) {
		m.pushNotice(now, m.fans[key])
		if now.After(m.fans[key].expires) {
			delete(m.fans, key)
		}
	}
}

// leave says goodbye to each node of the own data centre and to the representatives of the others.
func (m *Machine) leave() {
	if m.left {
		return
	}
	m.setSelf(m.self.Incarnation+1, Left)
	for _, e := range m.peers() {
		m.sendTo(e.ID, e.Address, Message{Kind: KindGossip, Updates: []Node{m.self}})
	}
	for _, dc := range m.dcs {
		for _, e := range m.reps[dc] {
			m.sendTo(e.ID, e.Address, Message{Kind: KindGossip, Updates: []Node{m.self}})
		}
	}
	m.left = true
}

// Nodes returns all listed nodes including this one, ordered by id. Failed and left ones are listed for ForgetAfter.
func (m *Machine) Nodes() []Node {
	out := []Node{m.self}
	for _, e := range m.nodes {
		out = append(out, e.Node)
	}
	slices.SortFunc(out, func(a, b Node) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

// Self returns this node's record.
func (m *Machine) Self() Node { return m.self }

// Representatives returns the elected nodes of a data centre, control nodes first.
func (m *Machine) Representatives(dc string) []string {
	m.refresh()
	list := m.reps[dc]
	if dc == m.self.DataCentre {
		list = m.elect(append([]*entry{{Node: m.self}}, m.local...))
	}
	var out []string
	for _, e := range list {
		out = append(out, e.ID)
	}
	return out
}

// Statuses returns what the data centres report about their nodes and the revisions in force there, by data centre.
// Only representatives hear the others; the control nodes of a data centre are its first representatives. A partition
// shows as an old HeardAt.
func (m *Machine) Statuses(now time.Time) map[string]Status {
	m.refresh()
	out := map[string]Status{}
	if !m.isRep {
		return out
	}
	for dc, r := range m.remotes {
		if !r.status.HeardAt.IsZero() {
			out[dc] = r.status
		}
	}
	own := *m.status()
	own.HeardAt = now
	out[m.self.DataCentre] = own
	return out
}

// Isolated reports whether this node hears from no other node and therefore doubts its own verdicts.
func (m *Machine) Isolated() bool { return m.isolated }
