package raft

import "time"

func (m *Machine) resetElectionTimer() {
	jitter := time.Duration(m.rng.Int64N(int64(m.cfg.ElectionTimeout)))
	m.electionDeadline = m.now.Add(m.cfg.ElectionTimeout + jitter)
}

// scheduleFirstElection sets the election timer of a member that has just started. It is shorter than the election
// timeout, so that a group whose members all restarted elects a leader quickly. A working leader is not at risk: its
// heartbeat arrives first, or else the other members refuse the pre-vote.
func (m *Machine) scheduleFirstElection() {
	m.electionDeadline = m.now.Add(m.cfg.Heartbeat + m.candidacyJitter())
}

// scheduleElectionRetry sets the election timer of a candidate. The first retry is early, since the vote may have been
// split. The wait then doubles up to the election timeout, because replies may be late on slow disks or links.
func (m *Machine) scheduleElectionRetry() {
	wait := min(m.cfg.Heartbeat<<m.backoffShift, m.cfg.ElectionTimeout)
	m.electionDeadline = m.now.Add(wait + m.candidacyJitter())
}

// candidacyJitter returns a random delay that keeps members from becoming candidates simultaneously. Its range grows
// with the number of voters, since more of them would collide.
func (m *Machine) candidacyJitter() time.Duration {
	voters := 0
	for _, v := range m.members() {
		if !v.Learner {
			voters++
		}
	}
	return time.Duration(m.rng.Int64N(int64(m.cfg.Heartbeat) * int64(max(voters/2, 1))))
}

// maxBackoffShift bounds how often a candidate's wait is doubled.
const maxBackoffShift = 8

// becomeFollower makes this member a follower in term. Proposals that it appended as leader stay pending, because a
// later leader may still commit them.
func (m *Machine) becomeFollower(term uint64, leader string) {
	if term > m.hardState.Term {
		m.setHardState(term, "")
	}
	if m.role == Leader {
		m.failReads(ReasonNotLeader)
	}
	m.role, m.votes, m.peers, m.uncommitted = Follower, nil, nil, 0
	m.setLeader(leader)
	m.resetElectionTimer()
}

func (m *Machine) setLeader(leader string) {
	if leader == m.leader {
		return
	}
	m.leader, m.backoffShift = leader, 0
	m.emit(LeaderChanged{Term: m.hardState.Term, Leader: leader})
}

// campaign requests pre-votes. A member without a vote only restarts its timer.
func (m *Machine) campaign() {
	m.setLeader("")
	m.backoffShift = min(m.backoffShift+1, maxBackoffShift)
	m.scheduleElectionRetry()
	if !m.canCampaign() {
		return
	}
	m.role, m.votes = PreCandidate, map[string]bool{m.cfg.ID: true}
	m.requestVotes(KindPreVote, m.hardState.Term+1)
	m.countPreVotes()
}

// canCampaign reports whether this member may become leader. A voter that an uncommitted configuration removes still
// may, because it can be the only one whose log is new enough to win.
func (m *Machine) canCampaign() bool {
	if m.isVoter(m.cfg.ID) {
		return true
	}
	n := len(m.configs)
	if n < 2 || m.latestConfig().index <= m.commit {
		return false
	}
	i := memberIndex(m.configs[n-2].members, m.cfg.ID)
	return i >= 0 && !m.configs[n-2].members[i].Learner
}

func (m *Machine) requestVotes(kind Kind, term uint64) {
	minSeq := m.coveringSeq()
	for _, v := range m.members() {
		if v.Learner || v.ID == m.cfg.ID {
			continue
		}
		msg := m.message(kind, v.ID)
		msg.Term, msg.Index, msg.LogTerm = term, m.log.last(), m.log.lastTerm()
		m.send(msg, minSeq)
	}
}

// leaderLeaseValid reports whether this member leads or has received a message from its leader within the last election
// timeout. While that holds, it refuses votes.
func (m *Machine) leaderLeaseValid() bool {
	return m.role == Leader || m.leader != "" && m.now.Sub(m.lastContact) < m.cfg.ElectionTimeout
}

// logUpToDate reports whether the sender's log is at least as new as the local one. The log of a sender that is not a
// voter in the current configuration must be strictly newer (see the package comment).
func (m *Machine) logUpToDate(msg Message) bool {
	last, lastTerm := m.log.last(), m.log.lastTerm()
	if !m.isVoter(msg.From) {
		return isNewerLog(msg.LogTerm, msg.Index, lastTerm, last)
	}
	return !isNewerLog(lastTerm, last, msg.LogTerm, msg.Index)
}

func (m *Machine) onPreVote(msg Message) {
	reply := m.message(KindPreVoteReply, msg.From)
	if msg.Term > m.hardState.Term && !m.leaderLeaseValid() && m.logUpToDate(msg) {
		reply.Term = msg.Term
	} else {
		reply.Reject = true
	}
	m.send(reply, m.persist.hardStateSeq)
}

func (m *Machine) onPreVoteReply(msg Message) {
	if m.role != PreCandidate || msg.Reject || msg.Term != m.hardState.Term+1 {
		return
	}
	m.votes[msg.From] = true
	m.countPreVotes()
}

// countPreVotes starts the election once enough voters have granted a pre-vote. The first election of a group needs the
// pre-votes of all initial voters (see the package comment).
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
	required := voters/2 + 1
	if m.log.last() == 0 {
		required = voters
	}
	if granted < required {
		return
	}
	m.role, m.votes = Candidate, map[string]bool{}
	m.setHardState(m.hardState.Term+1, m.cfg.ID)
	m.scheduleElectionRetry()
	m.requestVotes(KindVote, m.hardState.Term)
	// This member's own vote counts once it is durable, like any other.
	m.send(m.message(KindVoteReply, m.cfg.ID), m.coveringSeq())
}

func (m *Machine) onVote(msg Message) {
	if msg.Term < m.hardState.Term {
		reply := m.message(KindVoteReply, msg.From)
		reply.Reject = true
		m.send(reply, m.persist.hardStateSeq)
		return
	}
	if m.leaderLeaseValid() || !m.isVoter(msg.From) && !m.logUpToDate(msg) {
		return
	}
	if msg.Term > m.hardState.Term {
		m.becomeFollower(msg.Term, "")
	}
	reply := m.message(KindVoteReply, msg.From)
	if (m.hardState.Vote == "" || m.hardState.Vote == msg.From) && m.logUpToDate(msg) {
		m.role = Follower
		m.setHardState(m.hardState.Term, msg.From)
		m.resetElectionTimer()
	} else {
		reply.Reject = true
	}
	m.send(reply, m.coveringSeq())
}

func (m *Machine) onVoteReply(msg Message) {
	if m.role != Candidate || msg.Reject {
		return
	}
	m.votes[msg.From] = true
	if m.hasQuorum(m.members(), func(id string) bool { return m.votes[id] }) {
		m.becomeLeader()
	}
}

// becomeLeader starts the term with an empty entry, because entries of older terms can be committed only along with an
// entry of the current term.
func (m *Machine) becomeLeader() {
	m.role, m.votes = Leader, nil
	m.peers, m.electedAt, m.uncommitted = map[string]*progress{}, m.now, 0
	m.setLeader(m.cfg.ID)
	m.syncPeers()
	m.appendAsLeader(0, Entry{Kind: EntryNoop})
	m.sendHeartbeats()
}
