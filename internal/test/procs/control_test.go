package procs_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/berylledge/berylledge/internal/base/clock"
	"github.com/berylledge/berylledge/internal/base/event"
	"github.com/berylledge/berylledge/internal/state/raftcl"
	"github.com/berylledge/berylledge/internal/state/rstate"
	"github.com/berylledge/berylledge/internal/test/loopip"
	"github.com/berylledge/berylledge/internal/wire/peer"
	"github.com/berylledge/berylledge/pkg/caller"
)

// chaosTime is how long control nodes are killed; BERYLLEDGE_CHAOS=10m gives the long run of `make chaos`.
func chaosTime(t *testing.T) time.Duration {
	if v := os.Getenv("BERYLLEDGE_CHAOS"); v != "" {
		d, err := time.ParseDuration(v)
		assert.NilError(t, err)
		return d
	}
	return 12 * time.Second
}

// fleetOfFive is five control nodes, two entry nodes and a booking service, each a process.
type fleetOfFive struct {
	t       *testing.T
	control []*node
	entries []*node
	book    *upstream
	hub     *peer.Hub
	peers   []string
}

func startFleetOfFive(t *testing.T) *fleetOfFive {
	t.Helper()
	dir, peers := t.TempDir(), loopip.Addresses(t, 5)
	config := filepath.Join(dir, "config.json")
	assert.NilError(t, os.WriteFile(config, testConfig().Print(), 0o600))
	var list []string
	for i, p := range peers {
		list = append(list, fmt.Sprintf("c%d=%s", i, p))
	}
	f := &fleetOfFive{t: t, peers: peers}
	for i := range peers {
		f.control = append(f.control, startNode(t, fmt.Sprintf("c%d", i), "--roles", "control", "--data-centre", "a",
			"--peer-listen", peers[i], "--control", strings.Join(list, ","), "--config-file", config,
			"--data", filepath.Join(dir, fmt.Sprint(i))))
	}
	for i, listen := range loopip.Addresses(t, 2) {
		f.entries = append(f.entries, startNode(t, fmt.Sprintf("e%d", i), "--data-centre", "a", "--listen", listen,
			"--peer-listen", "127.0.0.1:0", "--join", strings.Join(peers, ",")))
	}
	f.book = startFake(t, "book", f.entries[0].address, "--service", "booking", "--slots", "64")
	events := event.New(event.Options{Node: "test", Clock: clock.Real()})
	var err error
	f.hub, err = peer.New(peer.Options{
		ID: "test", Address: "127.0.0.1:0", Clock: clock.Real(), Events: events,
		Handle: func(context.Context, string, peer.Kind, []byte) ([]byte, error) { return nil, nil },
	})
	assert.NilError(t, err)
	t.Cleanup(f.hub.Close)
	return f
}

func (f *fleetOfFive) access() *raftcl.Client {
	return raftcl.New(raftcl.Options{
		Clock: clock.Real(), ControlNodes: func() []string { return f.peers },
		Call: func(ctx context.Context, address string, command []byte) ([]byte, error) {
			return f.hub.Call(ctx, address, peer.KindPropose, command)
		},
	})
}

// change is an operator who changes the configuration as fast as answers come, and remembers what was accepted.
func (f *fleetOfFive) change(ctx context.Context, name string, accepted *sync.Map) {
	c, expect := f.access(), uint64(1)
	for n := 0; ctx.Err() == nil; {
		cfg := testConfig()
		cfg.Teams[0].Weight = float64(1 + n%100)
		cmd := rstate.PutConfig{
			ExpectedRevision: expect, ChangeID: fmt.Sprintf("%s-%d", name, n), Operator: name, Config: cfg.Print(),
			AtMS: time.Now().UnixMilli(),
		}
		try, cancel := context.WithTimeout(ctx, 2*time.Second)
		res, err := c.Propose(try, cmd)
		cancel()
		var unavailable *raftcl.UnavailableError
		if errors.As(err, &unavailable) {
			continue // sent again under the same change id
		}
		r, ok := res.(rstate.ConfigResult)
		if !ok {
			f.t.Errorf("%s: %v, %v", cmd.ChangeID, res, err)
			return
		}
		if r.Status == rstate.ConfigAccepted || r.Status == rstate.ConfigReplayed {
			if other, taken := accepted.LoadOrStore(r.Revision, cmd.ChangeID); taken && other != cmd.ChangeID {
				f.t.Errorf("revision %d was given to %s and %s", r.Revision, other, cmd.ChangeID)
			}
		}
		expect = r.Revision
		n++
	}
}

// revisions watches which revisions each entry node puts in force; a lower one after a higher one is an error.
func (f *fleetOfFive) watchRevisions(ctx context.Context, highest *[2]atomic.Uint64) {
	filter, err := cbor.Marshal(event.Filter{Name: "config_in_force"})
	assert.NilError(f.t, err)
	peers := make([]string, len(f.entries))
	for i, n := range f.entries {
		peers[i] = quoted.FindAllStringSubmatch(n.line, -1)[1][1]
	}
	for ctx.Err() == nil {
		for i := range f.entries {
			call, cancel := context.WithTimeout(ctx, time.Second)
			body, err := f.hub.Call(call, peers[i], peer.KindEvents, filter)
			cancel()
			var events []event.Event
			if err != nil || cbor.Unmarshal(body, &events) != nil {
				continue
			}
			last := uint64(0)
			for _, e := range events {
				rev, _ := strconv.ParseUint(e.Get("revision"), 10, 64)
				if rev <= last {
					f.t.Errorf("%s went from revision %d to %d", f.entries[i].name, last, rev)
				}
				last = rev
			}
			highest[i].Store(last)
		}
		_ = clock.Sleep(ctx, clock.Real(), 200*time.Millisecond)
	}
}

// Guards against an accepted change that is lost, a revision given twice or taken back on a node, and a booking that runs
// twice, while control nodes are killed with SIGKILL and started again, two at a time included.
func TestControlNodesKilledInALoop(t *testing.T) {
	f := startFleetOfFive(t)
	f.awaitBooking()
	ctx, stop := context.WithTimeout(context.Background(), chaosTime(t))
	defer stop()
	var wg sync.WaitGroup
	var accepted sync.Map
	var highest [2]atomic.Uint64
	for _, name := range []string{"op1", "op2"} {
		wg.Go(func() { f.change(ctx, name, &accepted) })
	}
	wg.Go(func() { f.watchRevisions(ctx, &highest) })
	var settled, unknown, refused atomic.Int64
	for w := range 4 {
		wg.Go(func() { f.bookings(ctx, w, &settled, &unknown, &refused) })
	}
	rng, kills := rand.New(rand.NewPCG(7, 7)), 0
	for ctx.Err() == nil {
		victims := rng.Perm(5)[:1+rng.IntN(2)]
		for _, v := range victims {
			f.control[v].signal(syscall.SIGKILL)
			f.control[v].exit()
			kills++
		}
		for _, v := range victims {
			f.control[v] = startNode(t, f.control[v].name, f.control[v].args...)
		}
		_ = clock.Sleep(ctx, clock.Real(), time.Duration(rng.IntN(2500))*time.Millisecond)
	}
	wg.Wait()
	count, top := 0, uint64(0)
	accepted.Range(func(rev, _ any) bool {
		count, top = count+1, max(top, rev.(uint64))
		return true
	})
	f.awaitRevision(top, &accepted)
	for key, n := range f.book.counts().Keys {
		assert.Equal(t, n, 1, "key %s", key)
	}
	assert.Assert(t, count > 0 && settled.Load() > 0)
	t.Logf("%d kills, %d accepted changes, last revision %d; bookings: %d settled, %d unknown, %d refused as not run",
		kills, count, top, settled.Load(), unknown.Load(), refused.Load())
}

// awaitRevision asks the group for the history by a conflicting change: its latest revision must not be below an accepted
// one, and a resend of the newest accepted change must be answered as that revision.
func (f *fleetOfFive) awaitRevision(top uint64, accepted *sync.Map) {
	f.t.Helper()
	id, _ := accepted.Load(top)
	poll.WaitOn(f.t, func(poll.LogT) poll.Result {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		res, err := f.access().Propose(ctx, rstate.PutConfig{
			ExpectedRevision: 1, ChangeID: "probe", Operator: "probe", Config: testConfig().Print(), AtMS: time.Now().UnixMilli(),
		})
		if err != nil {
			return poll.Continue("%v", err)
		}
		r := res.(rstate.ConfigResult)
		if r.Status != rstate.ConfigConflict || r.Revision < top {
			return poll.Error(fmt.Errorf("change %v was accepted as revision %d, and the group is at %d", id, top, r.Revision))
		}
		return poll.Success()
	}, poll.WithTimeout(30*time.Second))
}

func (f *fleetOfFive) awaitBooking() {
	c := caller.New(caller.Options{Seeds: []string{f.entries[0].address, f.entries[1].address}, Team: "crew"})
	defer c.Close()
	poll.WaitOn(f.t, func(poll.LogT) poll.Result {
		_, err := c.Do(context.Background(), bookOnly("first"), nil)
		if err != nil {
			return poll.Continue("%v", err)
		}
		return poll.Success()
	}, poll.WithTimeout(30*time.Second), poll.WithDelay(100*time.Millisecond))
}

var keysCreated = time.Now().UnixMilli()

func bookOnly(key string) caller.Submit {
	return caller.Submit{Pipeline: "book", Rank: "urgent", Input: "visit " + key, IdempotencyKey: key, KeyCreatedMS: keysCreated}
}

// bookings sends bookings and resends each until its outcome is known or cannot be known.
func (f *fleetOfFive) bookings(ctx context.Context, worker int, settled, unknown, refused *atomic.Int64) {
	c := caller.New(caller.Options{Seeds: []string{f.entries[worker%2].address, f.entries[1-worker%2].address}, Team: "crew"})
	defer c.Close()
	for i := 0; ctx.Err() == nil; i++ {
		for ctx.Err() == nil {
			_, err := c.Do(context.Background(), bookOnly(fmt.Sprintf("%d-%d", worker, i)), nil)
			var refusal *caller.Refusal
			if err == nil {
				settled.Add(1)
				break
			}
			if errors.As(err, &refusal) && refusal.Ran == caller.NotRun {
				refused.Add(1)
				continue
			}
			unknown.Add(1)
			break
		}
	}
}
