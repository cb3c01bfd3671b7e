package raftd

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/berylledge/berylledge/internal/state/raft"
)

// loop holds the state owned by the goroutine of a node.
type loop struct {
	cfg Config
	m   *raft.Machine
	n   *Node
	err error

	nextID         uint64
	inProgress     map[uint64]requestOrigin // requests passed to the machine, by id
	awaitingLeader []*request               // requests waiting until a leader is known
	awaitingApply  []confirmedRead          // reads waiting for entries to be applied locally
	results        []applyResult            // results of the entries in the last Apply

	snapshotIndex uint64
	snapshotErr   error
	events        []raft.Event

	forwards forwardTable
}

// requestOrigin identifies the requester: a caller on this node, or another member and its request id.
type requestOrigin struct {
	local *request
	from  string
	id    uint64
}

type confirmedRead struct {
	index uint64
	req   *request
}

type applyResult struct {
	index uint64
	data  []byte
}

func newLoop(cfg Config, m *raft.Machine, n *Node, startTerm uint64) *loop {
	return &loop{
		cfg: cfg, m: m, n: n, inProgress: map[uint64]requestOrigin{},
		forwards: newForwardTable(startTerm, uint64(cfg.Clock.Now().UnixNano())),
	}
}

func (l *loop) status() Status {
	return Status{Raft: l.m.Status(), Err: l.err, SnapshotErr: l.snapshotErr, Dropped: l.n.dropped.Load()}
}

func (l *loop) run() {
	n := l.n
	l.events = []raft.Event{raft.Tick{}}
	l.process(n.inbox)
	timer := l.cfg.Clock.NewTimer(l.timeUntilTick())
	defer timer.Stop()
	for l.err == nil {
		select {
		case <-n.stop:
			return
		case item := <-n.inbox:
			l.handleInboxItem(item)
			l.drainInbox(n.inbox)
		case <-timer.C():
			l.expireForwards()
			l.dispatchWaiting()
			l.events = append(l.events, raft.Tick{})
		}
		l.process(n.inbox)
		timer.Stop()
		timer.Reset(l.timeUntilTick())
	}
}

// process steps the machine until no events are left.
func (l *loop) process(inbox <-chan any) {
	for l.err == nil && len(l.events) > 0 {
		events := l.events
		l.events = nil
		l.step(raft.Batch{Events: events})
		if len(l.events) > 0 { // a write has completed; requests that arrived during it share the next one
			l.drainInbox(inbox)
		}
	}
}

// timeUntilTick returns the time until the next tick.
func (l *loop) timeUntilTick() time.Duration {
	now := l.cfg.Clock.Now()
	d := l.m.Deadline().Sub(now)
	if at, ok := l.forwards.deadline(); ok {
		d = min(d, at.Sub(now))
	}
	return max(d, 0)
}

func (l *loop) drainInbox(inbox <-chan any) {
	for len(l.events) < maxBatchEvents {
		select {
		case item := <-inbox:
			l.handleInboxItem(item)
		default:
			return
		}
	}
}

// handleInboxItem converts a message or request from the inbox into an event, or handles it directly.
func (l *loop) handleInboxItem(item any) {
	switch item := item.(type) {
	case raft.Message:
		switch {
		case item.Kind != raft.KindForward && item.Kind != raft.KindForwardReply:
			l.events = append(l.events, raft.Received{Message: item})
		case item.Cluster != l.cfg.Identity.Cluster || item.To != l.cfg.Identity.Member.ID || item.Forward == nil ||
			!l.m.IsMember(item.From):
		case item.Kind == raft.KindForward:
			l.onForward(item)
		default:
			l.onForwardReply(item)
		}
	case *request:
		l.dispatch(item)
	}
}

// dispatch passes a request to the machine or to the leader, or keeps it until a leader is known.
func (l *loop) dispatch(r *request) {
	if r.state.Load() == cancelled {
		return
	}
	leader, term := l.m.Leader()
	self := l.cfg.Identity.Member.ID
	switch {
	case r.kind == kindInspect:
		if r.state.CompareAndSwap(queued, accepted) {
			r.complete(nil, r.inspect(l))
		}
	case r.kind == kindChange && leader != self:
		r.complete(nil, l.notProposed(raft.ReasonNotLeader))
	case leader == "":
		if len(l.awaitingLeader) >= l.cfg.Inbox {
			r.complete(nil, l.notProposed(raft.ReasonOverloaded))
			return
		}
		l.awaitingLeader = append(l.awaitingLeader, r)
	case r.kind == kindRead:
		l.startRequest(r, leader, self, term)
	case r.state.CompareAndSwap(queued, accepted):
		l.startRequest(r, leader, self, term)
	}
}

func (l *loop) startRequest(r *request, leader, self string, term uint64) {
	if leader != self {
		id := l.forwards.add(r, term, l.cfg.Clock.Now().Add(l.cfg.ForwardTimeout))
		l.send(raft.Message{
			Kind: raft.KindForward, To: leader, Term: term,
			Forward: &raft.Forward{ID: id, Read: r.kind == kindRead, Data: r.data},
		})
		return
	}
	id := l.registerRequest(requestOrigin{local: r})
	switch r.kind {
	case kindPropose:
		l.events = append(l.events, raft.Propose{ID: id, Data: r.data})
	case kindRead:
		l.events = append(l.events, raft.Read{ID: id})
	case kindChange:
		l.events = append(l.events, raft.ChangeMembers{ID: id, Change: r.change})
	case kindInspect:
	}
}

func (l *loop) registerRequest(o requestOrigin) uint64 {
	l.nextID++
	l.inProgress[l.nextID] = o
	return l.nextID
}

func (l *loop) send(msg raft.Message) {
	msg.Cluster, msg.From = l.cfg.Identity.Cluster, l.cfg.Identity.Member.ID
	l.cfg.Transport.Send(msg.To, msg)
}

func (l *loop) notProposed(reason raft.Reason) *NotProposedError {
	leader, _ := l.m.Leader()
	return &NotProposedError{Reason: reason, Leader: leader}
}

// dispatchWaiting dispatches the waiting requests again.
func (l *loop) dispatchWaiting() {
	waiting := l.awaitingLeader
	l.awaitingLeader = nil
	for _, r := range waiting {
		l.dispatch(r)
	}
}

// requeue keeps a request that had no effect until the next leader change or tick.
func (l *loop) requeue(r *request) {
	if r.kind == kindRead || r.state.CompareAndSwap(accepted, queued) {
		l.awaitingLeader = append(l.awaitingLeader, r)
	}
}

// step runs the machine and executes its actions. A completed write becomes an event of the next step.
func (l *loop) step(ev raft.Event) {
	for _, a := range l.m.Step(l.cfg.Clock.Now(), ev) {
		if l.err != nil {
			return
		}
		l.execute(a)
	}
	l.runReads()
	if l.err == nil && l.m.Applied() >= l.snapshotIndex+l.cfg.SnapshotEvery {
		l.snapshotErr = l.takeSnapshot()
	}
}

func (l *loop) execute(a raft.Action) {
	switch a := a.(type) {
	case raft.Persist:
		l.n.writing.Store(&pendingWrite{startedAt: l.cfg.Clock.Now(), statusBefore: l.status()})
		l.err = l.cfg.Storage.Persist(a)
		l.n.writing.Store(nil)
		if l.err == nil {
			l.events = append(l.events, raft.Persisted{Seq: a.Seq})
		}
	case raft.Send:
		l.cfg.Transport.Send(a.To, a.Message)
	case raft.Apply:
		l.apply(a.Entries)
	case raft.Restore:
		l.snapshotIndex = a.Snapshot.Index
		if err := l.cfg.Replica.Restore(a.Snapshot.Data); err != nil {
			l.err = errors.Wrapf(err, "restore the snapshot at %d", a.Snapshot.Index)
		}
	case raft.ProposalDone:
		l.completeRequest(a.ID, raft.Forward{Data: l.resultAt(a.Index), Index: a.Index})
	case raft.ProposalFailed:
		l.completeRequest(a.ID, raft.Forward{Reason: a.Reason})
	case raft.ReadReady:
		l.completeRequest(a.ID, raft.Forward{Read: true, Index: a.Index})
	case raft.ReadFailed:
		l.completeRequest(a.ID, raft.Forward{Read: true, Reason: a.Reason})
	case raft.LeaderChanged:
		if a.Leader != "" {
			l.dispatchWaiting()
		}
	}
}

func (l *loop) apply(entries []raft.Entry) {
	l.results = l.results[:0]
	for _, e := range entries {
		if e.Kind == raft.EntryData {
			l.results = append(l.results, applyResult{index: e.Index, data: l.cfg.Replica.Apply(e.Index, e.Data)})
		}
	}
}

// resultAt returns the result of the entry at index in the last Apply. It drops earlier results, because the machine
// reports proposals in log order.
func (l *loop) resultAt(index uint64) []byte {
	for len(l.results) > 0 {
		r := l.results[0]
		if r.index > index {
			break
		}
		l.results = l.results[1:]
		if r.index == index {
			return r.data
		}
	}
	return nil
}

// completeRequest delivers the outcome of the request with this id to its caller or to the forwarding member.
func (l *loop) completeRequest(id uint64, reply raft.Forward) {
	o, ok := l.inProgress[id]
	delete(l.inProgress, id)
	switch {
	case !ok:
	case o.local != nil:
		l.completeLocal(o.local, reply)
	default:
		reply.ID = o.id
		l.send(raft.Message{Kind: raft.KindForwardReply, To: o.from, Forward: &reply})
	}
}

// completeLocal handles the outcome of a request made on this node.
func (l *loop) completeLocal(r *request, reply raft.Forward) {
	switch {
	case reply.Reason == raft.ReasonNone && r.kind == kindRead:
		l.awaitingApply = append(l.awaitingApply, confirmedRead{index: reply.Index, req: r})
	case reply.Reason == raft.ReasonNone:
		r.complete(reply.Data, nil)
	case reply.Reason == raft.ReasonNotLeader && r.kind != kindChange:
		l.requeue(r)
	case reply.Reason == raft.ReasonUnknown && r.kind != kindRead:
		r.complete(nil, &OutcomeUnknownError{Err: l.notProposed(reply.Reason)})
	default:
		r.complete(nil, l.notProposed(reply.Reason))
	}
}

// runReads runs the reads whose index has been applied locally.
func (l *loop) runReads() {
	kept := l.awaitingApply[:0]
	for _, b := range l.awaitingApply {
		if b.index > l.m.Applied() || l.err != nil {
			kept = append(kept, b)
			continue
		}
		if b.req.state.CompareAndSwap(queued, accepted) {
			b.req.read()
			b.req.complete(nil, nil)
		}
	}
	l.awaitingApply = kept
}

func (l *loop) takeSnapshot() error {
	index := l.m.Applied()
	if index == l.m.LastSnapshot().Index {
		return nil
	}
	l.snapshotIndex = index
	data, err := l.cfg.Replica.Snapshot()
	if err != nil {
		return errors.Wrapf(err, "take a snapshot at %d", index)
	}
	for _, a := range l.m.Step(l.cfg.Clock.Now(), raft.SnapshotTaken{Index: index, Data: data}) {
		if l.err == nil {
			l.execute(a)
		}
	}
	return nil
}
