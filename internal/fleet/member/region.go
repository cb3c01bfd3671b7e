package member

import (
	"slices"
	"time"
)

const (
	// unheard is the number of heartbeat periods after which a data centre counts as out of reach and others of its
	// nodes than the representatives are tried.
	unheard = 5
	// recordEvery is the number of heartbeats after which the sender's own record is sent along, so that a receiver
	// that does not know it can answer.
	recordEvery = 10
	// silentAfter is the number of heartbeat periods after which a data centre counts as out of reach. Three
	// representatives send one each per period, so a loss of single messages does not matter.
	silentAfter = 10
)

// flushOutbox tells the other data centres about changes of nodes of this one. Each representative does it, which
// makes up for lost messages; heartbeats repair the rest.
func (m *Machine) flushOutbox() {
	if len(m.outbox) == 0 {
		return
	}
	ids := m.outbox
	m.outbox = nil
	m.refresh()
	if !m.isRep {
		return
	}
	var list []Node
	for _, id := range ids {
		if n, ok := m.record(id); ok && n.DataCentre == m.self.DataCentre && n.State != Suspect {
			list = append(list, n)
		}
	}
	for chunk := range slices.Chunk(list, m.cfg.MaxUpdates) {
		for _, dc := range m.dcs {
			if e := m.contact(dc, false); e != nil {
				m.send(e, Message{Kind: KindGossip, Updates: chunk})
			}
		}
	}
}

// tellAllRegions passes a new revision on without waiting for the next heartbeat.
func (m *Machine) tellAllRegions() {
	m.refresh()
	if !m.isRep {
		return
	}
	for _, dc := range m.dcs {
		if e := m.contact(dc, false); e != nil {
			m.send(e, Message{Kind: KindGossip})
		}
	}
}

// contact chooses a node of another data centre: a representative, or any node if the representatives known here may
// be long gone.
func (m *Machine) contact(dc string, anyone bool) *entry {
	list := m.reps[dc]
	if len(list) == 0 || anyone {
		list = m.byDC[dc]
	}
	if len(list) == 0 {
		return nil
	}
	return list[m.rng.IntN(len(list))]
}

// beat sends the heartbeat to each other data centre.
func (m *Machine) beat(now time.Time) {
	m.refresh()
	if !m.isRep {
		return
	}
	var status *Status
	for _, dc := range m.dcs {
		r := m.remotes[dc]
		silent := now.Sub(r.heard) > unheard*m.cfg.BeatEvery
		e := m.contact(dc, silent && m.rng.IntN(2) == 0)
		if status == nil {
			status = m.status()
		}
		msg := Message{
			Kind: KindBeat, Status: status,
			Digests: []Digest{{m.self.DataCentre, m.digests[m.self.DataCentre]}},
		}
		if r.sinceID == 0 || silent {
			msg.Updates = []Node{m.self}
		}
		r.sinceID = (r.sinceID + 1) % recordEvery
		m.send(e, msg)
	}
}

// status summarizes the revisions in force in the own data centre.
func (m *Machine) status() *Status {
	s := &Status{Present: len(m.peers()) + 1, Newest: m.self.Revision}
	for _, e := range m.peers() {
		s.Newest = max(s.Newest, e.Revision)
	}
	add := func(id string, rev uint64) {
		switch {
		case rev >= s.Newest:
		case len(s.Behind) < MaxBehind:
			s.Behind = append(s.Behind, Lag{id, rev})
		default:
			s.More++
		}
	}
	add(m.self.ID, m.self.Revision)
	for _, e := range m.peers() {
		add(e.ID, e.Revision)
	}
	return s
}

// takeBeat compares the sender's digest of its own data centre with what is known here.
func (m *Machine) takeBeat(now time.Time, msg Message) {
	e := m.nodes[msg.From]
	if e == nil || e.DataCentre == m.self.DataCentre || len(msg.Digests) != 1 || msg.Status == nil {
		return
	}
	r := m.remotes[e.DataCentre]
	if r == nil {
		r = &remote{}
		m.remotes[e.DataCentre] = r
	}
	r.heard, r.status = now, *msg.Status
	r.status.HeardAt = now
	d := msg.Digests[0]
	if d.DataCentre != e.DataCentre || d.Hash == m.digests[d.DataCentre] || now.Sub(r.asked) < m.cfg.BeatEvery {
		return
	}
	r.asked = now
	m.send(e, Message{
		Kind: KindSync, Target: d.DataCentre, Updates: []Node{m.self},
		Digests: []Digest{{d.DataCentre, m.digests[d.DataCentre]}},
	})
}

// judgeReach lets the representatives vote on which data centres are out of reach. Their claims come with any message.
func (m *Machine) judgeReach(now time.Time) {
	m.refresh()
	m.silent = nil
	reps := m.reps[m.self.DataCentre]
	voters := len(reps)
	votes := map[string]int{}
	if m.isRep {
		voters++
		for _, dc := range m.dcs {
			if now.Sub(m.remotes[dc].heard) > silentAfter*m.cfg.BeatEvery {
				m.silent = append(m.silent, dc)
				votes[dc]++
			}
		}
	}
	for _, e := range reps {
		for _, dc := range m.claims[e.ID] {
			votes[dc]++
		}
	}
	for _, dc := range m.dcs {
		if out := 2*votes[dc] > voters; out != m.outside[dc] {
			m.outside[dc] = out
			m.emit(Reach{DataCentre: dc, OK: !out})
		}
	}
}

// forgetRemotes gives up the nodes of data centres that no representative has heard of for very long.
func (m *Machine) forgetRemotes(now time.Time) {
	m.refresh()
	if !m.isRep {
		return
	}
	for _, dc := range m.dcs {
		r := m.remotes[dc]
		if r.heard.IsZero() {
			r.heard = now // this node has just become a representative
		}
		if now.Sub(r.heard) < m.cfg.RemoteForget {
			continue
		}
		for _, e := range m.byDC[dc] {
			n := e.Node
			n.State = Failed
			m.set(now, e, n)
		}
	}
}

// setRevision records the revision in force here and reports it to the representatives until they acknowledge.
func (m *Machine) setRevision(now time.Time, rev uint64) {
	if rev <= m.self.Revision {
		return
	}
	m.self.Revision = rev
	m.refresh()
	clear(m.reports)
	for _, e := range m.reps[m.self.DataCentre] {
		m.reports[e.ID] = 0
	}
	m.nextReport = now.Add(time.Second)
	m.sendReports()
}

// maxReports bounds the repetitions of a report; probes carry the revision as well, only later.
const maxReports = 5

func (m *Machine) sendReports() {
	for _, e := range m.reps[m.self.DataCentre] {
		n, ok := m.reports[e.ID]
		if !ok {
			continue
		}
		if m.reports[e.ID] = n + 1; n >= maxReports {
			delete(m.reports, e.ID)
			continue
		}
		m.seq++
		m.send(e, Message{Kind: KindReport, Seq: m.seq})
	}
}
