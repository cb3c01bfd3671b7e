package crashd_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/berylledge/berylledge/internal/base/clock"
	"github.com/berylledge/berylledge/internal/base/event"
	"github.com/berylledge/berylledge/internal/node/crashd"
	"github.com/berylledge/berylledge/internal/node/entry"
	"github.com/berylledge/berylledge/internal/state/poison"
	"github.com/berylledge/berylledge/internal/state/rstate"
	"github.com/berylledge/berylledge/internal/test/fake"
	"github.com/berylledge/berylledge/internal/test/inmem"
	"github.com/berylledge/berylledge/internal/test/leak"
	"github.com/berylledge/berylledge/pkg/caller"
	"github.com/berylledge/berylledge/pkg/fleet"
	"github.com/berylledge/berylledge/pkg/upapi"
)

func TestMain(m *testing.M) { leak.Verify(m) }

const (
	nodes         = 3
	upstreams     = 8
	crashingInput = "poison"
	// restartDelay is how long a fake upstream takes to return after a crash.
	restartDelay = 300 * time.Millisecond
)

// testCluster is three entry nodes that share a ledger, and a pool of upstreams that crash on one input and return with a
// higher incarnation.
type testCluster struct {
	t                *testing.T
	ledger           *inmem.Ledger
	nodes            []*entry.Node
	guards           []*crashd.Guard
	crashes          atomic.Int64
	crashingDisabled atomic.Bool // upstreams started later do not crash
	stop             context.CancelFunc
	wg               sync.WaitGroup

	mu  sync.Mutex
	ups map[string]*fake.Upstream
}

func config() *fleet.Config {
	return &fleet.Config{
		FormatVersion: fleet.FormatVersion,
		Ranks:         []fleet.Rank{{Name: "urgent", Share: 0.8}},
		Teams:         []fleet.Team{{Name: "crew"}},
		Pipelines: []fleet.Pipeline{{Name: "ask", DeadlineMS: 8000, Stages: []fleet.Stage{
			{Name: "rerank", Kind: fleet.Rerank},
			{Name: "answer", Kind: fleet.Generate, Model: "pond", MaxTokens: 5},
		}}},
	}
}

func start(t *testing.T, guarded bool) *testCluster {
	t.Helper()
	c := clock.Real()
	r := &testCluster{t: t, ledger: inmem.New(), ups: map[string]*fake.Upstream{}}
	ctx, stop := context.WithCancel(context.Background())
	r.stop = stop
	for i := range nodes {
		name := fmt.Sprint("e", i)
		o := entry.Options{
			Node: name, DataCentre: "a", Region: "r", Address: "127.0.0.1:0", Clock: c, Ledger: r.ledger, Seed: uint64(i + 1),
			Events: event.New(event.Options{Node: name, Clock: c}),
			Tell: entry.Tell{
				Announce: func(a upapi.Announce) { r.forOtherNodes(i, func(n *entry.Node) { n.RelayedAnnounce(c.Now(), a) }) },
				Renew:    func(m upapi.Renew) { r.forOtherNodes(i, func(n *entry.Node) { n.RelayedRenew(c.Now(), m) }) },
			},
		}
		if guarded {
			o.Guard = crashd.New(crashd.Options{Node: name, Clock: c, Events: o.Events, Propose: r.ledger.Propose, FetchSuspects: r.ledger.Fetch})
			r.ledger.Watch(o.Guard.ApplyUpdate)
			r.guards = append(r.guards, o.Guard)
		}
		n, err := entry.New(o)
		assert.NilError(t, err)
		n.SetConfig(1, config(), nodes)
		r.nodes = append(r.nodes, n)
	}
	for i := range upstreams {
		r.startUpstream(fmt.Sprint("rank-", i), upapi.KindReranker)
	}
	r.startUpstream("gen", upapi.KindEngine)
	r.wg.Go(func() {
		for clock.Sleep(ctx, c, time.Second) == nil {
			_, _ = r.ledger.Propose(ctx, rstate.CrashCommands(poison.Expire{}, c.Now().UnixMilli())[0])
		}
	})
	t.Cleanup(r.close)
	for _, n := range r.nodes {
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			if got := len(n.Upstreams().View().All); got <= upstreams {
				return poll.Continue("%d upstreams known", got)
			}
			return poll.Success()
		}, poll.WithDelay(5*time.Millisecond))
	}
	return r
}

func (r *testCluster) close() {
	r.stop()
	r.wg.Wait()
	for _, n := range r.nodes {
		n.Close()
	}
	for _, g := range r.guards {
		g.Close()
	}
	for _, u := range r.ups {
		u.Close()
	}
	http.DefaultClient.CloseIdleConnections()
}

func (r *testCluster) forOtherNodes(i int, f func(*entry.Node)) {
	for j, n := range r.nodes {
		if j != i {
			f(n)
		}
	}
}

func (r *testCluster) startUpstream(id string, kind upapi.Kind) {
	ctx, c := context.Background(), clock.Real()
	o := fake.Options{ID: id, Kind: kind, DataCentre: "a", Region: "r", Slots: 64, Clock: c}
	for _, n := range r.nodes {
		o.Entries = append(o.Entries, n.Address())
	}
	if kind == upapi.KindEngine {
		o.Models = []string{"pond"}
	} else {
		o.Services = []string{"rerank"}
	}
	var u *fake.Upstream
	started := make(chan struct{})
	o.OnCrash = func() {
		r.crashes.Add(1)
		<-started
		r.wg.Go(func() {
			_ = clock.Sleep(ctx, c, restartDelay)
			u.Close()
			r.startUpstream(id, kind)
		})
	}
	u, err := fake.New(o)
	if err != nil {
		r.t.Errorf("%s: %v", id, err)
		return
	}
	if kind != upapi.KindEngine && !r.crashingDisabled.Load() {
		u.Set(fake.Behaviour{CrashOn: crashingInput})
	}
	close(started)
	r.mu.Lock()
	r.ups[id] = u
	r.mu.Unlock()
}

// send sends a request to one node and returns the refusal, or nil if it succeeded.
func (r *testCluster) send(node int, input string) *caller.Refusal {
	body, _ := json.Marshal(caller.Submit{Pipeline: "ask", Rank: "urgent", Input: input})
	req, _ := http.NewRequest(http.MethodPost, "http://"+r.nodes[node%nodes].Address()+caller.PathRequests, bytes.NewReader(body))
	req.Header.Set(caller.HeaderTeam, "crew")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		r.t.Errorf("%s: %v", input, err)
		return nil
	}
	defer resp.Body.Close()
	if resp.StatusCode == http.StatusOK {
		return nil
	}
	ref := &caller.Refusal{}
	if err := json.NewDecoder(resp.Body).Decode(ref); err != nil {
		r.t.Errorf("%s: %v", input, err)
	}
	return ref
}

// sendInnocent sends 50 harmless requests, repeating each until it succeeds.
func (r *testCluster) sendInnocent(wg *sync.WaitGroup, served, quarantined, again *atomic.Int64) {
	for i := range 50 {
		wg.Go(func() {
			for try := range 100 {
				ref := r.send(i+try, fmt.Sprint("pond ", i))
				if ref == nil {
					served.Add(1)
					return
				}
				again.Add(1)
				if ref.Code == caller.CodeQuarantined {
					quarantined.Add(1)
				}
			}
			r.t.Errorf("innocent request %d was never answered", i)
		})
	}
}

// Guards against a crashing request that takes down more than 2 upstreams when it is sent 50 times through 3 nodes, in turn
// or at once, among 50 innocent ones, against innocent requests that are quarantined or never answered, and
// against a crashing request that is not quarantined in the end or cannot be cleared.
func TestCrashingRequestTakesDownTwoUpstreams(t *testing.T) {
	for _, atOnce := range []bool{false, true} {
		t.Run(fmt.Sprintf("at_once=%v", atOnce), func(t *testing.T) {
			r := start(t, true)
			var wg sync.WaitGroup
			var served, quarantined, again atomic.Int64
			r.sendInnocent(&wg, &served, &quarantined, &again)
			var mu sync.Mutex
			codes := map[caller.Code]int{}
			sendBad := func(i int) {
				ref := r.send(i, crashingInput)
				if ref == nil {
					t.Errorf("poison %d was answered", i)
					return
				}
				mu.Lock()
				defer mu.Unlock()
				codes[ref.Code]++
				if ref.Code == caller.CodeQuarantined && ref.Ran != caller.NotRun {
					t.Errorf("a quarantined request says %q", ref.Ran)
				}
			}
			for i := range 50 {
				if atOnce {
					wg.Go(func() { sendBad(i) })
				} else {
					sendBad(i)
				}
			}
			wg.Wait()
			fp := r.awaitIsolated(func() {
				var more sync.WaitGroup
				r.sendInnocent(&more, &served, &quarantined, &again)
				more.Wait()
			})
			sendBad(0)
			t.Logf("%d crashes; poison %v; innocent: %d answered, %d sent again", r.crashes.Load(), codes, served.Load(), again.Load())
			assert.Assert(t, r.crashes.Load() >= 1 && r.crashes.Load() <= 2, "%d crashes", r.crashes.Load())
			assert.Assert(t, served.Load() >= 50 && served.Load()%50 == 0)
			assert.Equal(t, quarantined.Load(), int64(0))
			assert.Assert(t, codes[caller.CodeQuarantined] > 0)

			r.disableCrashing()
			_, err := r.ledger.Propose(context.Background(), rstate.ClearQuarantine{
				Fingerprint: fp.String(), Operator: "op", AtMS: time.Now().UnixMilli(),
			})
			assert.NilError(t, err)
			for i := range nodes {
				poll.WaitOn(t, func(poll.LogT) poll.Result {
					if ref := r.send(i, crashingInput); ref != nil {
						return poll.Continue("%v", ref)
					}
					return poll.Success()
				}, poll.WithDelay(20*time.Millisecond))
			}
		})
	}
}

func (r *testCluster) disableCrashing() {
	r.crashingDisabled.Store(true)
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, u := range r.ups {
		u.Set(fake.Behaviour{})
	}
}

// awaitIsolated waits until all nodes know that a fingerprint is isolated. It resends the innocent requests meanwhile: those
// that ran beside the crashing one at its second death, and succeeded before the death was known, keep it held
// instead of isolated until they are cleared.
func (r *testCluster) awaitIsolated(again func()) (fp poison.Fingerprint) {
	r.t.Helper()
	for _, g := range r.guards {
		poll.WaitOn(r.t, func(poll.LogT) poll.Result {
			for _, e := range g.List() {
				if e.Status == poison.Isolated {
					fp = e.Fingerprint
					return poll.Success()
				}
			}
			again()
			return poll.Continue("%v", g.List())
		}, poll.WithDelay(20*time.Millisecond), poll.WithTimeout(10*time.Second))
	}
	return fp
}

// Checks that the scenario is effective: without the guard the same request takes down more than 2 upstreams.
func TestWithoutGuardMoreUpstreamsCrash(t *testing.T) {
	r := start(t, false)
	for i := range 50 {
		r.send(i, crashingInput)
	}
	t.Logf("%d crashes without the guard", r.crashes.Load())
	assert.Assert(t, r.crashes.Load() > 2)
}
