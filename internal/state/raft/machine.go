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
	cfg Config
	rng *rand.Rand
	now time.Time
	out []Action

	hard   HardState
	log    log
	snap   Snapshot
	config []configAt

	role     Role
	leader   string
	contact  time.Time // last message of the leader of this term
	election time.Time // when to start an election
	tries    int       // candidacies since a leader was known
	beat     time.Time // when the leader sends the next heartbeats
	elected  time.Time // when this member became leader
	votes    map[string]bool
	peers    map[string]*progress

	commit, applied uint64
	uncommitted     int // bytes of data in entries after commit that this leader appended
	pending         []proposal
	reads           readQueue

	persist   persistState
	held      []heldMessage
	restoring bool // a restored snapshot has not been handed to the replica yet
}

// persistState tracks which part of the state is durable.
type persistState struct {
	seq, done uint64 // numbers of the last Persist that was asked for and confirmed
	stable    uint64 // last index of the log that is durable
	lastIndex uint64 // last entry in the outstanding Persist
	lastTerm  uint64
	hardDirty bool
	hardSeq   uint64 // Persist that covers the present term and vote
	snapDirty bool
	reset     bool
	install   uint64 // Persist that covers a snapshot received from the leader; 0 if none is outstanding
}

type heldMessage struct {
	need    uint64
	message Message
}

type proposal struct{ id, index, term uint64 }

// New returns a machine that continues from the durable state. Its first Step starts the election timer.
func New(cfg Config, restored DurableState) *Machine {
	cfg = cfg.withDefaults()
	h := fnv.New64a()
	_, _ = h.Write([]byte(cfg.ID))
	m := &Machine{
		cfg:  cfg,
		rng:  rand.New(rand.NewPCG(cfg.Seed, h.Sum64())),
		hard: restored.HardState,
		log:  newLog(restored),
	}
	base := configAt{members: cfg.Bootstrap}
	if restored.Snapshot != nil {
		m.snap = *restored.Snapshot
		base = configAt{index: m.snap.Index, members: m.snap.Members}
		m.restoring = true
	}
	m.config = []configAt{base}
	m.noteConfigs(m.log.between(max(base.index, m.log.base)+1, m.log.last()))
	m.applied = m.snap.Index
	m.commit = max(m.snap.Index, min(m.hard.Commit, m.log.last()))
	m.persist.stable = m.log.last()
	return m
}

// Step handles one event and returns the actions to execute, in order.
func (m *Machine) Step(now time.Time, ev Event) []Action {
	m.now, m.out = now, nil
	if m.election.IsZero() {
		m.firstElection()
	}
	if m.restoring {
		m.restoring = false
		m.emit(Restore{Snapshot: m.snap})
	}
	m.handle(ev)
	m.settle()
	return m.out
}

// Deadline returns the time at which the next Tick is due.
func (m *Machine) Deadline() time.Time {
	if m.role == Leader {
		return m.beat
	}
	return m.election
}

// Status returns a copy of the state.
func (m *Machine) Status() Status {
	s := Status{
		ID: m.cfg.ID, Cluster: m.cfg.Cluster, Role: m.role, Term: m.hard.Term, Leader: m.leader,
		First: m.log.base + 1, Last: m.log.last(), Commit: m.commit, Applied: m.applied,
		SnapshotIndex: m.snap.Index, Members: slices.Clone(m.members()), LeaderUntil: m.election,
	}
	if t, ok := m.log.term(m.applied); ok {
		s.Current = m.leader != "" && t == m.hard.Term
	}
	if m.role == Leader {
		s.LeaderUntil = m.quorumUntil(m.members())
		s.Match = map[string]uint64{m.cfg.ID: m.persist.stable}
		for id, pr := range m.peers {
			s.Match[id] = pr.match
		}
	}
	return s
}

// Leader returns the leader that this member knows, empty if none, and the present term.
func (m *Machine) Leader() (id string, term uint64) { return m.leader, m.hard.Term }

// Applied returns the index of the last entry handed over in Apply or Restore.
func (m *Machine) Applied() uint64 { return m.applied }

// LastSnapshot returns the last snapshot taken or received; its Index is 0 if there is none.
func (m *Machine) LastSnapshot() Snapshot { return m.snap }

func (m *Machine) emit(a Action) { m.out = append(m.out, a) }

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

// settle brings everything forward that the event has made possible.
func (m *Machine) settle() {
	if m.role == Leader {
		m.advanceCommit()
		m.startReads()
		m.sendAll()
	}
	m.startPersist()
	m.apply()
	m.finishReads()
}

func (m *Machine) tick() {
	if m.role == Leader {
		if !m.quorumActive(m.members()) {
			m.follow(m.hard.Term, "")
			return
		}
		if !m.now.Before(m.beat) {
			m.heartbeat()
		}
		return
	}
	if !m.now.Before(m.election) {
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

// onReply drops replies from unknown ids, follows a higher term and ignores a lower one. A granted pre-vote carries the
// term that was asked for, which is not in force yet.
func (m *Machine) onReply(msg Message) {
	if !m.IsMember(msg.From) {
		return
	}
	preVote := msg.Kind == KindPreVoteReply
	if msg.Term > m.hard.Term && (!preVote || msg.Reject) {
		m.follow(msg.Term, "")
		return
	}
	if preVote {
		m.onPreVoteReply(msg)
		return
	}
	if msg.Term < m.hard.Term {
		return
	}
	if msg.Kind == KindVoteReply {
		m.onVoteReply(msg)
	} else {
		m.onAppendReply(msg)
	}
}

// message returns a message of the present term.
func (m *Machine) message(kind Kind, to string) Message {
	return Message{Kind: kind, Cluster: m.cfg.Cluster, From: m.cfg.ID, To: to, Term: m.hard.Term}
}

// dirty reports whether part of the state is in no Persist yet.
func (m *Machine) dirty() bool {
	return m.persist.hardDirty || m.persist.snapDirty || m.persist.stable < m.log.last()
}

// send sends a message once the Persist with number need is durable.
func (m *Machine) send(msg Message, need uint64) {
	if need > m.persist.done {
		m.held = append(m.held, heldMessage{need: need, message: msg})
		return
	}
	if msg.To == m.cfg.ID {
		m.receive(msg)
		return
	}
	m.emit(Send{To: msg.To, Message: msg})
}

// needAll returns the number of the Persist that covers the whole present state.
func (m *Machine) needAll() uint64 {
	if m.persist.hardDirty || m.persist.snapDirty {
		return m.persist.seq + 1
	}
	if m.persist.stable >= m.log.last() {
		return m.persist.seq
	}
	if m.persist.done < m.persist.seq && m.log.has(m.persist.lastIndex, m.persist.lastTerm) &&
		m.persist.lastIndex == m.log.last() {
		return m.persist.seq
	}
	return m.persist.seq + 1
}

func (m *Machine) setHard(term uint64, vote string) {
	if m.hard.Term == term && m.hard.Vote == vote {
		return
	}
	m.hard.Term, m.hard.Vote = term, vote
	m.persist.hardDirty = true
	m.persist.hardSeq = m.persist.seq + 1
}

// startPersist asks for one write of all that is not durable, unless an earlier one is outstanding.
func (m *Machine) startPersist() {
	p := &m.persist
	if p.done < p.seq || !m.dirty() {
		return
	}
	p.seq++
	m.hard.Commit = m.commit
	a := Persist{Seq: p.seq, HardState: m.hard, Reset: p.reset, Entries: m.log.between(p.stable+1, m.log.last())}
	if p.snapDirty {
		s := m.snap
		a.Snapshot, a.Compact = &s, m.log.base
	}
	p.lastIndex, p.lastTerm = m.log.last(), m.log.lastTerm()
	p.hardDirty, p.snapDirty, p.reset = false, false, false
	m.emit(a)
}

func (m *Machine) persisted(seq uint64) {
	p := &m.persist
	if seq != p.seq || p.done == seq {
		return
	}
	p.done = seq
	// A newer leader may have replaced entries since the write was started; equal index and term mean equal prefixes.
	// A write from before a received snapshot says nothing about the log that follows the snapshot.
	if (p.install == 0 || p.install <= seq) && p.lastIndex > p.stable && m.log.has(p.lastIndex, p.lastTerm) {
		p.stable = p.lastIndex
	}
	if p.install != 0 && p.install <= seq {
		p.install = 0
		m.applied = m.snap.Index
		m.emit(Restore{Snapshot: m.snap})
		m.dropPendingBefore(m.snap.Index)
	}
	held := m.held
	m.held = nil
	for _, h := range held {
		// A message of an older term is of no use, and the entries that it acknowledges may be gone.
		if h.message.Term >= m.hard.Term {
			m.send(h.message, h.need)
		}
	}
}

// durable returns the last index that this member may acknowledge.
func (m *Machine) durable() uint64 {
	if m.persist.install != 0 {
		return 0
	}
	return m.persist.stable
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
	m.appendOwn(ev.ID, e)
}

func (m *Machine) appendOwn(id uint64, e Entry) {
	e.Index, e.Term = m.log.last()+1, m.hard.Term
	m.log.append(e)
	m.uncommitted += e.size()
	m.pending = append(m.pending, proposal{id: id, index: e.Index, term: e.Term})
	m.noteConfigs([]Entry{e})
}

// apply hands over the entries that are committed and durable here.
func (m *Machine) apply() {
	hi := min(m.commit, m.durable())
	if hi <= m.applied {
		return
	}
	entries := m.log.between(m.applied+1, hi)
	m.applied = hi
	m.emit(Apply{Entries: entries})
	for _, e := range entries {
		m.resolve(e)
	}
	if m.role == Leader && !m.IsMember(m.cfg.ID) && m.latestConfig().index <= m.commit {
		m.follow(m.hard.Term, "")
	}
}

// resolve answers the proposals whose outcome the applied entry decides. Terms do not decrease along the log, so a
// proposal of an older term that has not been applied yet can never be committed.
func (m *Machine) resolve(e Entry) {
	for len(m.pending) > 0 {
		p := m.pending[0]
		switch {
		case p.term == e.Term && p.index == e.Index:
			if p.id != 0 {
				m.emit(ProposalDone{ID: p.id, Index: p.index})
			}
		case p.term < e.Term:
			if p.id != 0 {
				m.emit(ProposalFailed{ID: p.id, Reason: ReasonLost})
			}
		default:
			return
		}
		m.pending = m.pending[1:]
	}
}

// dropPendingBefore gives up the proposals whose entries a snapshot has skipped.
func (m *Machine) dropPendingBefore(index uint64) {
	m.pending = slices.DeleteFunc(m.pending, func(p proposal) bool {
		if p.index <= index && p.id != 0 {
			m.emit(ProposalFailed{ID: p.id, Reason: ReasonUnknown})
		}
		return p.index <= index
	})
}

func (m *Machine) snapshotTaken(ev SnapshotTaken) {
	t, ok := m.log.term(ev.Index)
	if ev.Index <= m.snap.Index || ev.Index > m.applied || !ok || m.persist.install != 0 {
		return
	}
	m.snap = Snapshot{Index: ev.Index, Term: t, Members: m.configAtIndex(ev.Index).members, Data: ev.Data}
	m.persist.snapDirty = true
	if ev.Index > m.cfg.KeepEntries {
		m.log.compact(ev.Index - m.cfg.KeepEntries)
	}
	m.forgetConfigsBefore(ev.Index)
}

// violated stops the member when an invariant does not hold: continuing could acknowledge a write that is lost.
func violated(format string, args ...any) {
	panic("raft invariant violated: " + fmt.Sprintf(format, args...))
}
