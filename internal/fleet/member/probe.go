package member

import (
	"maps"
	"math"
	"slices"
	"time"
)

type probe struct {
	target   string
	seq      uint64
	started  time.Time
	indirect time.Time // when indirect pings are sent
	deadline time.Time
	asked    int // nodes asked for an indirect ping
	nacks    int
}

// relayedPing is a ping that this node sends for another one.
type relayedPing struct {
	origin   string
	seq      uint64
	deadline time.Time
}

const (
	maxHealth = 8
	// isolatedAfter is the number of probe periods without any message after which a node blames itself rather than
	// the others. A healthy node is pinged about once per period and receives an answer to its own ping.
	isolatedAfter = 3
	// confirmations shorten a suspicion from its maximum to its minimum.
	confirmations = 3
	// suspicionSpread is the ratio of the longest to the shortest suspicion.
	suspicionSpread = 3
)

func (m *Machine) sicker()    { m.health = min(m.health+1, maxHealth) }
func (m *Machine) healthier() { m.health = max(m.health-1, 0) }

func (m *Machine) tickProbe(now time.Time) {
	for _, seq := range slices.Sorted(maps.Keys(m.relays)) {
		if r := m.relays[seq]; !now.Before(r.deadline) {
			delete(m.relays, seq)
			if e := m.nodes[r.origin]; e != nil {
				m.send(e, Message{Kind: KindNack, Seq: r.seq})
			}
		}
	}
	if p := m.probe; p != nil {
		if !now.Before(p.deadline) {
			m.probe = nil
			m.probeFailed(now, p)
		} else if p.asked == 0 && !now.Before(p.indirect) {
			m.askOthers(p)
		}
	}
	if m.probe == nil && due(now, &m.nextProbe, m.cfg.ProbeEvery) {
		m.startProbe(now)
	}
}

// startProbe pings the next node of a random permutation, so that each node is probed within a bounded time.
func (m *Machine) startProbe(now time.Time) {
	for pass := 0; pass < 2; pass++ {
		for len(m.order) > 0 {
			e := m.nodes[m.order[0]]
			m.order = m.order[1:]
			if e != nil && e.State.Present() && e.DataCentre == m.self.DataCentre {
				scale := time.Duration(1 + m.health)
				m.seq++
				m.probe = &probe{
					target: e.ID, seq: m.seq, started: now,
					indirect: now.Add(m.cfg.ProbeTimeout * scale), deadline: now.Add(m.cfg.ProbeEvery * scale),
				}
				m.send(e, Message{Kind: KindPing, Seq: m.seq, Updates: m.suspicionOf(e)})
				return
			}
		}
		for _, e := range m.peers() {
			m.order = append(m.order, e.ID)
		}
		m.rng.Shuffle(len(m.order), func(i, j int) { m.order[i], m.order[j] = m.order[j], m.order[i] })
	}
}

// suspicionOf tells a suspected node about it with the ping, so that it can refute at once.
func (m *Machine) suspicionOf(e *entry) []Node {
	if n, ok := m.record(e.ID); ok && e.State == Suspect {
		return []Node{n}
	}
	return nil
}

func (m *Machine) askOthers(p *probe) {
	target := m.nodes[p.target]
	if target == nil {
		return
	}
	for _, e := range m.sample(m.cfg.IndirectProbes, p.target) {
		p.asked++
		m.send(e, Message{Kind: KindPingReq, Seq: p.seq, Target: p.target})
	}
	p.asked = max(p.asked, 1)
}

// sample returns up to n random present peers other than the excluded one.
func (m *Machine) sample(n int, except string) []*entry {
	peers := m.peers()
	var out []*entry
	for _, i := range m.rng.Perm(len(peers)) {
		if len(out) == n {
			break
		}
		if peers[i].ID != except && peers[i].State != Suspect {
			out = append(out, peers[i])
		}
	}
	return out
}

func (m *Machine) pingFor(now time.Time, msg Message) {
	e := m.nodes[msg.Target]
	if e == nil {
		return
	}
	m.seq++
	m.relays[m.seq] = relayedPing{msg.From, msg.Seq, now.Add(m.cfg.ProbeTimeout)}
	m.send(e, Message{Kind: KindPing, Seq: m.seq, Updates: m.suspicionOf(e)})
}

func (m *Machine) ack(now time.Time, msg Message) {
	if r, ok := m.relays[msg.Seq]; ok {
		delete(m.relays, msg.Seq)
		if e := m.nodes[r.origin]; e != nil && now.Before(r.deadline) {
			m.send(e, Message{Kind: KindAck, Seq: r.seq})
		}
		return
	}
	if p := m.probe; p != nil && p.seq == msg.Seq {
		m.probe = nil
		m.healthier()
		return
	}
	if _, ok := m.reports[msg.From]; ok && msg.Revision > 0 {
		delete(m.reports, msg.From)
	}
}

func (m *Machine) nack(msg Message) {
	if p := m.probe; p != nil && p.seq == msg.Seq {
		p.nacks++
	}
}

// probeFailed begins a suspicion. A node that heard from nobody since it sent the ping blames itself first, and one
// whose helpers did not even say that they had tried has reason to doubt its own network.
func (m *Machine) probeFailed(now time.Time, p *probe) {
	if p.nacks < p.asked || p.asked == 0 {
		m.sicker()
	}
	e := m.nodes[p.target]
	if e == nil || !e.State.Present() || m.lastHeard.Before(p.started) && !m.isolated {
		return
	}
	if e.State == Suspect {
		m.confirm(e, m.self.ID)
		return
	}
	n := e.Node
	n.State = Suspect
	m.set(now, e, n)
	m.confirm(e, m.self.ID)
	if m.isolated {
		e.local = true
		return
	}
	m.send(e, Message{Kind: KindGossip, Updates: m.suspicionOf(e)})
}

// confirm counts an independent accuser, which shortens the suspicion, and passes the accusation on.
func (m *Machine) confirm(e *entry, accuser string) {
	if accuser == "" || len(e.accusers) > confirmations || slices.Contains(e.accusers, accuser) {
		return
	}
	e.accusers = append(e.accusers, accuser)
	m.spread(e.ID)
}

// suspicion is the time from a suspicion to the verdict.
func (m *Machine) suspicion(e *entry) time.Duration {
	n := len(m.peers()) + 1
	shortest := float64(m.cfg.SuspicionMin) * math.Max(1, math.Log10(float64(n)))
	k := min(confirmations, n-2)
	if k < 1 {
		return time.Duration(shortest)
	}
	got := math.Log(float64(max(len(e.accusers), 1))) / math.Log(float64(k+1))
	longest := suspicionSpread * shortest
	return time.Duration(math.Max(shortest, longest-(longest-shortest)*got))
}

// isolate stops the spreading of verdicts: a node that hears nobody would disturb all others when it is back.
func (m *Machine) isolate() {
	m.isolated = true
	m.queue = slices.DeleteFunc(m.queue, func(r rumour) bool {
		e := m.nodes[r.id]
		return e != nil && e.State >= Suspect
	})
	for _, e := range m.nodes {
		if e.State == Suspect {
			e.local = true
		}
	}
}

// scan ends suspicions and forgets nodes that have been gone for long.
func (m *Machine) scan(now time.Time) {
	for _, id := range slices.Sorted(maps.Keys(m.nodes)) {
		e := m.nodes[id]
		switch {
		case e.State == Suspect && now.Sub(e.since) >= m.suspicion(e):
			n, local := e.Node, e.local || m.isolated
			n.State = Failed
			m.set(now, e, n)
			e.local = local
			if local {
				m.unspread(id)
			}
		case e.State >= Failed && now.Sub(e.since) >= m.cfg.ForgetAfter:
			if !e.local {
				m.tombs[id] = tombstone{e.Incarnation, now}
			}
			delete(m.nodes, id)
			m.unspread(id)
			m.emit(Forgotten{ID: id})
		}
	}
	for id, t := range m.tombs {
		if now.Sub(t.at) >= m.cfg.TombstoneFor {
			delete(m.tombs, id)
		}
	}
	m.forgetRemotes(now)
	m.judgeReach(now)
}

func (m *Machine) unspread(id string) {
	m.queue = slices.DeleteFunc(m.queue, func(r rumour) bool { return r.id == id })
	m.outbox = slices.DeleteFunc(m.outbox, func(o string) bool { return o == id })
}
