// Package raftd runs one control node: it feeds the consensus machine of package raft from a clock and an inbox,
// carries out its writes through a storage, applies committed entries to a replica and sends its messages.
//
// Usage:
//
//	n, err := raftd.New(raftd.Config{
//		Identity: s.Identity, Storage: s, Replica: table, Transport: peers, Clock: clock.Real(), Seed: seed,
//	})
//	result, err := n.Propose(ctx, command)
//	err = n.Read(ctx, func() { value = table.Lookup(key) })
//	peers.OnMessage(n.Receive)
//	err = n.Close() // the caller closes the storage afterwards
//
// # Execution
//
// A single goroutine owns the machine, the replica and the storage. Events that arrive while a write is in progress
// are handled together after it, so that all their proposals share the next write. A disk that does not respond stops
// the heartbeats as well; the others then elect a leader whose disk works. Status does not wait for such a disk: it
// returns the state before the write, without the leader once the member would have given that up.
//
// # Outcomes
//
// Propose returns the result of the replica, or *NotProposedError when the proposal certainly has no effect now or
// later, or *UnknownError when it may or may not take effect. A follower forwards requests to the leader. The leader
// accepts a forwarded proposal only in the term that the follower knows, and once per id, so that a message that the
// network repeats is not proposed twice.
//
// # Failure
//
// After a failed write or restore the node stops by itself: it acknowledges nothing more, and Status and all requests
// report the error. The remaining members continue without it.
package raftd

import (
	"context"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/berylledge/berylledge/internal/base/clock"
	"github.com/berylledge/berylledge/internal/state/raft"
	"github.com/berylledge/berylledge/internal/state/store"
)

// Defaults of Config.
const (
	DefaultSnapshotEvery  = 4096
	DefaultInbox          = 4096
	DefaultForwardTimeout = 5 * time.Second
)

// statusWait is how long Status waits for a write to end.
const statusWait = 20 * time.Millisecond

// maxBatch bounds the events that one step handles, so that the heartbeats of a leader are not delayed by a long queue.
const maxBatch = 1024

// Replica is the replicated state. Its methods are called from one goroutine.
type Replica interface {
	// Apply carries out the command of the entry at index. The result must depend only on the state and the arguments.
	Apply(index uint64, data []byte) []byte
	// Snapshot returns the whole state.
	Snapshot() ([]byte, error)
	// Restore replaces the state by what Snapshot returned.
	Restore(data []byte) error
}

// Transport delivers messages to other members by member id. Send must not block; it may lose, repeat and reorder
// messages.
type Transport interface {
	Send(to string, msg raft.Message)
}

// Storage is the durable state; *store.Store implements it.
type Storage interface {
	// Load returns the state to start with.
	Load() (raft.DurableState, error)
	// Persist returns nil once p is durable.
	Persist(p raft.Persist) error
}

// Config holds the settings of a node. Zero durations and limits mean the defaults.
type Config struct {
	// Identity comes from the store; its Cluster must be set (store.Form or store.Join).
	Identity  store.Identity
	Storage   Storage
	Replica   Replica
	Transport Transport
	Clock     clock.Clock
	// Seed determines the election jitter.
	Seed uint64
	// Raft holds limits and times; ID, Cluster, Bootstrap and Seed are set from the fields above.
	Raft raft.Config
	// SnapshotEvery is the number of entries between snapshots.
	SnapshotEvery uint64
	// Inbox is the number of requests and messages that wait for the goroutine. Messages beyond it are dropped;
	// requests wait.
	Inbox int
	// ForwardTimeout is how long a follower waits for the leader's reply to a forwarded request.
	ForwardTimeout time.Duration
}

// Status describes a node for operators.
type Status struct {
	Raft raft.Status
	// Err is the error that stopped the node, nil while it works.
	Err error
	// SnapshotErr is the error of the last attempt to take a snapshot; the node continues with a longer log.
	SnapshotErr error
	// Dropped counts messages dropped because the inbox was full.
	Dropped uint64
	// Writing is true if the state is that before a write which has not ended yet.
	Writing bool
}

// write is a write of the storage that has not ended yet.
type write struct {
	since  time.Time
	before Status
}

// NotProposedError reports a request that has no effect and never will. It is also returned for reads and membership
// changes that were not carried out.
type NotProposedError struct {
	Reason raft.Reason
	// Leader is the leader known to this node, empty if none.
	Leader string
	// Err is the cause on this node, for example the end of the context; it may be nil.
	Err error
}

func (e *NotProposedError) Error() string {
	text := "not proposed"
	if e.Reason != raft.ReasonNone {
		text += ": " + e.Reason.String()
	}
	if e.Leader != "" {
		text += ", leader is " + e.Leader
	}
	if e.Err != nil {
		text += ": " + e.Err.Error()
	}
	return text
}

// Unwrap returns the cause on this node.
func (e *NotProposedError) Unwrap() error { return e.Err }

// UnknownError reports a proposal or membership change that may or may not have taken effect, or still may.
type UnknownError struct {
	// Err is the cause, for example the end of the context.
	Err error
}

func (e *UnknownError) Error() string { return fmt.Sprintf("outcome unknown: %v", e.Err) }

// Unwrap returns the cause.
func (e *UnknownError) Unwrap() error { return e.Err }

// Node is a running control node. Its methods may be called from any goroutine.
type Node struct {
	clock   clock.Clock
	inbox   chan any
	writing atomic.Pointer[write] // nil while no write is in progress
	stop    chan struct{}
	done    chan struct{}
	once    sync.Once
	dropped atomic.Uint64
	final   Status // valid once done is closed
}

// New loads the durable state and starts the goroutine of the node.
func New(cfg Config) (*Node, error) {
	if cfg.Identity.Cluster == 0 {
		return nil, errors.Newf("member %s belongs to no group yet", cfg.Identity.Member.ID)
	}
	restored, err := cfg.Storage.Load()
	if err != nil {
		return nil, err
	}
	cfg.SnapshotEvery = orDefault(cfg.SnapshotEvery, DefaultSnapshotEvery)
	cfg.Inbox = orDefault(cfg.Inbox, DefaultInbox)
	cfg.ForwardTimeout = orDefault(cfg.ForwardTimeout, DefaultForwardTimeout)
	rc := cfg.Raft
	rc.ID, rc.Cluster, rc.Seed = cfg.Identity.Member.ID, cfg.Identity.Cluster, cfg.Seed
	rc.Bootstrap = cfg.Identity.Bootstrap
	n := &Node{
		clock: cfg.Clock,
		inbox: make(chan any, cfg.Inbox),
		stop:  make(chan struct{}), done: make(chan struct{}),
	}
	l := newLoop(cfg, raft.New(rc, restored), n, restored.HardState.Term)
	go func() {
		defer close(n.done)
		l.run()
		n.final = l.status()
	}()
	return n, nil
}

func orDefault[T uint64 | int | time.Duration](value, standard T) T {
	if value == 0 {
		return standard
	}
	return value
}

// Close stops the node. Requests that wait are answered with *NotProposedError or *UnknownError. It returns the error
// that stopped the node earlier, if any.
func (n *Node) Close() error {
	n.once.Do(func() { close(n.stop) })
	<-n.done
	return n.final.Err
}

// Done is closed when the node has stopped, by Close or after an error; see Status.
func (n *Node) Done() <-chan struct{} { return n.done }

// Receive hands over a message from another member. It does not block.
func (n *Node) Receive(msg raft.Message) {
	select {
	case n.inbox <- msg:
	default:
		n.dropped.Add(1)
	}
}

// Propose has data appended to the log and returns the result of Replica.Apply. Errors: *NotProposedError,
// *UnknownError. While no leader is known it waits for one until ctx ends.
func (n *Node) Propose(ctx context.Context, data []byte) ([]byte, error) {
	r := newRequest(kindPropose)
	r.data = data
	return n.do(ctx, r)
}

// Read calls f once the replica reflects all writes that were acknowledged anywhere before the call of Read. f runs in
// the goroutine of the node and must not block. Error: *NotProposedError; then f has not run and will not run.
func (n *Node) Read(ctx context.Context, f func()) error {
	r := newRequest(kindRead)
	r.read = f
	_, err := n.do(ctx, r)
	return err
}

// ChangeMembers makes one membership change, on the leader only. Errors: *NotProposedError with the reason, such as
// raft.ReasonNotLeader, raft.ReasonLagging or raft.ReasonChangePending; *UnknownError.
func (n *Node) ChangeMembers(ctx context.Context, change raft.Change) error {
	r := newRequest(kindChange)
	r.change = change
	_, err := n.do(ctx, r)
	return err
}

// Export writes a snapshot of the present state of this node, for store.ReadExport and store.Restore. On a follower it
// may lack the latest entries.
func (n *Node) Export(ctx context.Context, w io.Writer) error {
	var export store.Export
	r := newRequest(kindInspect)
	r.inspect = func(l *loop) error {
		if err := l.snapshot(); err != nil {
			return err
		}
		export = store.Export{Cluster: l.cfg.Identity.Cluster, Snapshot: l.m.LastSnapshot()}
		if export.Snapshot.Index == 0 {
			return errors.New("no entry has been applied yet")
		}
		return nil
	}
	if _, err := n.do(ctx, r); err != nil {
		return err
	}
	return store.WriteExport(w, export)
}

// Status returns the state of the node. After the node has stopped it returns the last state, during a long write the one before it.
func (n *Node) Status() Status {
	for {
		if s, ok := n.statusBeforeWrite(); ok {
			return s
		}
		if s, ok := n.askStatus(); ok {
			return s
		}
	}
}

// askStatus asks the goroutine of the node for the state. ok is false if it did not answer within statusWait.
func (n *Node) askStatus() (s Status, ok bool) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	defer n.clock.AfterFunc(statusWait, cancel).Stop()
	r := newRequest(kindInspect)
	r.inspect = func(l *loop) error { s = l.status(); return nil }
	_, err := n.do(ctx, r)
	switch {
	case err == nil:
		return s, true
	case ctx.Err() != nil:
		return Status{}, false
	default:
		<-n.done
		return n.final, true
	}
}

// statusBeforeWrite returns the state before the write that is in progress; ok is false if there is none, or if it has just begun.
func (n *Node) statusBeforeWrite() (s Status, ok bool) {
	w, now := n.writing.Load(), n.clock.Now()
	if w == nil || now.Sub(w.since) < statusWait {
		return Status{}, false
	}
	s = w.before
	s.Writing = true
	if !now.Before(s.Raft.LeaderUntil) {
		s.Raft.Leader, s.Raft.Role, s.Raft.Current = "", raft.Follower, false
	}
	return s, true
}

// do hands a request to the goroutine and waits for its outcome.
func (n *Node) do(ctx context.Context, r *request) ([]byte, error) {
	select {
	case n.inbox <- r:
	case <-ctx.Done():
		return nil, &NotProposedError{Reason: raft.ReasonNone, Err: ctx.Err()}
	case <-n.done:
		return nil, n.stopped()
	}
	select {
	case o := <-r.outcome:
		return o.result, o.err
	case <-ctx.Done():
		return r.abandon(&NotProposedError{Reason: raft.ReasonNone, Err: ctx.Err()})
	case <-n.done:
		return r.abandon(n.stopped())
	}
}

func (n *Node) stopped() *NotProposedError {
	return &NotProposedError{Reason: raft.ReasonStopped, Err: n.final.Err}
}

type requestKind uint8

const (
	kindPropose requestKind = iota
	kindRead
	kindChange
	kindInspect
)

// The states of a request. A request that is queued can still be withdrawn with a certain outcome.
const (
	queued int32 = iota
	accepted
	withdrawn
)

type request struct {
	kind    requestKind
	data    []byte
	read    func()
	change  raft.Change
	inspect func(*loop) error
	state   atomic.Int32
	outcome chan outcome
}

type outcome struct {
	result []byte
	err    error
}

func newRequest(kind requestKind) *request {
	return &request{kind: kind, outcome: make(chan outcome, 1)}
}

func (r *request) finish(result []byte, err error) {
	select {
	case r.outcome <- outcome{result: result, err: err}:
	default:
	}
}

// abandon gives up waiting. A read can be withdrawn until it runs; a proposal only while it is queued.
func (r *request) abandon(reason *NotProposedError) ([]byte, error) {
	if r.state.CompareAndSwap(queued, withdrawn) {
		return nil, reason
	}
	select {
	case o := <-r.outcome:
		return o.result, o.err
	default:
	}
	if r.kind == kindPropose || r.kind == kindChange {
		r.state.Store(withdrawn) // it must not be tried again when it turns out that it had no effect
		return nil, &UnknownError{Err: reason}
	}
	// The function is running at this moment; its caller must not go on before it has ended.
	o := <-r.outcome
	return o.result, o.err
}
