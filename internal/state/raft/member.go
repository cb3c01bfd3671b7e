package raft

import (
	"slices"
	"time"
)

// configAt is a configuration and the index of the entry that brought it about. A configuration is in force as soon
// as its entry is in the log, committed or not.
type configAt struct {
	index   uint64
	members []Member
}

func (m *Machine) latestConfig() configAt { return m.config[len(m.config)-1] }

func (m *Machine) members() []Member { return m.latestConfig().members }

// IsMember reports whether the present configuration contains the id, as voter or learner.
func (m *Machine) IsMember(id string) bool { return find(m.members(), id) >= 0 }

func (m *Machine) isVoter(id string) bool {
	i := find(m.members(), id)
	return i >= 0 && !m.members()[i].Learner
}

func find(members []Member, id string) int {
	return slices.IndexFunc(members, func(v Member) bool { return v.ID == id })
}

// quorum reports whether more than half of the voters satisfy ok.
func (m *Machine) quorum(members []Member, ok func(id string) bool) bool {
	voters, count := 0, 0
	for _, v := range members {
		if v.Learner {
			continue
		}
		voters++
		if ok(v.ID) {
			count++
		}
	}
	return voters > 0 && count > voters/2
}

// quorumActive reports whether more than half of these voters have answered within the last election time-out.
func (m *Machine) quorumActive(members []Member) bool {
	return m.quorum(members, m.active)
}

// quorumUntil returns when quorumActive ends unless one of these voters answers before. The own vote counts from the last step.
func (m *Machine) quorumUntil(members []Member) time.Time {
	var acked []time.Time
	for _, v := range members {
		switch pr := m.peers[v.ID]; {
		case v.Learner:
		case v.ID == m.cfg.ID:
			acked = append(acked, m.now)
		case pr != nil:
			acked = append(acked, pr.acked)
		default:
			acked = append(acked, time.Time{})
		}
	}
	if len(acked) == 0 {
		return m.now
	}
	slices.SortFunc(acked, func(a, b time.Time) int { return b.Compare(a) })
	return acked[len(acked)/2].Add(m.cfg.ElectionTimeout)
}

func (m *Machine) active(id string) bool {
	if id == m.cfg.ID {
		return true
	}
	pr := m.peers[id]
	return pr != nil && m.now.Sub(pr.acked) < m.cfg.ElectionTimeout
}

func (m *Machine) noteConfigs(entries []Entry) {
	changed := false
	for _, e := range entries {
		if e.Kind == EntryMembers {
			m.config = append(m.config, configAt{index: e.Index, members: e.Members})
			changed = true
		}
	}
	if changed && m.role == Leader {
		m.syncPeers()
	}
}

// dropConfigsFrom returns to the configuration before the entry at index.
func (m *Machine) dropConfigsFrom(index uint64) {
	for len(m.config) > 1 && m.latestConfig().index >= index {
		m.config = m.config[:len(m.config)-1]
	}
}

func (m *Machine) configAtIndex(index uint64) configAt {
	c := m.config[0]
	for _, n := range m.config[1:] {
		if n.index <= index {
			c = n
		}
	}
	return c
}

func (m *Machine) forgetConfigsBefore(index uint64) {
	for len(m.config) > 1 && m.config[1].index <= index {
		m.config = m.config[1:]
	}
}

// syncPeers makes the set of followers equal to the configuration.
func (m *Machine) syncPeers() {
	for _, v := range m.members() {
		if v.ID != m.cfg.ID && m.peers[v.ID] == nil {
			m.peers[v.ID] = &progress{next: m.log.last() + 1, acked: m.now}
		}
	}
	for id := range m.peers {
		if !m.IsMember(id) {
			delete(m.peers, id)
		}
	}
}

func (m *Machine) changeMembers(ev ChangeMembers) {
	next, reason := m.checkChange(ev.Change)
	if reason != ReasonNone {
		m.emit(ProposalFailed{ID: ev.ID, Reason: reason})
		return
	}
	m.appendOwn(ev.ID, Entry{Kind: EntryMembers, Members: next})
}

// checkChange returns the configuration after the change, or why it is refused. Until the leader has committed an
// entry of its own term, an earlier leader's change may be uncommitted elsewhere, and two changes could meet.
func (m *Machine) checkChange(c Change) ([]Member, Reason) {
	if m.role != Leader {
		return nil, ReasonNotLeader
	}
	if !m.committedInTerm() {
		return nil, ReasonNotReady
	}
	if m.latestConfig().index > m.commit {
		return nil, ReasonChangePending
	}
	next, ok := changed(m.members(), c)
	if !ok {
		return nil, ReasonInvalid
	}
	if c.Kind == Promote {
		pr := m.peers[c.Member.ID]
		if pr == nil || pr.match+m.cfg.PromoteLag < m.log.last() || pr.match == 0 {
			return nil, ReasonLagging
		}
	}
	if c.Kind != AddLearner && !m.quorumActive(next) {
		return nil, ReasonNoQuorum
	}
	return next, ReasonNone
}

func changed(members []Member, c Change) ([]Member, bool) {
	i := find(members, c.Member.ID)
	next := slices.Clone(members)
	switch c.Kind {
	case AddLearner:
		if i >= 0 || c.Member.ID == "" {
			return nil, false
		}
		return append(next, Member{ID: c.Member.ID, Address: c.Member.Address, Learner: true}), true
	case Promote:
		if i < 0 || !next[i].Learner {
			return nil, false
		}
		next[i].Learner = false
		return next, true
	case Remove:
		if i < 0 {
			return nil, false
		}
		next = slices.Delete(next, i, i+1)
		return next, slices.ContainsFunc(next, func(v Member) bool { return !v.Learner })
	}
	return nil, false
}
