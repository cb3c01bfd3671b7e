package raft

import (
	"encoding/binary"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"slices"
	"time"

	"pgregory.net/rapid"
)

// simulation runs a group in one goroutine over an adversarial network and checks the invariants after each step.
type simulation struct {
	t                *rapid.T
	rng              *rand.Rand
	now              time.Time
	cluster          uint64
	nodes            []*simNode
	queue            []simMessage
	extraLatency     time.Duration // added to the delay of each message
	lossPercent      int           // per cent
	duplicatePercent int           // per cent
	blocked          map[[2]string]bool

	nextID       uint64
	leaders      map[uint64]string    // by term
	entries      map[[2]uint64]uint64 // by index and term: hash of the entry and the preceding term
	committed    []Entry              // indexed by entry index - 1
	hashes       []uint64             // replica state after each index
	ackedIndex   uint64               // highest index of an acknowledged proposal
	accepted     map[uint64]uint64    // index of acknowledged proposals
	failed       map[uint64]bool      // proposals reported as having no effect
	minReadIndex map[uint64]uint64    // by read id: lowest index that the read may observe
	readsDone    int
}

type simMessage struct {
	at  time.Time
	msg Message
}

// simNode is a VM with a disk, and a machine while it is running.
type simNode struct {
	slot, incarnation int
	id                string
	m                 *Machine // nil while it is down
	disk              DurableState
	bootstrap         []Member
	writing           *Persist
	writeDone         time.Time
	applied           uint64
	hash              uint64
	checkedTerm       uint64 // last term for which leader completeness was checked
}

func newSimulation(t *rapid.T, size int, seed uint64) *simulation {
	s := &simulation{
		t: t, rng: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(1000, 0), blocked: map[[2]string]bool{},
		leaders: map[uint64]string{}, entries: map[[2]uint64]uint64{}, hashes: []uint64{0},
		accepted: map[uint64]uint64{}, failed: map[uint64]bool{}, minReadIndex: map[uint64]uint64{},
	}
	var initial []Member
	for i := range size {
		initial = append(initial, Member{ID: fmt.Sprintf("n%d.0", i)})
	}
	s.cluster = ClusterID(0, initial)
	for i := range size {
		s.nodes = append(s.nodes, &simNode{slot: i, id: initial[i].ID, bootstrap: initial})
	}
	for _, n := range s.nodes {
		s.start(n)
	}
	return s
}

func (s *simulation) start(n *simNode) {
	if n.m != nil {
		return
	}
	restored := n.disk
	restored.Entries = slices.Clone(n.disk.Entries)
	n.m = New(Config{
		ID: n.id, Cluster: s.cluster, Bootstrap: n.bootstrap, Seed: s.rng.Uint64(), ElectionTimeout: time.Second,
		Heartbeat: 200 * time.Millisecond, MaxMessageBytes: 64, MaxInflight: 3, KeepEntries: 3, PromoteLag: 4,
	}, restored)
	n.applied, n.hash, n.checkedTerm = 0, 0, 0
	s.step(n, Tick{})
}

// crash stops a node. An unconfirmed write reaches the disk with probability 1/2.
func (s *simulation) crash(n *simNode) {
	if n.m == nil {
		return
	}
	if n.writing != nil && s.rng.IntN(2) == 0 {
		n.write(*n.writing)
	}
	n.m, n.writing = nil, nil
}

// keepsQuorum reports whether more than half of the voters have intact disks. Without them no protocol can preserve
// entries or make progress, so the simulation avoids that case.
func (s *simulation) keepsQuorum(members []Member, alsoWiped string) bool {
	voters, intact := 0, 0
	for _, v := range members {
		if v.Learner {
			continue
		}
		voters++
		if v.ID != alsoWiped && slices.ContainsFunc(s.nodes, func(n *simNode) bool { return n.id == v.ID }) {
			intact++
		}
	}
	return voters == 0 || intact > voters/2
}

// wipe replaces the disk of a node and restarts the node under a new id.
func (s *simulation) wipe(n *simNode) {
	for _, o := range s.nodes {
		cfg := New(Config{ID: o.id, Bootstrap: o.bootstrap}, o.disk).members()
		if o.m != nil {
			cfg = o.m.members()
		}
		if !s.keepsQuorum(cfg, n.id) || len(s.committed) == 0 {
			return
		}
	}
	s.crash(n)
	n.incarnation++
	n.id, n.disk, n.bootstrap = fmt.Sprintf("n%d.%d", n.slot, n.incarnation), DurableState{}, nil
	s.start(n)
}

// remove removes a member unless too few of the remaining voters have intact disks.
func (s *simulation) remove(n *simNode) {
	if l := s.leader(); l != nil {
		if next, ok := applyChange(l.m.members(), Change{Kind: Remove, Member: Member{ID: n.id}}); ok && s.keepsQuorum(next, "") {
			s.change(Change{Kind: Remove, Member: Member{ID: n.id}})
		}
	}
}

func (n *simNode) write(p Persist) {
	n.disk.HardState = p.HardState
	if p.Snapshot != nil {
		n.disk.Snapshot = p.Snapshot
	}
	if p.Reset {
		n.disk.Entries = nil
	}
	for len(n.disk.Entries) > 0 && n.disk.Entries[0].Index <= p.Compact {
		n.disk.Entries = n.disk.Entries[1:]
	}
	if len(p.Entries) > 0 {
		kept := slices.DeleteFunc(slices.Clone(n.disk.Entries), func(e Entry) bool { return e.Index >= p.Entries[0].Index })
		n.disk.Entries = append(kept, p.Entries...)
	}
}

func (s *simulation) step(n *simNode, ev Event) {
	for _, a := range n.m.Step(s.now, ev) {
		switch a := a.(type) {
		case Persist:
			if n.writing != nil {
				s.t.Fatalf("%s: second write while one is outstanding", n.id)
			}
			n.writing, n.writeDone = &a, s.now.Add(time.Duration(s.rng.IntN(20))*time.Millisecond)
			s.checkEntries(n)
		case Send:
			s.send(a.Message)
		case Apply:
			s.apply(n, a.Entries)
		case Restore:
			n.applied, n.hash = a.Snapshot.Index, binary.BigEndian.Uint64(a.Snapshot.Data)
			s.check(n.applied < uint64(len(s.hashes)) && s.hashes[n.applied] == n.hash, "%s: wrong snapshot", n.id)
		case ProposalDone:
			s.proposalDone(a)
		case ProposalFailed:
			if a.Reason != ReasonUnknown {
				s.failed[a.ID] = true
			}
		case ReadReady:
			s.check(a.Index >= s.minReadIndex[a.ID], "%s: stale read %d < %d", n.id, a.Index, s.minReadIndex[a.ID])
			s.check(n.m.applied >= a.Index, "%s: read before apply", n.id)
			s.readsDone++
		case ReadFailed, LeaderChanged:
		}
	}
	s.checkLeader(n)
}

func (s *simulation) check(ok bool, format string, args ...any) {
	if !ok {
		s.t.Fatalf(format, args...)
	}
}

func (s *simulation) send(msg Message) {
	if s.blocked[[2]string{msg.From, msg.To}] || s.rng.IntN(100) < s.lossPercent {
		return
	}
	for range 1 + s.rng.IntN(100)/max(100-s.duplicatePercent, 1) {
		delay := s.extraLatency + time.Duration(1+s.rng.IntN(15))*time.Millisecond
		if s.lossPercent > 0 && s.rng.IntN(20) == 0 {
			delay = time.Duration(s.rng.IntN(3000)) * time.Millisecond // may arrive in a later term
		}
		s.queue = append(s.queue, simMessage{at: s.now.Add(delay), msg: msg})
	}
}

func hashOf(parts ...any) uint64 {
	h := fnv.New64a()
	_, _ = fmt.Fprint(h, parts...)
	return h.Sum64()
}

// checkEntries checks log matching: an index and a term determine the entry and, by induction, all entries before it.
func (s *simulation) checkEntries(n *simNode) {
	for _, e := range n.writing.Entries {
		before, _ := n.m.log.term(e.Index - 1)
		h, key := hashOf(before, e.Kind, e.Data, e.Members), [2]uint64{e.Index, e.Term}
		known, ok := s.entries[key]
		s.check(!ok || known == h, "%s: log matching violated at %v", n.id, key)
		s.entries[key] = h
	}
}

// checkLeader checks election safety and leader completeness.
func (s *simulation) checkLeader(n *simNode) {
	if n.m == nil || n.m.role != Leader || n.checkedTerm == n.m.hardState.Term {
		return
	}
	n.checkedTerm = n.m.hardState.Term
	other, ok := s.leaders[n.checkedTerm]
	s.check(!ok || other == n.id, "two leaders in term %d: %s and %s", n.checkedTerm, other, n.id)
	s.leaders[n.checkedTerm] = n.id
	for _, e := range s.committed {
		if e.Index >= n.m.log.base {
			s.check(n.m.log.has(e.Index, e.Term), "%s: leader of term %d lacks committed entry %d", n.id, n.checkedTerm, e.Index)
		}
	}
}

// apply applies entries and checks state machine safety.
func (s *simulation) apply(n *simNode, entries []Entry) {
	for _, e := range entries {
		s.check(e.Index == n.applied+1, "%s: applied %d after %d", n.id, e.Index, n.applied)
		n.applied, n.hash = e.Index, hashOf(n.hash, e.Index, e.Term, e.Data)
		if e.Index > uint64(len(s.committed)) {
			s.committed, s.hashes = append(s.committed, e), append(s.hashes, n.hash)
		}
		s.check(s.hashes[e.Index] == n.hash, "%s: applied another entry at %d", n.id, e.Index)
	}
}

func (s *simulation) proposalDone(a ProposalDone) {
	s.check(a.Index <= uint64(len(s.committed)), "proposal %d acknowledged before it was applied", a.ID)
	e := s.committed[a.Index-1]
	s.check(e.Kind != EntryData || binary.BigEndian.Uint64(e.Data) == a.ID, "proposal %d is not at %d", a.ID, a.Index)
	s.accepted[a.ID] = a.Index
	s.ackedIndex = max(s.ackedIndex, a.Index)
}

// run advances the simulated time by d in steps of 5 ms.
func (s *simulation) run(d time.Duration) {
	for end := s.now.Add(d); s.now.Before(end); {
		s.now = s.now.Add(5 * time.Millisecond)
		var due []simMessage
		s.queue = slices.DeleteFunc(s.queue, func(q simMessage) bool {
			if q.at.After(s.now) {
				return false
			}
			due = append(due, q)
			return true
		})
		s.rng.Shuffle(len(due), func(i, j int) { due[i], due[j] = due[j], due[i] })
		for _, q := range due {
			for _, n := range s.nodes {
				if n.id == q.msg.To && n.m != nil {
					s.step(n, Received{Message: q.msg})
				}
			}
		}
		for _, n := range s.nodes {
			if n.m != nil && n.writing != nil && !n.writeDone.After(s.now) {
				p := *n.writing
				n.writing = nil
				n.write(p)
				s.step(n, Persisted{Seq: p.Seq})
			}
			if n.m != nil && !n.m.Deadline().After(s.now) {
				s.step(n, Tick{})
			}
		}
	}
}

// restartAll kills and restarts all nodes of a group that has a leader, and returns the time until a new leader is
// elected. Messages take longer than usual after the restart, because connections have to be reestablished.
func (s *simulation) restartAll() time.Duration {
	s.runUntil(func() bool { return s.leader() != nil })
	s.run(time.Second)
	s.extraLatency = 20 * time.Millisecond
	for _, n := range s.nodes {
		s.crash(n)
	}
	s.queue = nil
	for _, n := range s.nodes {
		s.start(n)
	}
	began := s.now
	s.runUntil(func() bool { return s.leader() != nil })
	return s.now.Sub(began)
}

// runUntil advances the time until ok returns true; it fails after a simulated minute.
func (s *simulation) runUntil(ok func() bool) {
	for end := s.now.Add(time.Minute); !ok(); {
		s.check(s.now.Before(end), "condition not met within a minute")
		s.run(5 * time.Millisecond)
	}
}

func (s *simulation) propose(n *simNode, count int) {
	if n.m == nil {
		return
	}
	var b Batch
	for range count {
		s.nextID++
		b.Events = append(b.Events, Propose{ID: s.nextID, Data: binary.BigEndian.AppendUint64(nil, s.nextID)})
	}
	s.step(n, b)
}

func (s *simulation) read(n *simNode) {
	if n.m == nil {
		return
	}
	s.nextID++
	s.minReadIndex[s.nextID] = s.ackedIndex
	s.step(n, Read{ID: s.nextID})
}

func (s *simulation) snapshot(n *simNode) {
	if n.m != nil && n.applied > 0 {
		s.step(n, SnapshotTaken{Index: n.applied, Data: binary.BigEndian.AppendUint64(nil, n.hash)})
	}
}

func (s *simulation) leader() *simNode {
	var best *simNode
	for _, n := range s.nodes {
		if n.m != nil && n.m.role == Leader && (best == nil || n.m.hardState.Term > best.m.hardState.Term) {
			best = n
		}
	}
	return best
}

// pickNode returns a node by number. Numbers beyond the last node select the leader, so that faults hit it more often.
func (s *simulation) pickNode(i int) *simNode {
	if i < len(s.nodes) {
		return s.nodes[i]
	}
	if l := s.leader(); l != nil {
		return l
	}
	return s.nodes[0]
}

func (s *simulation) change(c Change) {
	if l := s.leader(); l != nil {
		s.nextID++
		s.step(l, ChangeMembers{ID: s.nextID, Change: c})
	}
}

// repair takes the next step in replacing wiped members, and reports whether replacement is still incomplete.
func (s *simulation) repair() bool {
	l := s.leader()
	if l == nil {
		return true
	}
	for _, n := range s.nodes {
		i := memberIndex(l.m.members(), n.id)
		if i < 0 {
			s.change(Change{Kind: AddLearner, Member: Member{ID: n.id}})
			return true
		}
		if l.m.members()[i].Learner {
			s.change(Change{Kind: Promote, Member: Member{ID: n.id}})
			return true
		}
	}
	for _, v := range l.m.members() {
		if !slices.ContainsFunc(s.nodes, func(n *simNode) bool { return n.id == v.ID }) {
			s.change(Change{Kind: Remove, Member: v})
			return true
		}
	}
	return false
}

func (s *simulation) block(from, to *simNode) { s.blocked[[2]string{from.id, to.id}] = true }

// healAndVerify ends all faults and checks that the group recovers and that all nodes have all accepted entries.
func (s *simulation) healAndVerify() {
	s.lossPercent, s.duplicatePercent, s.blocked = 0, 0, map[[2]string]bool{}
	for _, n := range s.nodes {
		s.start(n)
	}
	s.run(8 * time.Second)
	for i := 0; s.repair(); i++ {
		s.check(i < 60, "membership is not repaired: %+v", s.state())
		s.run(500 * time.Millisecond)
	}
	s.run(2 * time.Second)
	l := s.leader()
	s.check(l != nil, "no leader after the faults ended: %+v", s.state())
	before := s.ackedIndex
	s.propose(l, 1)
	s.read(l)
	reads := s.readsDone
	s.run(time.Second)
	s.check(s.ackedIndex > before, "no commit after the faults ended: %+v", s.state())
	s.check(s.readsDone > reads, "no read after the faults ended: %+v", s.state())
	for _, n := range s.nodes {
		s.check(n.applied == uint64(len(s.committed)), "%s lags: %+v", n.id, s.state())
	}
	for _, e := range s.committed {
		if e.Kind == EntryData {
			id := binary.BigEndian.Uint64(e.Data)
			s.check(!s.failed[id], "proposal %d was reported as not accepted and is at %d", id, e.Index)
		}
	}
	for id, index := range s.accepted {
		e := s.committed[index-1]
		s.check(e.Kind != EntryData || binary.BigEndian.Uint64(e.Data) == id, "accepted proposal %d is lost", id)
	}
}

func (s *simulation) state() (out []string) {
	for _, n := range s.nodes {
		if n.m != nil {
			out = append(out, fmt.Sprintf("%+v", n.m.Status()))
		}
	}
	return out
}
