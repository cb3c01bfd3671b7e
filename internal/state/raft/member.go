package raft

import (
	"slices"
	"time"
)

// indexedConfig is a configuration and the index of its log entry. A configuration takes effect as soon as its entry is
// in the log, committed or not.
type indexedConfig struct {
	index   uint64
	members []Member
}

func (m *Machine) latestConfig() indexedConfig { return m.configs[len(m.configs)-1] }

func (m *Machine) members() []Member { return m.latestConfig().members }

// IsMember reports whether the current configuration contains the id, as voter or learner.
func (m *Machine) IsMember(id string) bool { return memberIndex(m.members(), id) >= 0 }

func (m *Machine) isVoter(id string) bool {
	i := memberIndex(m.members(), id)
	return i >= 0 && !m.members()[i].Learner
}

func memberIndex(members []Member, id string) int {
	return slices.IndexFunc(members, func(v Member) bool { return v.ID == id })
}

// hasQuorum reports whether more than half of the voters satisfy ok.
func (m *Machine) hasQuorum(members []Member, ok func(id string) bool) bool {
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

// quorumActive reports whether more than half of the voters in members have replied within the last election timeout.
func (m *Machine) quorumActive(members []Member) bool {
	return m.hasQuorum(members, m.recentlyActive)
}

// quorumActiveUntil returns when quorumActive becomes false unless another voter replies before. This member itself counts
// as active at the time of the current step.
func (m *Machine) quorumActiveUntil(members []Member) time.Time {
	var acked []time.Time
	for _, v := range members {
		switch pr := m.peers[v.ID]; {
		case v.Learner:
		case v.ID == m.cfg.ID:
			acked = append(acked, m.now)
		case pr != nil:
			acked = append(acked, pr.lastReply)
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

func (m *Machine) recentlyActive(id string) bool {
	if id == m.cfg.ID {
		return true
	}
	pr := m.peers[id]
	return pr != nil && m.now.Sub(pr.lastReply) < m.cfg.ElectionTimeout
}

func (m *Machine) appendConfigs(entries []Entry) {
	changed := false
	for _, e := range entries {
		if e.Kind == EntryMembers {
			m.configs = append(m.configs, indexedConfig{index: e.Index, members: e.Members})
			changed = true
		}
	}
	if changed && m.role == Leader {
		m.syncPeers()
	}
}

// truncateConfigs removes the configurations of the entries from index on.
func (m *Machine) truncateConfigs(index uint64) {
	for len(m.configs) > 1 && m.latestConfig().index >= index {
		m.configs = m.configs[:len(m.configs)-1]
	}
}

func (m *Machine) configAtIndex(index uint64) indexedConfig {
	c := m.configs[0]
	for _, n := range m.configs[1:] {
		if n.index <= index {
			c = n
		}
	}
	return c
}

func (m *Machine) compactConfigs(index uint64) {
	for len(m.configs) > 1 && m.configs[1].index <= index {
		m.configs = m.configs[1:]
	}
}

// syncPeers makes the set of tracked followers match the configuration.
func (m *Machine) syncPeers() {
	for _, v := range m.members() {
		if v.ID != m.cfg.ID && m.peers[v.ID] == nil {
			m.peers[v.ID] = &progress{next: m.log.last() + 1, lastReply: m.now}
		}
	}
	for id := range m.peers {
		if !m.IsMember(id) {
			delete(m.peers, id)
		}
	}
}

func (m *Machine) changeMembers(ev ChangeMembers) {
	next, reason := m.validateChange(ev.Change)
	if reason != ReasonNone {
		m.emit(ProposalFailed{ID: ev.ID, Reason: reason})
		return
	}
	m.appendAsLeader(ev.ID, Entry{Kind: EntryMembers, Members: next})
}

// validateChange returns the configuration after the change, or the reason to refuse it. Until the leader has committed
// an entry of its own term, an earlier leader's change may be uncommitted on other members, and two changes could overlap.
func (m *Machine) validateChange(c Change) ([]Member, Reason) {
	if m.role != Leader {
		return nil, ReasonNotLeader
	}
	if !m.committedInTerm() {
		return nil, ReasonNotReady
	}
	if m.latestConfig().index > m.commit {
		return nil, ReasonChangePending
	}
	next, ok := applyChange(m.members(), c)
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

func applyChange(members []Member, c Change) ([]Member, bool) {
	i := memberIndex(members, c.Member.ID)
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
