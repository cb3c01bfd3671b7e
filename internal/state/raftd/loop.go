package raftd

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/berylledge/berylledge/internal/state/raft"
)

// loop is the state owned by the goroutine of a node.
type loop struct {
	cfg Config
	m   *raft.Machine
	n   *Node
	err error

	nextID  uint64
	open    map[uint64]origin // requests that the machine has accepted, by id
	waiting []*request        // requests that wait for a leader
	behind  []behindRead      // reads that wait for entries to be applied here
	results []result          // results of the entries of the last Apply

	snapshotIndex uint64
	snapshotErr   error
	events        []raft.Event

	forwards forwardTable
}

// origin says who asked: a caller on this node, or another member.
type origin struct {
	local *request
	from  string
	id    uint64
}

type behindRead struct {
	index uint64
	req   *request
}

type result struct {
	index uint64
	data  []byte
}

func newLoop(cfg Config, m *raft.Machine, n *Node, startTerm uint64) *loop {
	return &loop{
		cfg: cfg, m: m, n: n, open: map[uint64]origin{},
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
	timer := l.cfg.Clock.NewTimer(l.wait())
	defer timer.Stop()
	for l.err == nil {
		select {
		case <-n.stop:
			return
		case item := <-n.inbox:
			l.take(item)
			l.drain(n.inbox)
		case <-timer.C():
			l.expire()
			l.retry()
			l.events = append(l.events, raft.Tick{})
		}
		l.process(n.inbox)
		timer.Stop()
		timer.Reset(l.wait())
	}
}

// process steps the machine until no event is left.
func (l *loop) process(inbox <-chan any) {
	for l.err == nil && len(l.events) > 0 {
		events := l.events
		l.events = nil
		l.step(raft.Batch{Events: events})
		if len(l.events) > 0 { // a write has ended; what arrived meanwhile joins the next one
			l.drain(inbox)
		}
	}
}

// wait returns the time until the next tick.
func (l *loop) wait() time.Duration {
	now := l.cfg.Clock.Now()
	d := l.m.Deadline().Sub(now)
	if at, ok := l.forwards.deadline(); ok {
		d = min(d, at.Sub(now))
	}
	return max(d, 0)
}

func (l *loop) drain(inbox <-chan any) {
	for len(l.events) < maxBatch {
		select {
		case item := <-inbox:
			l.take(item)
		default:
			return
		}
	}
}

// take turns an item of the inbox into an event.
func (l *loop) take(item any) {
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

// dispatch hands a request to the machine or to the leader, or keeps it until there is a leader.
func (l *loop) dispatch(r *request) {
	if r.state.Load() == withdrawn {
		return
	}
	leader, term := l.m.Leader()
	self := l.cfg.Identity.Member.ID
	switch {
	case r.kind == kindInspect:
		if r.state.CompareAndSwap(queued, accepted) {
			r.finish(nil, r.inspect(l))
		}
	case r.kind == kindChange && leader != self:
		r.finish(nil, l.refusal(raft.ReasonNotLeader))
	case leader == "":
		if len(l.waiting) >= l.cfg.Inbox {
			r.finish(nil, l.refusal(raft.ReasonOverloaded))
			return
		}
		l.waiting = append(l.waiting, r)
	case r.kind == kindRead:
		l.begin(r, leader, self, term)
	case r.state.CompareAndSwap(queued, accepted):
		l.begin(r, leader, self, term)
	}
}

func (l *loop) begin(r *request, leader, self string, term uint64) {
	if leader != self {
		id := l.forwards.add(r, term, l.cfg.Clock.Now().Add(l.cfg.ForwardTimeout))
		l.send(raft.Message{
			Kind: raft.KindForward, To: leader, Term: term,
			Forward: &raft.Forward{ID: id, Read: r.kind == kindRead, Data: r.data},
		})
		return
	}
	id := l.register(origin{local: r})
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

func (l *loop) register(o origin) uint64 {
	l.nextID++
	l.open[l.nextID] = o
	return l.nextID
}

func (l *loop) send(msg raft.Message) {
	msg.Cluster, msg.From = l.cfg.Identity.Cluster, l.cfg.Identity.Member.ID
	l.cfg.Transport.Send(msg.To, msg)
}

func (l *loop) refusal(reason raft.Reason) *NotProposedError {
	leader, _ := l.m.Leader()
	return &NotProposedError{Reason: reason, Leader: leader}
}

// retry dispatches the waiting requests again.
func (l *loop) retry() {
	waiting := l.waiting
	l.waiting = nil
	for _, r := range waiting {
		l.dispatch(r)
	}
}

// requeue keeps a request that certainly had no effect until the next leader or tick.
func (l *loop) requeue(r *request) {
	if r.kind == kindRead || r.state.CompareAndSwap(accepted, queued) {
		l.waiting = append(l.waiting, r)
	}
}

// step runs the machine and executes its actions. A finished write becomes an event of the next step.
func (l *loop) step(ev raft.Event) {
	for _, a := range l.m.Step(l.cfg.Clock.Now(), ev) {
		if l.err != nil {
			return
		}
		l.execute(a)
	}
	l.runReads()
	if l.err == nil && l.m.Applied() >= l.snapshotIndex+l.cfg.SnapshotEvery {
		l.snapshotErr = l.snapshot()
	}
}

func (l *loop) execute(a raft.Action) {
	switch a := a.(type) {
	case raft.Persist:
		l.n.writing.Store(&write{since: l.cfg.Clock.Now(), before: l.status()})
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
		l.finish(a.ID, raft.Forward{Data: l.resultAt(a.Index), Index: a.Index})
	case raft.ProposalFailed:
		l.finish(a.ID, raft.Forward{Reason: a.Reason})
	case raft.ReadReady:
		l.finish(a.ID, raft.Forward{Read: true, Index: a.Index})
	case raft.ReadFailed:
		l.finish(a.ID, raft.Forward{Read: true, Reason: a.Reason})
	case raft.LeaderChanged:
		if a.Leader != "" {
			l.retry()
		}
	}
}

func (l *loop) apply(entries []raft.Entry) {
	l.results = l.results[:0]
	for _, e := range entries {
		if e.Kind == raft.EntryData {
			l.results = append(l.results, result{index: e.Index, data: l.cfg.Replica.Apply(e.Index, e.Data)})
		}
	}
}

// resultAt returns the result of an entry of the last Apply. The machine reports proposals in the order of the entries.
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

// finish answers the request with this id.
func (l *loop) finish(id uint64, reply raft.Forward) {
	o, ok := l.open[id]
	delete(l.open, id)
	switch {
	case !ok:
	case o.local != nil:
		l.settle(o.local, reply)
	default:
		reply.ID = o.id
		l.send(raft.Message{Kind: raft.KindForwardReply, To: o.from, Forward: &reply})
	}
}

// settle gives the outcome to a caller on this node.
func (l *loop) settle(r *request, reply raft.Forward) {
	switch {
	case reply.Reason == raft.ReasonNone && r.kind == kindRead:
		l.behind = append(l.behind, behindRead{index: reply.Index, req: r})
	case reply.Reason == raft.ReasonNone:
		r.finish(reply.Data, nil)
	case reply.Reason == raft.ReasonNotLeader && r.kind != kindChange:
		l.requeue(r)
	case reply.Reason == raft.ReasonUnknown && r.kind != kindRead:
		r.finish(nil, &UnknownError{Err: l.refusal(reply.Reason)})
	default:
		r.finish(nil, l.refusal(reply.Reason))
	}
}

// runReads runs the reads whose index has been applied here.
func (l *loop) runReads() {
	kept := l.behind[:0]
	for _, b := range l.behind {
		if b.index > l.m.Applied() || l.err != nil {
			kept = append(kept, b)
			continue
		}
		if b.req.state.CompareAndSwap(queued, accepted) {
			b.req.read()
			b.req.finish(nil, nil)
		}
	}
	l.behind = kept
}

func (l *loop) snapshot() error {
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
