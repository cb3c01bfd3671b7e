package member

import (
	"hash/fnv"
	"slices"
	"time"
)

// outdated returns the record of a sender that does not know what the others believe of it, so that it can refute.
func (m *Machine) outdated(msg Message) (Node, bool) {
	if e := m.nodes[msg.From]; e != nil {
		bad := e.Incarnation > msg.Incarnation || e.Incarnation == msg.Incarnation && e.State >= Suspect
		return brief(e.Node), bad && !e.local
	}
	if t, ok := m.tombs[msg.From]; ok && t.incarnation >= msg.Incarnation {
		return Node{ID: msg.From, Incarnation: t.incarnation, State: Failed, DataCentre: m.self.DataCentre}, true
	}
	return Node{}, false
}

// brief drops the fields that a record of a node that is not alive does not need.
func brief(n Node) Node {
	if n.State == Alive || n.State == Draining {
		return n
	}
	return Node{ID: n.ID, Incarnation: n.Incarnation, DataCentre: n.DataCentre, State: n.State}
}

// merge takes a record. When it is refused because the node is long gone, the record that says so is returned.
func (m *Machine) merge(now time.Time, u Node) (Node, bool) {
	if u.ID == "" || u.State < Alive || u.State > Left {
		return Node{}, false
	}
	if u.ID == m.self.ID {
		m.mergeSelf(u)
		return Node{}, false
	}
	if u.State == Suspect && u.DataCentre != m.self.DataCentre {
		return Node{}, false // a data centre judges its own nodes; only its verdict counts elsewhere
	}
	e := m.nodes[u.ID]
	if e == nil {
		return m.mergeUnknown(now, u)
	}
	if u.State == Suspect && e.State == Suspect && u.Incarnation == e.Incarnation {
		m.confirm(e, u.Accuser)
		return Node{}, false
	}
	override := e.local && u.Incarnation == e.Incarnation && u.State < Suspect
	if !override && (u.Incarnation < e.Incarnation || u.Incarnation == e.Incarnation && u.State <= e.State) {
		return Node{}, false
	}
	n := u
	if u.State >= Suspect || u.Address == "" {
		n = e.Node
		n.Incarnation, n.State = u.Incarnation, u.State
	} else if u.Incarnation-e.Incarnation < sameLife {
		n.Revision = max(n.Revision, e.Revision)
	}
	e.accusers = nil
	m.set(now, e, n)
	if u.State == Suspect {
		m.confirm(e, u.Accuser)
	}
	return Node{}, false
}

// sameLife is the highest difference of incarnations that refutations of one life of a node make up. A restart adds
// more, since incarnations are milliseconds and a process needs a second to start.
const sameLife = 1000

func (m *Machine) mergeUnknown(now time.Time, u Node) (Node, bool) {
	if t, ok := m.tombs[u.ID]; ok && u.Incarnation <= t.incarnation {
		if u.State >= Failed {
			return Node{}, false
		}
		return Node{ID: u.ID, Incarnation: t.incarnation, State: Failed, DataCentre: u.DataCentre}, true
	}
	if u.State >= Failed {
		m.tombs[u.ID] = tombstone{u.Incarnation, now}
		return Node{}, false
	}
	if u.Address == "" || u.DataCentre == "" {
		return Node{}, false // a suspicion of a node whose record has not arrived yet
	}
	u.Accuser = ""
	e := &entry{}
	m.nodes[u.ID] = e
	m.set(now, e, u)
	return Node{}, false
}

// mergeSelf refutes what others believe of this node when it is not true.
func (m *Machine) mergeSelf(u Node) {
	if u.Incarnation < m.self.Incarnation || u.Incarnation == m.self.Incarnation && u.State <= m.self.State {
		return
	}
	if u.State == Suspect {
		m.sicker()
	}
	m.setSelf(u.Incarnation+1, m.self.State)
}

func (m *Machine) setSelf(incarnation uint64, s State) {
	m.digests[m.self.DataCentre] ^= digestOf(m.self)
	m.self.Incarnation, m.self.State = incarnation, s
	m.digests[m.self.DataCentre] ^= digestOf(m.self)
	m.spread(m.self.ID)
}

// set replaces the record of a node, publishes the change and lets it spread.
func (m *Machine) set(now time.Time, e *entry, n Node) {
	before := e.Node
	m.digests[before.DataCentre] ^= digestOf(before)
	e.Node = n
	m.digests[n.DataCentre] ^= digestOf(n)
	if before.State < Suspect {
		e.before = before.State
	}
	if before.State != n.State || before.Incarnation != n.Incarnation {
		e.since = now
	}
	if n.State != Suspect {
		e.accusers = nil
	}
	e.local = false
	m.dirty = true
	m.emit(Changed{Node: n, Before: before.State})
	m.spread(n.ID)
}

// The ways in which a record that was learned is passed on.
const (
	spreadFully = iota
	spreadOnce  // to one peer; it spreads the record fully if it is news there
	spreadNever
)

// howToSpread decides how the records of a message are passed on. Most of what a sync brings is known to the others: a
// node that joins 350 nodes would otherwise send 27 KB/s of known records for half a minute.
func (m *Machine) howToSpread(now time.Time, msg Message) int {
	if msg.Kind != KindSyncReply && msg.Kind != KindSyncPush {
		return spreadFully
	}
	if msg.Kind == KindSyncReply && msg.DataCentre == m.self.DataCentre && now.Sub(m.started) < m.cfg.SyncEvery {
		return spreadNever
	}
	return spreadOnce
}

// spread queues the record of a node for gossip and, if it is of the own data centre, for the others.
func (m *Machine) spread(id string) {
	if m.learning != spreadFully && id != m.self.ID {
		if m.learning == spreadOnce && !slices.ContainsFunc(m.queue, func(r rumour) bool { return r.id == id }) {
			m.queue = append(m.queue, rumour{id: id, once: true})
		}
		return
	}
	if i := slices.IndexFunc(m.queue, func(r rumour) bool { return r.id == id }); i >= 0 {
		m.queue[i] = rumour{id: id}
	} else {
		m.queue = append(m.queue, rumour{id: id})
	}
	if !slices.Contains(m.outbox, id) {
		m.outbox = append(m.outbox, id)
	}
}

// record returns the present record of any node, with the accuser of a suspicion.
func (m *Machine) record(id string) (Node, bool) {
	if id == m.self.ID {
		return m.self, true
	}
	e := m.nodes[id]
	if e == nil || e.local {
		return Node{}, false
	}
	n := brief(e.Node)
	if e.State == Suspect && len(e.accusers) > 0 {
		n.Accuser = e.accusers[len(e.accusers)-1]
	}
	return n, true
}

// digestOf is this node's part of the digest of its data centre. Each change that the node makes to its own record
// raises its incarnation, so id and incarnation are enough.
func digestOf(n Node) uint64 {
	if !n.State.Present() {
		return 0
	}
	h := hashID(n.ID)
	h ^= n.Incarnation * 0x9e3779b97f4a7c15
	return (h ^ h>>29) * 0xbf58476d1ce4e5b9
}

func hashID(id string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(id)) // never fails
	return h.Sum64()
}
