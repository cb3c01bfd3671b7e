package raft

import (
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"slices"
	"time"
)

// Machine is the consensus state machine of one member. It is not safe for concurrent use.
type Machine struct {
	cfg     Config
	rng     *rand.Rand
	now     time.Time
	actions []Action

	hardState HardState
	log       log
	snapshot  Snapshot
	configs   []indexedConfig

	role             Role
	leader           string
	lastContact      time.Time // last message from the leader of this term
	electionDeadline time.Time // when this member starts an election
	backoffShift     int       // election attempts since a leader was last known, up to maxBackoffShift
	nextHeartbeat    time.Time // when this leader sends its next heartbeats
	electedAt        time.Time // when this member became leader
	votes            map[string]bool
	peers            map[string]*progress

	commit, applied uint64
	uncommitted     int // total size in bytes of the uncommitted entries that this leader appended
	pending         []proposal
	reads           readQueue

	persist        persistState
	deferred       []deferredMessage
	restorePending bool // the stored snapshot has not yet been passed to the replica
}

// persistState tracks which part of the state is durable.
type persistState struct {
	requested, confirmed uint64 // sequence numbers of the last requested and the last confirmed Persist
	durableIndex         uint64 // last durable index of the log
	lastIndex            uint64 // last entry in the outstanding Persist
	lastTerm             uint64
	hardStateDirty       bool
	hardStateSeq         uint64 // Persist that covers the current term and vote
	snapshotDirty        bool
	reset                bool
	installSeq           uint64 // Persist that covers a snapshot received from the leader; 0 if none is outstanding
}

type deferredMessage struct {
	minSeq  uint64
	message Message
}

type proposal struct{ id, index, term uint64 }

// New returns a machine that continues from the stored state. Its first Step starts the election timer.
func New(cfg Config, restored DurableState) *Machine {
	cfg = cfg.withDefaults()
	h := fnv.New64a()
	_, _ = h.Write([]byte(cfg.ID))
	m := &Machine{
		cfg:       cfg,
		rng:       rand.New(rand.NewPCG(cfg.Seed, h.Sum64())),
		hardState: restored.HardState,
		log:       newLog(restored),
	}
	base := indexedConfig{members: cfg.Bootstrap}
	if restored.Snapshot != nil {
		m.snapshot = *restored.Snapshot
		base = indexedConfig{index: m.snapshot.Index, members: m.snapshot.Members}
		m.restorePending = true
	}
	m.configs = []indexedConfig{base}
	m.appendConfigs(m.log.between(max(base.index, m.log.base)+1, m.log.last()))
	m.applied = m.snapshot.Index
	m.commit = max(m.snapshot.Index, min(m.hardState.Commit, m.log.last()))
	m.persist.durableIndex = m.log.last()
	return m
}

// Step handles one event and returns the actions to execute, in order.
func (m *Machine) Step(now time.Time, ev Event) []Action {
	m.now, m.actions = now, nil
	if m.electionDeadline.IsZero() {
		m.scheduleFirstElection()
	}
	if m.restorePending {
		m.restorePending = false
		m.emit(Restore{Snapshot: m.snapshot})
	}
	m.handle(ev)
	m.advance()
	return m.actions
}

// Deadline returns the time at which the next Tick is due.
func (m *Machine) Deadline() time.Time {
	if m.role == Leader {
		return m.nextHeartbeat
	}
	return m.electionDeadline
}

// Status returns a copy of the state.
func (m *Machine) Status() Status {
	s := Status{
		ID: m.cfg.ID, Cluster: m.cfg.Cluster, Role: m.role, Term: m.hardState.Term, Leader: m.leader,
		First: m.log.base + 1, Last: m.log.last(), Commit: m.commit, Applied: m.applied,
		SnapshotIndex: m.snapshot.Index, Members: slices.Clone(m.members()), LeaderUntil: m.electionDeadline,
		Contact: m.lastContact,
	}
	if t, ok := m.log.term(m.applied); ok {
		s.Current = m.leader != "" && t == m.hardState.Term
	}
	if m.role == Leader {
		s.LeaderUntil = m.quorumActiveUntil(m.members())
		s.Contact = s.LeaderUntil.Add(-m.cfg.ElectionTimeout)
		s.Match = map[string]uint64{m.cfg.ID: m.persist.durableIndex}
		for id, pr := range m.peers {
			s.Match[id] = pr.match
		}
	}
	return s
}

// Leader returns the id of the known leader, empty if none, and the current term.
func (m *Machine) Leader() (id string, term uint64) { return m.leader, m.hardState.Term }

// Applied returns the index of the last entry covered by an Apply or Restore action.
func (m *Machine) Applied() uint64 { return m.applied }

// LastSnapshot returns the last snapshot taken or received; its Index is 0 if there is none.
func (m *Machine) LastSnapshot() Snapshot { return m.snapshot }

func (m *Machine) emit(a Action) { m.actions = append(m.actions, a) }

func (m *Machine) handle(ev Event) {
	switch ev := ev.(type) {
	case Tick:
		m.tick()
	case Received:
		m.receive(ev.Message)
	case Propose:
		m.propose(ev)
	case Read:
		m.read(ev.ID)
	case Persisted:
		m.persisted(ev.Seq)
	case ChangeMembers:
		m.changeMembers(ev)
	case SnapshotTaken:
		m.snapshotTaken(ev)
	case Batch:
		for _, e := range ev.Events {
			m.handle(e)
		}
	}
}

// advance commits, replicates, persists and applies whatever the last event has made possible.
func (m *Machine) advance() {
	if m.role == Leader {
		m.advanceCommit()
		m.startReads()
		m.replicate()
	}
	m.startPersist()
	m.apply()
	m.finishReads()
}

func (m *Machine) tick() {
	if m.role == Leader {
		if !m.quorumActive(m.members()) {
			m.becomeFollower(m.hardState.Term, "")
			return
		}
		if !m.now.Before(m.nextHeartbeat) {
			m.sendHeartbeats()
		}
		return
	}
	if !m.now.Before(m.electionDeadline) {
		m.campaign()
	}
}

func (m *Machine) receive(msg Message) {
	if msg.Cluster != m.cfg.Cluster || msg.To != m.cfg.ID {
		return
	}
	switch msg.Kind {
	case KindPreVote:
		m.onPreVote(msg)
	case KindVote:
		m.onVote(msg)
	case KindAppend, KindSnapshot:
		m.onLeaderMessage(msg)
	case KindAppendReply, KindPreVoteReply, KindVoteReply:
		m.onReply(msg)
	case KindForward, KindForwardReply:
	}
}

// onReply ignores replies from unknown ids and lower terms, and becomes a follower on a higher term. A granted pre-vote
// carries the requested term, which no member has entered yet.
func (m *Machine) onReply(msg Message) {
	if !m.IsMember(msg.From) {
		return
	}
	preVote := msg.Kind == KindPreVoteReply
	if msg.Term > m.hardState.Term && (!preVote || msg.Reject) {
		m.becomeFollower(msg.Term, "")
		return
	}
	if preVote {
		m.onPreVoteReply(msg)
		return
	}
	if msg.Term < m.hardState.Term {
		return
	}
	if msg.Kind == KindVoteReply {
		m.onVoteReply(msg)
	} else {
		m.onAppendReply(msg)
	}
}

// message returns a message with the current term.
func (m *Machine) message(kind Kind, to string) Message {
	return Message{Kind: kind, Cluster: m.cfg.Cluster, From: m.cfg.ID, To: to, Term: m.hardState.Term}
}

// dirty reports whether part of the state still has to be persisted.
func (m *Machine) dirty() bool {
	return m.persist.hardStateDirty || m.persist.snapshotDirty || m.persist.durableIndex < m.log.last()
}

// send sends a message once the Persist with sequence number minSeq is confirmed.
func (m *Machine) send(msg Message, minSeq uint64) {
	if minSeq > m.persist.confirmed {
		m.deferred = append(m.deferred, deferredMessage{minSeq: minSeq, message: msg})
		return
	}
	if msg.To == m.cfg.ID {
		m.receive(msg)
		return
	}
	m.emit(Send{To: msg.To, Message: msg})
}

// coveringSeq returns the sequence number of the Persist that covers the whole current state.
func (m *Machine) coveringSeq() uint64 {
	if m.persist.hardStateDirty || m.persist.snapshotDirty {
		return m.persist.requested + 1
	}
	if m.persist.durableIndex >= m.log.last() {
		return m.persist.requested
	}
	if m.persist.confirmed < m.persist.requested && m.log.has(m.persist.lastIndex, m.persist.lastTerm) &&
		m.persist.lastIndex == m.log.last() {
		return m.persist.requested
	}
	return m.persist.requested + 1
}

func (m *Machine) setHardState(term uint64, vote string) {
	if m.hardState.Term == term && m.hardState.Vote == vote {
		return
	}
	m.hardState.Term, m.hardState.Vote = term, vote
	m.persist.hardStateDirty = true
	m.persist.hardStateSeq = m.persist.requested + 1
}

// startPersist requests one write of all state that is not durable, unless an earlier one is outstanding.
func (m *Machine) startPersist() {
	p := &m.persist
	if p.confirmed < p.requested || !m.dirty() {
		return
	}
	p.requested++
	m.hardState.Commit = m.commit
	a := Persist{Seq: p.requested, HardState: m.hardState, Reset: p.reset, Entries: m.log.between(p.durableIndex+1, m.log.last())}
	if p.snapshotDirty {
		s := m.snapshot
		a.Snapshot, a.Compact = &s, m.log.base
	}
	p.lastIndex, p.lastTerm = m.log.last(), m.log.lastTerm()
	p.hardStateDirty, p.snapshotDirty, p.reset = false, false, false
	m.emit(a)
}

func (m *Machine) persisted(seq uint64) {
	p := &m.persist
	if seq != p.requested || p.confirmed == seq {
		return
	}
	p.confirmed = seq
	// A newer leader may have replaced entries since the write started; an equal index and term imply equal prefixes. A
	// write that started before a snapshot was received does not cover the log that follows the snapshot.
	if (p.installSeq == 0 || p.installSeq <= seq) && p.lastIndex > p.durableIndex && m.log.has(p.lastIndex, p.lastTerm) {
		p.durableIndex = p.lastIndex
	}
	if p.installSeq != 0 && p.installSeq <= seq {
		p.installSeq = 0
		m.applied = m.snapshot.Index
		m.emit(Restore{Snapshot: m.snapshot})
		m.dropPendingThrough(m.snapshot.Index)
	}
	deferred := m.deferred
	m.deferred = nil
	for _, h := range deferred {
		// A message of an older term would be ignored, and the entries that it acknowledges may have been replaced.
		if h.message.Term >= m.hardState.Term {
			m.send(h.message, h.minSeq)
		}
	}
}

// ackLimit returns the last index that this member may acknowledge.
func (m *Machine) ackLimit() uint64 {
	if m.persist.installSeq != 0 {
		return 0
	}
	return m.persist.durableIndex
}

func (m *Machine) propose(ev Propose) {
	if m.role != Leader {
		m.emit(ProposalFailed{ID: ev.ID, Reason: ReasonNotLeader})
		return
	}
	e := Entry{Kind: EntryData, Data: ev.Data}
	if m.uncommitted > 0 && m.uncommitted+e.size() > m.cfg.MaxUncommittedBytes {
		m.emit(ProposalFailed{ID: ev.ID, Reason: ReasonOverloaded})
		return
	}
	m.appendAsLeader(ev.ID, e)
}

func (m *Machine) appendAsLeader(id uint64, e Entry) {
	e.Index, e.Term = m.log.last()+1, m.hardState.Term
	m.log.append(e)
	m.uncommitted += e.size()
	m.pending = append(m.pending, proposal{id: id, index: e.Index, term: e.Term})
	m.appendConfigs([]Entry{e})
}

// apply emits the entries that are committed and durable locally, and completes their proposals. A leader that the
// committed configuration no longer contains steps down.
func (m *Machine) apply() {
	hi := min(m.commit, m.ackLimit())
	if hi <= m.applied {
		return
	}
	entries := m.log.between(m.applied+1, hi)
	m.applied = hi
	m.emit(Apply{Entries: entries})
	for _, e := range entries {
		m.resolveProposals(e)
	}
	if m.role == Leader && !m.IsMember(m.cfg.ID) && m.latestConfig().index <= m.commit {
		m.becomeFollower(m.hardState.Term, "")
	}
}

// resolveProposals completes the proposals whose outcome the applied entry decides. Terms never decrease along the log,
// so a proposal of an older term that has not been applied can never be committed.
func (m *Machine) resolveProposals(e Entry) {
	for len(m.pending) > 0 {
		p := m.pending[0]
		switch {
		case p.term == e.Term && p.index == e.Index:
			if p.id != 0 {
				m.emit(ProposalDone{ID: p.id, Index: p.index})
			}
		case p.term < e.Term:
			if p.id != 0 {
				m.emit(ProposalFailed{ID: p.id, Reason: ReasonSuperseded})
			}
		default:
			return
		}
		m.pending = m.pending[1:]
	}
}

// dropPendingThrough fails the pending proposals up to and including index, which a received snapshot has skipped.
func (m *Machine) dropPendingThrough(index uint64) {
	m.pending = slices.DeleteFunc(m.pending, func(p proposal) bool {
		if p.index <= index && p.id != 0 {
			m.emit(ProposalFailed{ID: p.id, Reason: ReasonUnknown})
		}
		return p.index <= index
	})
}

func (m *Machine) snapshotTaken(ev SnapshotTaken) {
	t, ok := m.log.term(ev.Index)
	if ev.Index <= m.snapshot.Index || ev.Index > m.applied || !ok || m.persist.installSeq != 0 {
		return
	}
	m.snapshot = Snapshot{Index: ev.Index, Term: t, Members: m.configAtIndex(ev.Index).members, Data: ev.Data}
	m.persist.snapshotDirty = true
	if ev.Index > m.cfg.KeepEntries {
		m.log.compact(ev.Index - m.cfg.KeepEntries)
	}
	m.compactConfigs(ev.Index)
}

// panicInvariant panics on a violated invariant: continuing could acknowledge a write that is later lost.
func panicInvariant(format string, args ...any) {
	panic("raft invariant violated: " + fmt.Sprintf(format, args...))
}
