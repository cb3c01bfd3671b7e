// Package proxy forwards callers' requests to upstreams unchanged, and their responses back.
//
// Usage:
//
//	f := proxy.New(proxy.Options{Dialect: proto.Own(), View: feed.View, Pool: pool, Batcher: maker, ...})
//	http.Serve(listener, f)
//	f.Drain(proxy.Draining) // the first phase of a planned stop
//	f.Close()
//
// # Retries
//
// Each attempt of a caller has its own id, and only the node that received it forwards it. This node alone
// therefore ensures that non-idempotent work runs at most once: it sends such a request once, and again only if
// the request provably did not run, that is, if no connection could be made, an upstream responded that it did
// not run the request, or the address belongs to another upstream than expected. Idempotent requests may be sent
// again after any failure, within the route's attempts and the retry budget.
//
// # Meaning of statuses
//
// A 429, 503, 408 or 421 from this node means that the request has not run and will not. If it may have run, the
// status is 502 or 504. Upstream responses are forwarded, including errors.
//
// The caller-facing side uses net/http, because go-zero's router only matches fixed path patterns and cannot
// forward a request unchanged.
package proxy

import (
	"context"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/berylledge/berylledge/internal/base/clock"
	"github.com/berylledge/berylledge/internal/base/event"
	"github.com/berylledge/berylledge/internal/gate/batch"
	"github.com/berylledge/berylledge/internal/gate/conf"
	"github.com/berylledge/berylledge/internal/gate/deny"
	"github.com/berylledge/berylledge/internal/gate/engine"
	"github.com/berylledge/berylledge/internal/gate/pace"
	"github.com/berylledge/berylledge/internal/gate/pick"
	"github.com/berylledge/berylledge/internal/gate/poller"
	"github.com/berylledge/berylledge/internal/gate/proto"
	"github.com/berylledge/berylledge/internal/gate/roster"
	"github.com/berylledge/berylledge/internal/gate/speed"
	"github.com/berylledge/berylledge/internal/wire/httpd"
	"github.com/berylledge/berylledge/internal/wire/memory"
	"github.com/berylledge/berylledge/internal/wire/peer"
	"github.com/berylledge/berylledge/internal/wire/upcon"
)

// Options configures a Forwarder.
type Options struct {
	Node          string
	DataCentre    string
	Region        string
	RegionOf      map[string]string // region of each data centre
	Dialect       *proto.Dialect
	Clock         clock.Clock
	Events        *event.Log
	View          func() *poller.View
	Pool          *upcon.Pool
	Batcher       *batch.Batcher
	Hub           *peer.Hub
	RetryBudget   RetryBudget
	Crashes       *deny.Blocklist
	Metrics       MetricHooks
	ReportCrashes func() // called after a crash record that other nodes should learn of soon; must not block
	// RefreshCrashes waits until Crashes holds what a control node knew a moment ago, or until the context is
	// done.
	RefreshCrashes func(context.Context)
	Pace           pace.Bounds
	Seed           uint64
	// Memory counts bodies and answers with what the process holds besides; nil: the machine's size is not known.
	Memory *memory.Account
	// Limited is told which callers were refused for want of memory; nil: nobody is.
	Limited func(httpd.Refusal)
}

// Forwarder forwards requests; it is an http.Handler.
type Forwarder struct {
	o        Options
	ctx      context.Context
	cancel   context.CancelFunc
	wg       sync.WaitGroup
	drain    *drainState
	buffers  bufferBudget
	inFlight atomic.Int64
	regions  []string // sorted

	mu      sync.Mutex
	chooser *pick.Chooser
	retries *retryLimiter
	rng     *rand.Rand
	placers map[placeKey]*engine.Placer // placers that this node runs
	pace    paceState
	// unreachableUntil holds the time until which no request is placed in a region, because its placers timed
	// out.
	unreachableUntil map[string]time.Time
	silentRuns       []silentRun // oldest first
	hasSilentRuns    atomic.Bool
	// lastCrashReport is when crashes were last reported outside the regular poll.
	lastCrashReport time.Time
}

const sweepInterval = time.Second

// New creates a Forwarder and starts its background work.
func New(o Options) *Forwarder {
	f := &Forwarder{
		o: o, chooser: pick.New(o.Pace, o.Node), retries: newRetryLimiter(o.RetryBudget), rng: rand.New(rand.NewPCG(o.Seed, 1)),
		placers: map[placeKey]*engine.Placer{}, unreachableUntil: map[string]time.Time{}, drain: newDrainState(),
	}
	f.chooser.UseTable(o.Batcher.PaceTable())
	for _, region := range o.RegionOf {
		if !slices.Contains(f.regions, region) {
			f.regions = append(f.regions, region)
		}
	}
	slices.Sort(f.regions)
	f.ctx, f.cancel = context.WithCancel(context.Background())
	f.wg.Go(func() {
		for clock.Sleep(f.ctx, o.Clock, sweepInterval) == nil {
			f.sweep(o.Clock.Now())
		}
	})
	return f
}

// sweep removes what has ended from the tables.
func (f *Forwarder) sweep(now time.Time) {
	f.o.Pool.Sweep()
	f.checkSilentRuns(now)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.chooser.Sweep(now)
	f.updatePace(now)
}

// Close stops the background work and waits for it.
func (f *Forwarder) Close() {
	f.Drain(Ending)
	f.cancel()
	f.wg.Wait()
}

// InFlight returns the number of requests whose response is not complete.
func (f *Forwarder) InFlight() int { return int(f.inFlight.Load()) }

// distance ranks how far apart two data centres are: 0 the same, 1 the same region, 2 different regions.
func (f *Forwarder) distance(from, to string) int {
	switch {
	case from == to:
		return 0
	case f.o.RegionOf[from] == f.o.RegionOf[to]:
		return 1
	}
	return 2
}

// distanceFunc returns a function that ranks data centres by distance from this node. For requests with cache
// affinity, all data centres of the region are equally near: repeating a prefill costs more than a hop between
// them.
func (f *Forwarder) distanceFunc(w pick.Criteria) func(string) int {
	return func(dataCentre string) int {
		d := f.distance(f.o.DataCentre, dataCentre)
		if w.Affinity != "" && d == 1 {
			return 0
		}
		return d
	}
}

// chooseUpstream selects an upstream of a service and counts a request to it.
func (f *Forwarder) chooseUpstream(service string, w pick.Criteria) (roster.Upstream, bool) {
	w.Distance = f.distanceFunc(w)
	view := f.o.View()
	list := view.Services[service]
	now := f.o.Clock.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.setNodes(now, view)
	u, ok := f.chooser.Choose(now, list, w)
	if ok {
		f.chooser.Begin(now, u.ID)
	}
	return u, ok
}

// stillReady reports whether an upstream that was selected earlier still accepts requests.
func (f *Forwarder) stillReady(u roster.Upstream) bool {
	for _, now := range f.o.View().Services[u.Service] {
		if now.ID == u.ID {
			return now.State == roster.Ready && now.StartedMs == u.StartedMs && now.Address == u.Address
		}
	}
	return false
}

// beginRequest counts a request to an upstream that the placer selected.
func (f *Forwarder) beginRequest(id string) {
	now := f.o.Clock.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.chooser.Begin(now, id)
}

func (f *Forwarder) endRequest(id string, r pick.Result, took time.Duration) {
	now := f.o.Clock.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.chooser.End(now, id, r, took)
}

// noteLoad records what an upstream reported about its load with an answer. Invalid reports are ignored.
func (f *Forwarder) noteLoad(resp *response) {
	name := f.o.Dialect.Headers.Load
	if name == "" {
		return
	}
	if l, ok := speed.ParseLoad(resp.Header.Get(name)); ok && l.Duration > 0 {
		now := f.o.Clock.Now()
		f.mu.Lock()
		defer f.mu.Unlock()
		f.chooser.ReportDuration(now, resp.upstream.ID, l.Duration)
	}
}

// allowRetry takes one retry from the retry budget, if there is one left.
func (f *Forwarder) allowRetry(service string) bool {
	now := f.o.Clock.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.retries.allow(now, service, f.entryNodes())
}

func (f *Forwarder) countRequest(service string) {
	now := f.o.Clock.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.retries.countRequest(now, service)
}

// entryNodes is the number of entry nodes that share retry budgets and connection limits.
func (f *Forwarder) entryNodes() int { return max(len(f.o.View().Entries), 1) }

// chooseService selects the service of a request at random, by the route's weights.
func (f *Forwarder) chooseService(r *conf.Route) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return r.Choose(f.rng.Float64())
}

// connLimit is this node's share of the connections that an upstream accepts; 0 means no limit.
func (f *Forwarder) connLimit(s *conf.Service) int {
	if s == nil || s.MaxConns <= 0 {
		return 0
	}
	return max(s.MaxConns/f.entryNodes(), minConnLimit)
}

// minConnLimit lets every node connect even if there are more nodes than allowed connections. Upstreams refuse
// connections above their limit.
const minConnLimit = 2

// ServeHTTP handles one request of a caller.
func (f *Forwarder) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	f.inFlight.Add(1)
	defer f.inFlight.Add(-1)
	f.closeWhenDraining(w)
	x := &exchange{
		f: f, w: newCallerWriter(w, f.o.Clock), r: r, start: f.o.Clock.Now(), id: r.Header.Get(f.o.Dialect.Headers.RequestID),
		buffers: reservation{budget: &f.buffers, account: f.o.Memory},
	}
	defer x.buffers.release()
	defer func() {
		x.bodyHeld.Release()
		x.piecesHeld.Release()
	}()
	x.serve()
}
