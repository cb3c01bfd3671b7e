// Package proxy forwards callers' requests to upstreams, unchanged, and their answers back.
//
// Usage:
//
//	f := proxy.New(proxy.Options{Dialect: proto.Own(), View: feed.View, Pool: pool, Maker: maker, ...})
//	http.Serve(listener, f)
//	f.Drain() // answers carry Connection: close from now on
//	f.Close()
//
// # What may be repeated
//
// Each attempt of a caller has its own id, and the node that took it is the only one that sends it on. So this node alone
// keeps the promise that work which is not idempotent runs once: it is sent once, and again only after a proof that it did
// not run, namely no connection, a refusal that says so, or an upstream that is another one than expected. Idempotent work
// may be sent again after any failure, within the route's attempts and the retry budget.
//
// # What an answer promises
//
// 429, 503, 408 and 421 of this node say that the request has not run and will not. If it may have run, the answer is 502
// or 504. What an upstream has answered is passed on, failures included.
//
// net/http serves the callers' side: go-zero's router matches on paths of its own and cannot pass a request on unchanged.
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
	"github.com/berylledge/berylledge/internal/gate/pick"
	"github.com/berylledge/berylledge/internal/gate/poller"
	"github.com/berylledge/berylledge/internal/gate/proto"
	"github.com/berylledge/berylledge/internal/gate/roster"
	"github.com/berylledge/berylledge/internal/wire/peer"
	"github.com/berylledge/berylledge/internal/wire/upcon"
)

// Options configure a Front.
type Options struct {
	Node       string
	DataCentre string
	Region     string
	RegionOf   map[string]string // regions by data centre
	Dialect    *proto.Dialect
	Clock      clock.Clock
	Events     *event.Log
	View       func() *poller.View
	Pool       *upcon.Pool
	Maker      *batch.Maker
	Hub        *peer.Hub
	Budget     Budget
	Blame      *deny.Board
	Measure    Measure
	Report     func() // called after a note on Blame that other nodes should hear of soon; it must not block
	// Consult waits until Blame holds what a control node knew a moment ago, or until the context ends.
	Consult func(context.Context)
	Seed    uint64
}

// Front is a running forwarder; it is an http.Handler.
type Front struct {
	o        Options
	ctx      context.Context
	cancel   context.CancelFunc
	wg       sync.WaitGroup
	draining atomic.Bool
	inFlight atomic.Int64
	regions  []string // sorted

	mu      sync.Mutex
	chooser *pick.Chooser
	budget  *budget
	rng     *rand.Rand
	placers map[placeKey]*engine.Placer // of engines, where this node keeps them
	// unreached holds until when no request is placed in a region, because its placers were silent.
	unreached map[string]time.Time
	// reported is when a crash was last reported ahead of the next question.
	reported time.Time
}

const sweepEvery = time.Second

// New starts a front.
func New(o Options) *Front {
	f := &Front{
		o: o, chooser: pick.New(), budget: newBudget(o.Budget), rng: rand.New(rand.NewPCG(o.Seed, 1)),
		placers: map[placeKey]*engine.Placer{}, unreached: map[string]time.Time{},
	}
	for _, region := range o.RegionOf {
		if !slices.Contains(f.regions, region) {
			f.regions = append(f.regions, region)
		}
	}
	slices.Sort(f.regions)
	f.ctx, f.cancel = context.WithCancel(context.Background())
	f.wg.Go(func() {
		for clock.Sleep(f.ctx, o.Clock, sweepEvery) == nil {
			o.Pool.Sweep()
			f.mu.Lock()
			f.chooser.Sweep(o.Clock.Now())
			f.mu.Unlock()
		}
	})
	return f
}

// Close ends all requests.
func (f *Front) Close() {
	f.cancel()
	f.wg.Wait()
}

// Drain makes callers leave: each further answer ends its connection.
func (f *Front) Drain() { f.draining.Store(true) }

// InFlight returns the number of requests that have no final answer yet.
func (f *Front) InFlight() int { return int(f.inFlight.Load()) }

// distance orders data centres by how far they are from another one.
func (f *Front) distance(from, to string) int {
	switch {
	case from == to:
		return 0
	case f.o.RegionOf[from] == f.o.RegionOf[to]:
		return 1
	}
	return 2
}

// near says how far a data centre is from this node. Requests that look for a cache see a region as one place: to read a
// prompt again costs more than a way between its data centres.
func (f *Front) near(w pick.Want) func(string) int {
	return func(dataCentre string) int {
		d := f.distance(f.o.DataCentre, dataCentre)
		if w.Affinity != "" && d == 1 {
			return 0
		}
		return d
	}
}

// choose picks an upstream of a service and counts a request to it.
func (f *Front) choose(service string, w pick.Want) (roster.Upstream, bool) {
	w.Near = f.near(w)
	list := f.o.View().Services[service]
	now := f.o.Clock.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	u, ok := f.chooser.Choose(now, list, w)
	if ok {
		f.chooser.Begin(u.ID)
	}
	return u, ok
}

// takesWork reports whether an upstream that was chosen earlier may still receive work.
func (f *Front) takesWork(u roster.Upstream) bool {
	for _, now := range f.o.View().Services[u.Service] {
		if now.ID == u.ID {
			return now.State == roster.Ready && now.StartedMs == u.StartedMs && now.Address == u.Address
		}
	}
	return false
}

// begin counts a request to an upstream that was chosen elsewhere.
func (f *Front) begin(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.chooser.Begin(id)
}

func (f *Front) ended(id string, r pick.Result, took time.Duration) {
	now := f.o.Clock.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.chooser.End(now, id, r, took)
}

// mayRepeat takes one repeat from the retry budget.
func (f *Front) mayRepeat(service string) bool {
	now := f.o.Clock.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.budget.repeat(now, service, f.entryNodes())
}

func (f *Front) countRequest(service string) {
	now := f.o.Clock.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.budget.request(now, service)
}

// entryNodes is the number of entry nodes that share budgets and connections.
func (f *Front) entryNodes() int { return max(len(f.o.View().Entries), 1) }

// split draws the service of a request.
func (f *Front) split(r *conf.Route) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return r.Choose(f.rng.Float64())
}

// connections is this node's part of the connections that an upstream accepts.
func (f *Front) connections(s *conf.Service) int {
	if s == nil || s.MaxConns <= 0 {
		return 0
	}
	return max(s.MaxConns/f.entryNodes(), minConnections)
}

// minConnections lets a node work although there are more nodes than connections; the upstream refuses what is too much.
const minConnections = 2

// ServeHTTP serves one request of a caller.
func (f *Front) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	f.inFlight.Add(1)
	defer f.inFlight.Add(-1)
	if f.draining.Load() {
		w.Header().Set("Connection", "close")
	}
	x := &exchange{f: f, w: newCallerWriter(w, f.o.Clock), r: r, began: f.o.Clock.Now(), id: r.Header.Get(f.o.Dialect.Headers.RequestID)}
	x.serve()
}
