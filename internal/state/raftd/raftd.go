// Package raftd runs one control node. It feeds the state machine of package raft from a clock and an inbox, executes
// its writes on a storage, applies committed entries to a replica and sends its messages.
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
// A single goroutine owns the machine, the replica and the storage. Events that arrive during a write are handled
// together after it, so that their proposals share the next write. A disk that does not respond also stops the
// heartbeats; the other members then elect a leader whose disk works. Status does not wait for such a disk: it returns
// the state before the write, and reports no leader once Raft's LeaderUntil has passed.
//
// # Outcomes
//
// Propose returns the result of the replica, *NotProposedError if the proposal has no effect now or later, or
// *OutcomeUnknownError if it may or may not take effect. A follower forwards requests to the leader. The leader accepts
// a forwarded proposal only in the term that the follower knows, and once per id, so that a message duplicated by the
// network is not proposed twice.
//
// # Failure
//
// After a failed write or restore the node stops: it acknowledges nothing more, and Status and all requests report the
// error. The remaining members continue without it.
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

// statusTimeout is how long Status waits for a write to complete.
const statusTimeout = 20 * time.Millisecond

// maxBatchEvents bounds the events handled by one step, so that a long queue does not delay a leader's heartbeats.
const maxBatchEvents = 1024

// Replica is the replicated state. Its methods are called from one goroutine.
type Replica interface {
	// Apply executes the command of the entry at index. The result must depend only on the state and the arguments.
	Apply(index uint64, data []byte) []byte
	// Snapshot returns the encoded state.
	Snapshot() ([]byte, error)
	// Restore replaces the state with one that Snapshot returned.
	Restore(data []byte) error
}

// Transport delivers messages to other members by member id. Send must not block; it may lose, duplicate and reorder
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
	// Raft holds limits and timeouts; ID, Cluster, Bootstrap and Seed are set from the fields above.
	Raft raft.Config
	// SnapshotEvery is the number of entries between snapshots.
	SnapshotEvery uint64
	// Inbox is the capacity of the queue of requests and messages. When it is full, messages are dropped and requests
	// block.
	Inbox int
	// ForwardTimeout is how long a follower waits for the leader's reply to a forwarded request.
	ForwardTimeout time.Duration
}

// Status is the state of a node for monitoring.
type Status struct {
	Raft raft.Status
	// Err is the error that stopped the node, nil while it is running.
	Err error
	// SnapshotErr is the error of the last attempt to take a snapshot. The node continues, and its log grows.
	SnapshotErr error
	// Dropped counts messages dropped because the inbox was full.
	Dropped uint64
	// Writing is true if a write is in progress; the other fields then hold the state before it.
	Writing bool
}

// pendingWrite is a storage write in progress.
type pendingWrite struct {
	startedAt    time.Time
	statusBefore Status
}

// NotProposedError reports a request that has no effect now or later. It is also returned for reads and membership
// changes that were not executed.
type NotProposedError struct {
	Reason raft.Reason
	// Leader is the leader known to this node, empty if none.
	Leader string
	// Err is the cause on this node, for example a cancelled context; it may be nil.
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

// OutcomeUnknownError reports a proposal or membership change that may have taken effect or may still do so.
type OutcomeUnknownError struct {
	// Err is the cause, for example a cancelled context.
	Err error
}

func (e *OutcomeUnknownError) Error() string { return fmt.Sprintf("outcome unknown: %v", e.Err) }

// Unwrap returns the cause.
func (e *OutcomeUnknownError) Unwrap() error { return e.Err }

// Node is a running control node. Its methods may be called from any goroutine.
type Node struct {
	clock       clock.Clock
	inbox       chan any
	writing     atomic.Pointer[pendingWrite] // nil while no write is in progress
	stop        chan struct{}
	done        chan struct{}
	closeOnce   sync.Once
	dropped     atomic.Uint64
	finalStatus Status // valid once done is closed
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
		n.finalStatus = l.status()
	}()
	return n, nil
}

func orDefault[T uint64 | int | time.Duration](value, fallback T) T {
	if value == 0 {
		return fallback
	}
	return value
}

// Close stops the node. Pending requests fail with *NotProposedError or *OutcomeUnknownError. It returns the error that
// stopped the node earlier, if any.
func (n *Node) Close() error {
	n.closeOnce.Do(func() { close(n.stop) })
	<-n.done
	return n.finalStatus.Err
}

// Done returns a channel that is closed when the node has stopped, by Close or after an error; see Status.
func (n *Node) Done() <-chan struct{} { return n.done }

// Receive queues a message from another member. It does not block; if the inbox is full, the message is dropped.
func (n *Node) Receive(msg raft.Message) {
	select {
	case n.inbox <- msg:
	default:
		n.dropped.Add(1)
	}
}

// Propose appends data to the log and returns the result of Replica.Apply. While no leader is known it waits for one
// until ctx ends. Errors: *NotProposedError, *OutcomeUnknownError.
func (n *Node) Propose(ctx context.Context, data []byte) ([]byte, error) {
	r := newRequest(kindPropose)
	r.data = data
	return n.submit(ctx, r)
}

// Read calls f once the replica includes all writes acknowledged by any member before the call of Read. f runs in the
// goroutine of the node and must not block. Error: *NotProposedError; then f has not run and will not run.
func (n *Node) Read(ctx context.Context, f func()) error {
	r := newRequest(kindRead)
	r.read = f
	_, err := n.submit(ctx, r)
	return err
}

// ChangeMembers makes one membership change, on the leader only. Errors: *NotProposedError with the reason, such as
// raft.ReasonNotLeader, raft.ReasonLagging or raft.ReasonChangePending; *OutcomeUnknownError.
func (n *Node) ChangeMembers(ctx context.Context, change raft.Change) error {
	r := newRequest(kindChange)
	r.change = change
	_, err := n.submit(ctx, r)
	return err
}

// Export writes a snapshot of the current state of this node, for store.ReadExport and store.Restore. On a follower it
// may lack the latest entries.
func (n *Node) Export(ctx context.Context, w io.Writer) error {
	var export store.Export
	r := newRequest(kindInspect)
	r.inspect = func(l *loop) error {
		if err := l.takeSnapshot(); err != nil {
			return err
		}
		export = store.Export{Cluster: l.cfg.Identity.Cluster, Snapshot: l.m.LastSnapshot()}
		if export.Snapshot.Index == 0 {
			return errors.New("no entry has been applied yet")
		}
		return nil
	}
	if _, err := n.submit(ctx, r); err != nil {
		return err
	}
	return store.WriteExport(w, export)
}

// Status returns the state of the node: during a long write the state before the write, after the node has stopped the
// last state.
func (n *Node) Status() Status {
	for {
		if s, ok := n.statusBeforeWrite(); ok {
			return s
		}
		if s, ok := n.requestStatus(); ok {
			return s
		}
	}
}

// requestStatus requests the state from the goroutine of the node. ok is false after statusTimeout without a reply.
func (n *Node) requestStatus() (s Status, ok bool) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	defer n.clock.AfterFunc(statusTimeout, cancel).Stop()
	r := newRequest(kindInspect)
	r.inspect = func(l *loop) error { s = l.status(); return nil }
	_, err := n.submit(ctx, r)
	switch {
	case err == nil:
		return s, true
	case ctx.Err() != nil:
		return Status{}, false
	default:
		<-n.done
		return n.finalStatus, true
	}
}

// statusBeforeWrite returns the state before the write in progress. ok is false if there is none, or if it started less
// than statusTimeout ago.
func (n *Node) statusBeforeWrite() (s Status, ok bool) {
	w, now := n.writing.Load(), n.clock.Now()
	if w == nil || now.Sub(w.startedAt) < statusTimeout {
		return Status{}, false
	}
	s = w.statusBefore
	s.Writing = true
	if !now.Before(s.Raft.LeaderUntil) {
		s.Raft.Leader, s.Raft.Role, s.Raft.Current = "", raft.Follower, false
	}
	return s, true
}

// submit queues a request for the goroutine of the node and waits for the outcome.
func (n *Node) submit(ctx context.Context, r *request) ([]byte, error) {
	select {
	case n.inbox <- r:
	case <-ctx.Done():
		return nil, &NotProposedError{Reason: raft.ReasonNone, Err: ctx.Err()}
	case <-n.done:
		return nil, n.stoppedError()
	}
	select {
	case o := <-r.outcome:
		return o.result, o.err
	case <-ctx.Done():
		return r.cancel(&NotProposedError{Reason: raft.ReasonNone, Err: ctx.Err()})
	case <-n.done:
		return r.cancel(n.stoppedError())
	}
}

func (n *Node) stoppedError() *NotProposedError {
	return &NotProposedError{Reason: raft.ReasonStopped, Err: n.finalStatus.Err}
}

type requestKind uint8

const (
	kindPropose requestKind = iota
	kindRead
	kindChange
	kindInspect
)

// The states of a request. A queued request can be cancelled with the guarantee that it has no effect.
const (
	queued int32 = iota
	accepted
	cancelled
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

func (r *request) complete(result []byte, err error) {
	select {
	case r.outcome <- outcome{result: result, err: err}:
	default:
	}
}

// cancel stops waiting for the outcome. A read can be cancelled until its function runs; a proposal only while queued.
func (r *request) cancel(reason *NotProposedError) ([]byte, error) {
	if r.state.CompareAndSwap(queued, cancelled) {
		return nil, reason
	}
	select {
	case o := <-r.outcome:
		return o.result, o.err
	default:
	}
	if r.kind == kindPropose || r.kind == kindChange {
		r.state.Store(cancelled) // prevents a retry if the proposal turns out to have had no effect
		return nil, &OutcomeUnknownError{Err: reason}
	}
	// The function is running; the caller must not continue before it returns.
	o := <-r.outcome
	return o.result, o.err
}
