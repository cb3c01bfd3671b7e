package raftd_test

import (
	"bytes"
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"math/rand/v2"
	"path/filepath"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"go.uber.org/goleak"
	"gotest.tools/v3/assert"

	"github.com/berylledge/berylledge/internal/base/clock"
	"github.com/berylledge/berylledge/internal/state/raft"
	"github.com/berylledge/berylledge/internal/state/raftd"
	"github.com/berylledge/berylledge/internal/state/store"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// counter is a replica that adds numbers; the result of a command is the sum after it.
type counter struct {
	sum, commands uint64
	onApply       func(add, sum uint64) // called for each command unless nil
}

func (c *counter) Apply(_ uint64, data []byte) []byte {
	c.commands++
	add := binary.BigEndian.Uint64(data)
	c.sum += add
	if c.onApply != nil {
		c.onApply(add, c.sum)
	}
	return number(c.sum)
}

func (c *counter) Snapshot() ([]byte, error) {
	return append(number(c.sum), number(c.commands)...), nil
}

func (c *counter) Restore(data []byte) error {
	c.sum, c.commands = binary.BigEndian.Uint64(data), binary.BigEndian.Uint64(data[8:])
	return nil
}

func number(n uint64) []byte { return binary.BigEndian.AppendUint64(nil, n) }

// cluster is a group in one process, with real files and a fake clock.
type cluster struct {
	t             testing.TB
	clock         *clock.Fake
	realClock     bool // use the clock of the operating system
	dir           string
	snapshotEvery uint64

	mu          sync.Mutex
	nodes       map[string]*raftd.Node
	filter      func(msg raft.Message) int // number of copies to deliver; nil means 1
	bytesSent   uint64
	stores      map[string]*store.Store
	states      map[string]*counter
	folders     map[string]string
	wrapStorage func(raftd.Storage) raftd.Storage
	onApply     func(add, sum uint64)
	random      *rand.ChaCha8
}

func newCluster(t testing.TB, size int) *cluster {
	c := &cluster{
		t: t, clock: clock.NewFake(time.Unix(1000, 0)), dir: t.TempDir(), snapshotEvery: 50,
		nodes: map[string]*raftd.Node{}, stores: map[string]*store.Store{}, states: map[string]*counter{},
		folders: map[string]string{}, random: rand.NewChaCha8([32]byte{9}),
	}
	t.Cleanup(func() {
		for _, id := range c.ids() {
			_ = c.stop(id)
		}
	})
	var initial []raft.Member
	for i := range size {
		initial = append(initial, raft.Member{ID: c.create(fmt.Sprintf("n%d", i))})
	}
	for _, m := range initial {
		s := c.open(m.ID)
		assert.NilError(t, s.Form(initial))
		assert.NilError(t, s.Close())
	}
	return c
}

func (c *cluster) startAll() {
	for id := range c.folders {
		c.start(id)
	}
}

func (c *cluster) create(name string) string {
	dir := filepath.Join(c.dir, fmt.Sprintf("%s-%d", name, len(c.folders)))
	id, err := store.Create(dir, name, "", c.random)
	assert.NilError(c.t, err)
	c.folders[id] = dir
	return id
}

func (c *cluster) open(id string) *store.Store {
	s, err := store.Open(c.folders[id], store.Options{})
	assert.NilError(c.t, err)
	return s
}

func (c *cluster) start(id string) *raftd.Node {
	s, state := c.open(id), &counter{onApply: c.onApply}
	cfg := raftd.Config{
		Identity: s.Identity, Storage: s, Replica: state, Transport: c, Clock: c.clock, Seed: 11, SnapshotEvery: c.snapshotEvery,
	}
	if c.wrapStorage != nil {
		cfg.Storage = c.wrapStorage(s)
	}
	if c.realClock {
		cfg.Clock = clock.Real()
	}
	cfg.Raft.KeepEntries = 10
	n, err := raftd.New(cfg)
	assert.NilError(c.t, err)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.nodes[id], c.stores[id], c.states[id] = n, s, state
	return n
}

func (c *cluster) stop(id string) error {
	c.mu.Lock()
	n := c.nodes[id]
	delete(c.nodes, id)
	c.mu.Unlock()
	if n == nil {
		return nil
	}
	return errors.Join(n.Close(), c.stores[id].Close())
}

func (c *cluster) ids() (out []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for id := range c.nodes {
		out = append(out, id)
	}
	return out
}

// Send encodes and decodes each message, as a connection between processes does.
func (c *cluster) Send(to string, msg raft.Message) {
	data, err := cbor.Marshal(msg)
	if err != nil {
		panic(err)
	}
	c.mu.Lock()
	n, copies := c.nodes[to], 1
	c.bytesSent += uint64(len(data))
	if c.filter != nil {
		copies = c.filter(msg)
	}
	c.mu.Unlock()
	for range copies {
		var m raft.Message
		if err := cbor.Unmarshal(data, &m); err != nil {
			panic(err)
		}
		if n != nil {
			n.Receive(m)
		}
	}
}

func (c *cluster) setFilter(f func(msg raft.Message) int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.filter = f
}

// waitUntil advances the clock until ok returns true. The calls of Status wait until each node has handled its inbox.
func (c *cluster) waitUntil(what string, ok func() bool) {
	c.t.Helper()
	for range 4000 {
		if ok() {
			return
		}
		if c.realClock { // benchmarks only
			_ = clock.Sleep(c.t.Context(), clock.Real(), 10*time.Millisecond)
		}
		c.clock.Advance(10 * time.Millisecond)
		for _, id := range c.ids() {
			c.nodes[id].Status()
		}
	}
	c.t.Fatalf("condition not met within 40 s of the fake clock: %s", what)
}

func (c *cluster) leader() string {
	for _, id := range c.ids() {
		if s := c.nodes[id].Status(); s.Raft.Role == raft.Leader && s.Raft.Commit > 0 {
			return id
		}
	}
	return ""
}

// awaitLeader waits until all members report the same leader. The leader may change before it returns.
func (c *cluster) awaitLeader() string {
	c.t.Helper()
	leader := ""
	c.waitUntil("all know one leader", func() bool {
		leader = c.leader()
		for _, id := range c.ids() {
			if c.nodes[id].Status().Raft.Leader != leader {
				return false
			}
		}
		return leader != ""
	})
	return leader
}

func (c *cluster) follower() string {
	leader := c.leader()
	for _, id := range c.ids() {
		if id != leader {
			return id
		}
	}
	return ""
}

// call runs f while the clock advances.
func call[T any](c *cluster, f func() (T, error)) (T, error) {
	c.t.Helper()
	var value T
	var err error
	done := make(chan struct{})
	go func() {
		defer close(done)
		value, err = f()
	}()
	c.waitUntil("end of the call", func() bool {
		select {
		case <-done:
			return true
		default:
			return false
		}
	})
	return value, err
}

func (c *cluster) add(id string, n uint64) (uint64, error) {
	c.t.Helper()
	data, err := call(c, func() ([]byte, error) { return c.nodes[id].Propose(context.Background(), number(n)) })
	if err != nil {
		return 0, err
	}
	return binary.BigEndian.Uint64(data), nil
}

func (c *cluster) read(id string) uint64 {
	c.t.Helper()
	sum, err := call(c, func() (sum uint64, err error) {
		err = c.nodes[id].Read(context.Background(), func() { sum = c.states[id].sum })
		return sum, err
	})
	assert.NilError(c.t, err)
	return sum
}

func (c *cluster) change(change raft.Change) {
	c.t.Helper()
	c.waitUntil(fmt.Sprintf("%+v", change), func() bool {
		l := c.leader()
		if l == "" {
			return false
		}
		_, err := call(c, func() (int, error) { return 0, c.nodes[l].ChangeMembers(context.Background(), change) })
		return err == nil
	})
}

// Guards against lost results and stale reads when requests are forwarded by a follower, and against lost state when all
// nodes restart.
func TestRequestsThroughAnyNodeAndRestart(t *testing.T) {
	c := newCluster(t, 3)
	c.startAll()
	c.awaitLeader()
	want := uint64(0)
	for round := range 2 {
		for i := range uint64(60) {
			id := c.ids()[i%3]
			want += i
			sum, err := c.add(id, i)
			assert.NilError(t, err)
			assert.Equal(t, sum, want)
			if i%20 == 0 {
				for _, id := range c.ids() {
					assert.Equal(t, c.read(id), want)
				}
			}
		}
		if round == 0 {
			ids := c.ids()
			for _, id := range ids {
				assert.NilError(t, c.stop(id))
			}
			c.startAll()
			c.awaitLeader()
		}
	}
	assert.Assert(t, c.nodes[c.leader()].Status().Raft.SnapshotIndex > 60)
}

// Guards against a forwarded proposal that is applied twice because the network duplicates it, and against reporting a
// lost reply as success or as not proposed.
func TestForwardedProposalOutcomes(t *testing.T) {
	c := newCluster(t, 3)
	c.startAll()
	c.awaitLeader()
	id := c.follower()
	var copies []raft.Message
	c.setFilter(func(msg raft.Message) int {
		if msg.Kind == raft.KindForward {
			copies = append(copies, msg)
			return 3
		}
		return 1
	})
	sum, err := c.add(id, 5)
	assert.NilError(t, err)
	assert.Equal(t, sum, uint64(5))
	assert.Equal(t, c.read(id), uint64(5))

	c.setFilter(func(msg raft.Message) int {
		if msg.Kind == raft.KindForwardReply && !msg.Forward.Read {
			return 0
		}
		return 1
	})
	var unknown *raftd.OutcomeUnknownError
	_, err = c.add(id, 7)
	assert.Assert(t, errors.As(err, &unknown), "%v", err)
	c.setFilter(nil)
	assert.Equal(t, c.read(id), uint64(12))

	// After a restart the leader cannot know whether it has accepted the message before.
	leader := c.leader()
	assert.NilError(t, c.stop(leader))
	c.start(leader)
	var reply raft.Reason
	c.setFilter(func(msg raft.Message) int {
		if msg.Kind == raft.KindForwardReply && msg.Forward.ID == copies[0].Forward.ID {
			reply = msg.Forward.Reason
		}
		return 1
	})
	c.nodes[leader].Receive(copies[0])
	c.nodes[leader].Status()
	assert.Equal(t, reply, raft.ReasonUnknown)
	c.awaitLeader()
	assert.Equal(t, c.read(id), uint64(12))
}

// Guards against a read on a follower that runs before the follower has applied the acknowledged entries.
func TestReadWaitsForEntriesOnFollower(t *testing.T) {
	c := newCluster(t, 3)
	c.startAll()
	leader := c.awaitLeader()
	id := c.follower()
	var confirmed atomic.Bool
	c.setFilter(func(msg raft.Message) int {
		if msg.Kind == raft.KindForwardReply {
			confirmed.Store(true)
		}
		if msg.Kind == raft.KindAppend && msg.To == id {
			return 0
		}
		return 1
	})
	sum, err := c.add(leader, 3)
	assert.NilError(t, err)
	seen := make(chan uint64, 1)
	go func() { _ = c.nodes[id].Read(context.Background(), func() { seen <- c.states[id].sum }) }()
	c.waitUntil("reply of the leader", confirmed.Load)
	c.nodes[leader].Status() // the reply has been sent
	c.nodes[id].Status()     // and handled
	assert.Equal(t, len(seen), 0)
	c.setFilter(nil)
	c.waitUntil("read", func() bool { return len(seen) == 1 })
	assert.Equal(t, <-seen, sum)
}

// Guards against a request that is reported as not proposed but takes effect later, and against one that keeps waiting
// after its context has ended.
func TestRequestsWithoutQuorum(t *testing.T) {
	c := newCluster(t, 3)
	c.startAll()
	leader := c.awaitLeader()
	_, err := c.add(leader, 1)
	assert.NilError(t, err)
	c.setFilter(func(raft.Message) int { return 0 })
	ctx, cancel := context.WithCancel(context.Background())
	outcome := make(chan error, 1)
	go func() {
		_, err := c.nodes[leader].Propose(ctx, number(100))
		outcome <- err
	}()
	c.waitUntil("entry in the log", func() bool { return c.nodes[leader].Status().Raft.Last == 3 })
	cancel()
	var unknown *raftd.OutcomeUnknownError
	assert.Assert(t, errors.As(<-outcome, &unknown))

	c.waitUntil("leader steps down", func() bool { return c.nodes[leader].Status().Raft.Role != raft.Leader })
	var not *raftd.NotProposedError
	for _, id := range c.ids() {
		ctx, cancel := context.WithCancel(context.Background())
		go func() {
			_, err := c.nodes[id].Propose(ctx, number(1000))
			outcome <- err
		}()
		c.waitUntil("no leader", func() bool { return c.nodes[id].Status().Raft.Leader == "" })
		cancel()
		assert.Assert(t, errors.As(<-outcome, &not))
		ran := false
		assert.Assert(t, errors.As(c.nodes[id].Read(ctx, func() { ran = true }), &not))
		assert.Assert(t, !ran)
	}
	c.setFilter(nil)
	c.awaitLeader()
	sum := c.read(leader)
	assert.Assert(t, sum == 1 || sum == 101, "%d", sum)
}

// fullDiskStorage is a storage whose disk becomes full.
type fullDiskStorage struct {
	raftd.Storage
	full *bool
}

func (f fullDiskStorage) Persist(p raft.Persist) error {
	if *f.full {
		return &store.DiskFullError{Dir: "test", Err: errors.New("injected")}
	}
	return f.Storage.Persist(p)
}

// Guards against an acknowledgement after a failed write, and against a single full disk that stops the whole group.
func TestFullDiskStopsOnlyItsNode(t *testing.T) {
	c := newCluster(t, 3)
	full := map[string]*bool{}
	for id := range c.folders {
		full[id] = new(bool)
		c.wrapStorage = func(s raftd.Storage) raftd.Storage { return fullDiskStorage{Storage: s, full: full[id]} }
		c.start(id)
	}
	leader := c.awaitLeader()
	*full[leader] = true
	_, err := c.add(leader, 1)
	var unknown *raftd.OutcomeUnknownError
	var cause *store.DiskFullError
	assert.Assert(t, errors.As(err, &unknown), "%v", err)
	assert.Assert(t, errors.As(err, &cause))
	<-c.nodes[leader].Done()
	_, err = c.nodes[leader].Propose(context.Background(), number(1))
	var not *raftd.NotProposedError
	assert.Assert(t, errors.As(err, &not))
	assert.Assert(t, errors.As(c.nodes[leader].Status().Err, &cause))
	assert.Assert(t, errors.As(c.stop(leader), &cause))
	next := c.awaitLeader()
	before := c.read(next)
	sum, err := c.add(next, 10)
	assert.NilError(t, err)
	assert.Equal(t, sum, before+10)
}

// currentTimeout bounds the time until a stalled node stops reporting Current; it is far longer than an election timeout.
const currentTimeout = 5 * time.Second

// stalledStorage is a storage whose writes block until release is closed. It signals the start of each write.
type stalledStorage struct {
	raftd.Storage
	stall        *atomic.Bool
	writeStarted chan struct{}
	release      chan struct{}
}

func (s stalledStorage) Persist(p raft.Persist) error {
	if s.stall.Load() {
		s.writeStarted <- struct{}{}
		<-s.release
	}
	return s.Storage.Persist(p)
}

// Guards against Status blocking while the disk does not respond: queries of entry nodes and node heartbeats need the
// state of the group, but not the disk. Guards also against a node that reports itself as leader for the whole stall,
// although the others have elected another leader by then.
func TestStatusDoesNotWaitForTheDisk(t *testing.T) {
	c := newCluster(t, 1)
	c.realClock = true // the stall takes time
	disk := stalledStorage{stall: new(atomic.Bool), writeStarted: make(chan struct{}, 9), release: make(chan struct{})}
	c.wrapStorage = func(s raftd.Storage) raftd.Storage {
		disk.Storage = s
		return disk
	}
	c.startAll()
	leader := c.awaitLeader()
	node := c.nodes[leader]
	disk.stall.Store(true)
	done := make(chan struct{})
	go func() {
		defer close(done)
		_, _ = node.Propose(context.Background(), number(1)) // takes effect after the stall
	}()
	<-disk.writeStarted
	answered, noLongerCurrent := make(chan raftd.Status, 1), make(chan struct{})
	go func() {
		answered <- node.Status()
		for disk.stall.Load() && node.Status().Raft.Current {
			_ = clock.Sleep(t.Context(), clock.Real(), 10*time.Millisecond)
		}
		close(noLongerCurrent)
	}()
	select {
	case s := <-answered:
		assert.Check(t, s.Writing)
	case <-time.After(time.Second):
		t.Error("no status while the disk does not respond")
	}
	select {
	case <-noLongerCurrent:
	case <-time.After(currentTimeout):
		t.Error("the node still reports its state as current while the disk does not respond")
	}
	disk.stall.Store(false)
	close(disk.release)
	<-noLongerCurrent
	<-done
	assert.Check(t, !node.Status().Writing)
}

// Guards against a replaced member that lacks part of the state, and against a restored export that rejoins the old group.
func TestWipedMemberIsReplacedAndExportRestored(t *testing.T) {
	c := newCluster(t, 3)
	c.startAll()
	c.awaitLeader()
	for range 120 {
		_, err := c.add(c.leader(), 1)
		assert.NilError(t, err)
	}
	lost := c.follower()
	assert.NilError(t, c.stop(lost))
	delete(c.folders, lost)
	id := c.create("n9")
	s := c.open(id)
	assert.NilError(t, s.Join(c.nodes[c.leader()].Status().Raft.Cluster))
	assert.NilError(t, s.Close())
	c.start(id)
	c.change(raft.Change{Kind: raft.AddLearner, Member: raft.Member{ID: id}})
	c.change(raft.Change{Kind: raft.Promote, Member: raft.Member{ID: id}})
	c.change(raft.Change{Kind: raft.Remove, Member: raft.Member{ID: lost}})
	assert.NilError(t, c.stop(c.leader())) // a second loss right after the replacement
	c.awaitLeader()
	assert.Equal(t, c.read(id), uint64(120))

	var file bytes.Buffer
	assert.NilError(t, c.nodes[id].Export(context.Background(), &file))
	export, err := store.ReadExport(&file)
	assert.NilError(t, err)
	for _, id := range c.ids() {
		assert.NilError(t, c.stop(id))
	}
	dir := filepath.Join(c.dir, "restored")
	restored, err := store.Restore(dir, export, "r", "", c.random)
	assert.NilError(t, err)
	c.folders[restored.Member.ID] = dir
	c.start(restored.Member.ID)
	c.awaitLeader()
	assert.Equal(t, c.read(restored.Member.ID), uint64(120))
	assert.Assert(t, restored.Cluster != export.Cluster)
}
