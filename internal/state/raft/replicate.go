package raft

import (
	"slices"
	"time"
)

type progressState uint8

const (
	// probing means that the follower's log position is unknown; one message is sent at a time.
	probing progressState = iota
	// replicating means that messages are pipelined: they are sent before earlier ones are acknowledged.
	replicating
	// installing means that a snapshot has been sent and is not yet acknowledged.
	installing
)

// snapshotRetryTimeouts is the number of election timeouts after which an unacknowledged snapshot is sent again. A
// snapshot of 10 MB takes several seconds on a 20 Mbit/s link.
const snapshotRetryTimeouts = 10

// progress is the replication state of one follower, kept by the leader.
type progress struct {
	match, next    uint64
	state          progressState
	paused         bool     // probing: a probe is outstanding
	inflight       []uint64 // replicating: last index of each unacknowledged message
	snapshotIndex  uint64
	snapshotSentAt time.Time
	lastReply      time.Time // time of the last reply
	replied        bool      // a reply has been received in this term
	ackedRound     uint64    // last heartbeat round that the follower replied to
}

// sendHeartbeats sends each follower an empty append message. A follower that has lost earlier messages rejects it.
func (m *Machine) sendHeartbeats() {
	m.nextHeartbeat = m.now.Add(m.cfg.Heartbeat)
	for _, v := range m.members() {
		pr := m.peers[v.ID]
		if pr == nil {
			continue
		}
		if pr.state == installing && m.now.Sub(pr.snapshotSentAt) >= snapshotRetryTimeouts*m.cfg.ElectionTimeout {
			pr.state = probing
		}
		if _, ok := m.log.term(pr.next - 1); !ok && pr.state == replicating {
			// The log was compacted past the lost messages, so the heartbeat below cannot detect the loss. Probing again
			// leads to a snapshot.
			pr.state, pr.inflight, pr.next = probing, nil, pr.match+1
		}
		msg := m.message(KindAppend, v.ID)
		msg.Round = m.reads.round
		// If the term of the preceding entry is unknown, or during a snapshot, the message keeps index 0, on which all logs
		// agree.
		if t, ok := m.log.term(pr.next - 1); ok && pr.state != installing {
			msg.Index, msg.LogTerm = pr.next-1, t
			msg.Commit = min(m.commit, msg.Index)
		}
		pr.paused = false
		m.send(msg, 0)
	}
}

func (m *Machine) replicate() {
	for _, v := range m.members() {
		pr := m.peers[v.ID]
		for pr != nil && m.sendEntries(v.ID, pr) {
			continue
		}
	}
}

// sendEntries sends at most one message and reports whether another one may be sent.
func (m *Machine) sendEntries(id string, pr *progress) bool {
	if pr.next > m.log.last() || pr.state == installing || pr.state == probing && pr.paused ||
		pr.state == replicating && len(pr.inflight) >= m.cfg.MaxInflight {
		return false
	}
	prevTerm, ok := m.log.term(pr.next - 1)
	if !ok {
		return m.sendSnapshot(id, pr)
	}
	entries := m.log.entriesFrom(pr.next, m.cfg.MaxMessageBytes)
	msg := m.message(KindAppend, id)
	msg.Index, msg.LogTerm, msg.Entries = pr.next-1, prevTerm, entries
	msg.Commit, msg.Round = min(m.commit, pr.next-1+uint64(len(entries))), m.reads.round
	m.send(msg, 0)
	if pr.state == probing {
		pr.paused = true
		return false
	}
	pr.next += uint64(len(entries))
	pr.inflight = append(pr.inflight, pr.next-1)
	return true
}

// sendSnapshot sends the snapshot to a follower that replies to messages; sending it to an unreachable one would only
// waste bandwidth.
func (m *Machine) sendSnapshot(id string, pr *progress) bool {
	if !pr.replied || !m.recentlyActive(id) {
		pr.paused = true
		return false
	}
	s := m.snapshot
	pr.state, pr.snapshotIndex, pr.snapshotSentAt, pr.inflight = installing, s.Index, m.now, nil
	msg := m.message(KindSnapshot, id)
	msg.Snapshot, msg.Round = &s, m.reads.round
	m.send(msg, 0)
	return false
}

// onLeaderMessage handles KindAppend and KindSnapshot, which only the leader of a term sends.
func (m *Machine) onLeaderMessage(msg Message) {
	if msg.Term < m.hardState.Term {
		reply := m.message(KindAppendReply, msg.From)
		reply.Reject = true
		m.send(reply, m.persist.hardStateSeq)
		return
	}
	if m.role == Leader && msg.Term == m.hardState.Term {
		panicInvariant("two leaders in term %d: %s and %s", msg.Term, m.cfg.ID, msg.From)
	}
	if msg.Term > m.hardState.Term || m.role != Follower {
		m.becomeFollower(msg.Term, msg.From)
	}
	m.setLeader(msg.From)
	m.lastContact = m.now
	m.resetElectionTimer()
	if msg.Kind == KindSnapshot {
		m.onSnapshot(msg)
	} else {
		m.onAppend(msg)
	}
}

func (m *Machine) onAppend(msg Message) {
	prev, prevTerm, entries := msg.Index, msg.LogTerm, msg.Entries
	reply := m.message(KindAppendReply, msg.From)
	reply.Index, reply.Round = msg.Index, msg.Round
	if prev < m.commit {
		// Committed entries are equal on all members, so the overlap needs no comparison.
		skip := min(uint64(len(entries)), m.commit-prev)
		prev, entries = prev+skip, entries[skip:]
		if prev < m.commit || len(entries) == 0 {
			reply.Match = min(m.commit, m.ackLimit())
			m.send(reply, m.persist.hardStateSeq)
			return
		}
		prevTerm, _ = m.log.term(prev)
	}
	if !m.log.has(prev, prevTerm) {
		reply.Reject = true
		reply.HintIndex, reply.HintTerm = m.conflictHint(prev)
		m.send(reply, m.persist.hardStateSeq)
		return
	}
	m.mergeEntries(entries)
	last := prev + uint64(len(entries))
	m.commit = max(m.commit, min(msg.Commit, last))
	if len(entries) == 0 {
		// The reply to a heartbeat does not wait for an outstanding Persist.
		reply.Match = min(last, m.ackLimit())
		m.send(reply, m.persist.hardStateSeq)
		return
	}
	reply.Match = last
	m.send(reply, m.coveringSeq())
}

// conflictHint returns the hint for a rejected append (see Message).
func (m *Machine) conflictHint(prev uint64) (index, term uint64) {
	t, ok := m.log.term(prev)
	if !ok {
		return m.log.last() + 1, 0
	}
	return max(m.log.firstOfTerm(t), m.commit+1), t
}

// mergeEntries appends the entries missing from the log, after removing any that conflict with them.
func (m *Machine) mergeEntries(entries []Entry) {
	for i, e := range entries {
		if m.log.has(e.Index, e.Term) {
			continue
		}
		if e.Index <= m.log.last() {
			if e.Index <= m.commit {
				panicInvariant("committed entry %d replaced in term %d", e.Index, m.hardState.Term)
			}
			m.log.truncate(e.Index)
			m.truncateConfigs(e.Index)
			m.persist.durableIndex = min(m.persist.durableIndex, e.Index-1)
		}
		m.log.append(entries[i:]...)
		m.appendConfigs(entries[i:])
		return
	}
}

func (m *Machine) onSnapshot(msg Message) {
	reply := m.message(KindAppendReply, msg.From)
	reply.Round = msg.Round
	s := msg.Snapshot
	if s == nil {
		return
	}
	if m.log.has(s.Index, s.Term) {
		m.commit = max(m.commit, s.Index)
	}
	if s.Index <= m.commit {
		reply.Match = min(m.commit, m.ackLimit())
		m.send(reply, m.coveringSeq())
		return
	}
	m.snapshot = *s
	m.log = log{base: s.Index, baseTerm: s.Term}
	m.configs = []indexedConfig{{index: s.Index, members: s.Members}}
	m.commit = s.Index
	p := &m.persist
	p.durableIndex, p.snapshotDirty, p.reset, p.installSeq = s.Index, true, true, p.requested+1
	reply.Match = s.Index
	m.send(reply, m.coveringSeq())
}

func (m *Machine) onAppendReply(msg Message) {
	pr := m.peers[msg.From]
	if m.role != Leader || pr == nil {
		return
	}
	pr.lastReply, pr.replied = m.now, true
	pr.ackedRound = max(pr.ackedRound, msg.Round)
	if msg.Reject {
		m.onAppendRejected(pr, msg)
	} else {
		m.onAppendAccepted(pr, msg)
	}
	m.confirmReads()
}

// onAppendRejected moves the follower's position back to where the logs may agree. A stale rejection, for a position that
// has since been acknowledged or abandoned, is ignored.
func (m *Machine) onAppendRejected(pr *progress, msg Message) {
	if msg.Index <= pr.match || pr.state == installing || pr.state == probing && msg.Index != pr.next-1 {
		return
	}
	next := msg.HintIndex
	if msg.HintTerm != 0 {
		// If both logs contain the hinted term, they can differ only after its last entry in the local log.
		if after := m.log.firstOfTerm(msg.HintTerm + 1); m.log.has(after-1, msg.HintTerm) {
			next = after
		}
	}
	pr.state, pr.paused, pr.inflight = probing, false, nil
	pr.next = max(min(next, msg.Index), pr.match+1)
}

func (m *Machine) onAppendAccepted(pr *progress, msg Message) {
	if msg.Match > m.log.last() {
		return
	}
	pr.match = max(pr.match, msg.Match)
	acknowledged := msg.Index == pr.next-1 || pr.match >= pr.next-1
	pr.next = max(pr.next, pr.match+1)
	switch pr.state {
	case probing:
		if acknowledged {
			pr.state, pr.paused, pr.inflight = replicating, false, nil
		}
	case installing:
		if pr.match >= pr.snapshotIndex {
			pr.state, pr.inflight = replicating, nil
			pr.next = pr.match + 1
		}
	case replicating:
		n := 0
		for n < len(pr.inflight) && pr.inflight[n] <= pr.match {
			n++
		}
		pr.inflight = pr.inflight[n:]
	}
}

// advanceCommit moves the commit index to the last index that is durable on a quorum of voters, if the entry there is of
// the current term.
func (m *Machine) advanceCommit() {
	var matches []uint64
	for _, v := range m.members() {
		switch {
		case v.Learner:
		case v.ID == m.cfg.ID:
			matches = append(matches, m.ackLimit())
		case m.peers[v.ID] != nil:
			matches = append(matches, m.peers[v.ID].match)
		}
	}
	if len(matches) == 0 {
		return
	}
	slices.Sort(matches)
	n := matches[(len(matches)-1)/2]
	if n <= m.commit || !m.log.has(n, m.hardState.Term) {
		return
	}
	for _, e := range m.log.between(m.commit+1, n) {
		m.uncommitted -= e.size()
	}
	m.uncommitted = max(m.uncommitted, 0)
	m.commit = n
}
