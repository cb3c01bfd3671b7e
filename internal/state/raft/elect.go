package raft

import "time"

func (m *Machine) resetElection() {
	jitter := time.Duration(m.rng.Int64N(int64(m.cfg.ElectionTimeout)))
	m.election = m.now.Add(m.cfg.ElectionTimeout + jitter)
}

// firstElection sets the timer of a member that has just started. It is shorter than later ones, so that a group whose members
// all restarted has a leader soon: a leader at work is heard within a heartbeat, and otherwise the pre-vote is refused.
func (m *Machine) firstElection() {
	m.election = m.now.Add(m.cfg.Heartbeat + m.spread())
}

// retryElection sets the timer of a candidate. Candidates that split the votes try again soon; those that get no answers in time, because
// disks or links are slow, wait longer each time, up to an election timeout.
func (m *Machine) retryElection() {
	wait := min(m.cfg.Heartbeat<<m.tries, m.cfg.ElectionTimeout)
	m.election = m.now.Add(wait + m.spread())
}

// spread is a random time that parts the candidacies of restarted members: the more voters there are, the more would coincide.
func (m *Machine) spread() time.Duration {
	voters := 0
	for _, v := range m.members() {
		if !v.Learner {
			voters++
		}
	}
	return time.Duration(m.rng.Int64N(int64(m.cfg.Heartbeat) * int64(max(voters/2, 1))))
}

// maxTries bounds how often the wait of a candidate is doubled.
const maxTries = 8

// follow makes this member a follower in term. Proposals that it has appended as leader stay pending, because a later
// leader may still commit them.
func (m *Machine) follow(term uint64, leader string) {
	if term > m.hard.Term {
		m.setHard(term, "")
	}
	if m.role == Leader {
		m.failReads(ReasonNotLeader)
	}
	m.role, m.votes, m.peers, m.uncommitted = Follower, nil, nil, 0
	m.setLeader(leader)
	m.resetElection()
}

func (m *Machine) setLeader(leader string) {
	if leader == m.leader {
		return
	}
	m.leader, m.tries = leader, 0
	m.emit(LeaderChanged{Term: m.hard.Term, Leader: leader})
}

// campaign asks for pre-votes. A member without a vote only waits.
func (m *Machine) campaign() {
	m.setLeader("")
	m.tries = min(m.tries+1, maxTries)
	m.retryElection()
	if !m.mayCampaign() {
		return
	}
	m.role, m.votes = PreCandidate, map[string]bool{m.cfg.ID: true}
	m.requestVotes(KindPreVote, m.hard.Term+1)
	m.countPreVotes()
}

// mayCampaign reports whether this member may become leader. A voter that an uncommitted configuration removes still
// may: it can be the only one whose log is new enough to win.
func (m *Machine) mayCampaign() bool {
	if m.isVoter(m.cfg.ID) {
		return true
	}
	n := len(m.config)
	if n < 2 || m.latestConfig().index <= m.commit {
		return false
	}
	i := find(m.config[n-2].members, m.cfg.ID)
	return i >= 0 && !m.config[n-2].members[i].Learner
}

func (m *Machine) requestVotes(kind Kind, term uint64) {
	need := m.needAll()
	for _, v := range m.members() {
		if v.Learner || v.ID == m.cfg.ID {
			continue
		}
		msg := m.message(kind, v.ID)
		msg.Term, msg.Index, msg.LogTerm = term, m.log.last(), m.log.lastTerm()
		m.send(msg, need)
	}
}

// leased reports whether a leader is known to have been at work within the last election time-out.
func (m *Machine) leased() bool {
	return m.role == Leader || m.leader != "" && m.now.Sub(m.contact) < m.cfg.ElectionTimeout
}

// eligible reports whether the log of the sender is at least as new as the local one; for an unknown sender it must be
// strictly newer (see the package comment).
func (m *Machine) eligible(msg Message) bool {
	last, lastTerm := m.log.last(), m.log.lastTerm()
	if !m.isVoter(msg.From) {
		return newer(msg.LogTerm, msg.Index, lastTerm, last)
	}
	return !newer(lastTerm, last, msg.LogTerm, msg.Index)
}

func (m *Machine) onPreVote(msg Message) {
	reply := m.message(KindPreVoteReply, msg.From)
	if msg.Term > m.hard.Term && !m.leased() && m.eligible(msg) {
		reply.Term = msg.Term
	} else {
		reply.Reject = true
	}
	m.send(reply, m.persist.hardSeq)
}

func (m *Machine) onPreVoteReply(msg Message) {
	if m.role != PreCandidate || msg.Reject || msg.Term != m.hard.Term+1 {
		return
	}
	m.votes[msg.From] = true
	m.countPreVotes()
}

// countPreVotes starts the election once enough members would vote. The first election of a group needs all initial
// voters (see the package comment).
func (m *Machine) countPreVotes() {
	granted, voters := 0, 0
	for _, v := range m.members() {
		if v.Learner {
			continue
		}
		voters++
		if m.votes[v.ID] {
			granted++
		}
	}
	need := voters/2 + 1
	if m.log.last() == 0 {
		need = voters
	}
	if granted < need {
		return
	}
	m.role, m.votes = Candidate, map[string]bool{}
	m.setHard(m.hard.Term+1, m.cfg.ID)
	m.retryElection()
	m.requestVotes(KindVote, m.hard.Term)
	// The own vote counts once it is durable, like the others.
	m.send(m.message(KindVoteReply, m.cfg.ID), m.needAll())
}

func (m *Machine) onVote(msg Message) {
	if msg.Term < m.hard.Term {
		reply := m.message(KindVoteReply, msg.From)
		reply.Reject = true
		m.send(reply, m.persist.hardSeq)
		return
	}
	if m.leased() || !m.isVoter(msg.From) && !m.eligible(msg) {
		return
	}
	if msg.Term > m.hard.Term {
		m.follow(msg.Term, "")
	}
	reply := m.message(KindVoteReply, msg.From)
	if (m.hard.Vote == "" || m.hard.Vote == msg.From) && m.eligible(msg) {
		m.role = Follower
		m.setHard(m.hard.Term, msg.From)
		m.resetElection()
	} else {
		reply.Reject = true
	}
	m.send(reply, m.needAll())
}

func (m *Machine) onVoteReply(msg Message) {
	if m.role != Candidate || msg.Reject {
		return
	}
	m.votes[msg.From] = true
	if m.quorum(m.members(), func(id string) bool { return m.votes[id] }) {
		m.lead()
	}
}

// lead starts the term with an empty entry: older entries count as committed only along with one of this term.
func (m *Machine) lead() {
	m.role, m.votes = Leader, nil
	m.peers, m.elected, m.uncommitted = map[string]*progress{}, m.now, 0
	m.setLeader(m.cfg.ID)
	m.syncPeers()
	m.appendOwn(0, Entry{Kind: EntryNoop})
	m.heartbeat()
}
