// Package entry is the entry node: it serves callers and upstreams over HTTP, admits requests, runs them, and keeps
// finished answers for callers that resume.
//
// Usage:
//
//	n, err := entry.New(entry.Options{Node: "e1", Address: "10.0.0.5:7001", Clock: c, Events: log, ...})
//	n.SetConfig(revision, cfg) // no work is taken before the first configuration is known
//	n.Drain(ctx)               // planned stop: serves until handed-out addresses have expired, finishes requests in flight
//	n.Close()
package entry

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/zeromicro/go-zero/rest"

	"github.com/berylledge/berylledge/internal/base/chart"
	"github.com/berylledge/berylledge/internal/base/clock"
	"github.com/berylledge/berylledge/internal/base/event"
	"github.com/berylledge/berylledge/internal/fleet/upview"
	"github.com/berylledge/berylledge/internal/flow/admit"
	"github.com/berylledge/berylledge/internal/flow/exec"
	"github.com/berylledge/berylledge/internal/flow/retry"
	"github.com/berylledge/berylledge/internal/flow/route"
	"github.com/berylledge/berylledge/internal/node/crashd"
	"github.com/berylledge/berylledge/internal/wire/httpd"
	"github.com/berylledge/berylledge/internal/wire/memory"
	"github.com/berylledge/berylledge/pkg/caller"
	"github.com/berylledge/berylledge/pkg/fleet"
	"github.com/berylledge/berylledge/pkg/upapi"
)

// Options configure a Node. Zero durations have the defaults in the comments.
type Options struct {
	Node        string
	DataCentre  string
	Region      string
	Address     string
	Listener    net.Listener // instead of Address
	Clock       clock.Clock
	Events      *event.Log
	Ledger      exec.Ledger
	Members     func() []Member // live entry nodes, this one included; nil means this one alone
	Service     func() Service  // work that may be taken, judged by the age of the configuration; nil means all
	Ready       func() bool     // whether the node knows the fleet well enough to take work; nil means always
	Tell        Tell            // what upstreams said is passed on to the other nodes
	EntryValid  time.Duration   // how long an answer to GET /v1/entry may be kept; 30 s
	SpreadDelay time.Duration   // until all nodes know that this one drains; 2 s
	DrainLimit  time.Duration   // a planned stop waits no longer than this for requests in flight; 2 min
	Extra       []rest.Route    // administration and metrics
	Measure     Measure
	Guard       *crashd.Guard // nil: no defence against requests that crash upstreams; the owner closes it
	// Account counts connections, submissions and answers with what the process holds besides; nil: no bound for all together.
	Account *memory.Account
	// Refused is told which peers were refused because of a limit; nil: nobody is.
	Refused func(httpd.Refusal)
	Seed    uint64
}

// Service is the work that a node may take.
type Service int

// The levels of service. Work that needs a claim is decided by the claim.
const (
	ServeNone   Service = iota // the configuration may have been replaced
	ServeUrgent                // no news of the control group for long: only the most urgent rank is served
	ServeAll
)

// Tell passes what an upstream said on to the other nodes.
type Tell struct {
	Announce func(upapi.Announce)
	Renew    func(upapi.Renew)
	Leave    func(context.Context, upapi.Renew) error // returns nil once the other nodes know
	Load     func(upapi.Load)
}

func (o *Options) setDefaults() {
	setDefault(&o.EntryValid, 30*time.Second)
	setDefault(&o.SpreadDelay, 2*time.Second)
	setDefault(&o.DrainLimit, 2*time.Minute)
}

func setDefault(v *time.Duration, d time.Duration) {
	if *v == 0 {
		*v = d
	}
}

// inForce is the configuration that a node works with.
type inForce struct {
	revision uint64
	cfg      *fleet.Config
}

// Node is a running entry node.
type Node struct {
	o      Options
	server *httpd.Server
	trans  *http.Transport
	ups    *upview.Table
	runner *exec.Runner
	gate   *gate
	life   *chart.Chart
	chooser
	stop context.CancelFunc
	wg   sync.WaitGroup

	config   atomic.Pointer[inForce]
	share    share // owned by sweep
	draining atomic.Bool
	closing  atomic.Bool // past the last expiry: new requests are refused

	mu       sync.Mutex
	requests map[requestKey]*request
	done     []*request    // finished, in the order of their ends
	yielded  chan struct{} // has a value when a kept answer yields its memory
	running  int
	idle     *sync.Cond
	cutOff   int
}

// New starts a node.
func New(o Options) (*Node, error) {
	o.setDefaults()
	if o.Ledger == nil {
		return nil, errors.New("entry: a ledger is required")
	}
	n := &Node{o: o, ups: upview.New(), requests: map[requestKey]*request{}, yielded: make(chan struct{}, 1)}
	n.idle = sync.NewCond(&n.mu)
	var err error
	if n.life, err = loadChart(); err != nil {
		return nil, err
	}
	client, trans := httpd.NewClient("upstream", maxIdlePerUpstream, nil)
	n.trans = trans
	httpd.CountDials(trans, o.Account)
	once, onceTrans := httpd.NewClient("upstream_once", 0, nil)
	onceTrans.DisableKeepAlives = true
	run := exec.Options{
		Node: o.Node, DataCentre: o.DataCentre, Region: o.Region, Clock: o.Clock, Events: o.Events, View: n.ups.View,
		Client: client, OnceClient: once, Ledger: o.Ledger, Route: route.DefaultPolicy(), Retry: retry.DefaultPolicy(), Seed: o.Seed,
		Account: o.Account,
	}
	if o.Guard != nil { // a nil pointer in the interface would not be nil
		run.Guard = o.Guard
	}
	n.runner = exec.New(run)
	ctx, cancel := context.WithCancel(context.Background())
	n.stop = cancel
	n.gate = newGate(ctx, o.Clock, admit.Policy{Seed: o.Seed})
	n.server, err = httpd.New(httpd.Options{
		Name: "entry", Address: o.Address, Listener: o.Listener, MaxBytes: maxBody, NotFound: http.HandlerFunc(notFound),
		LongHeader: http.HandlerFunc(longHeader), Account: o.Account, BodyFactor: httpd.JSONFactor,
		Refused: o.Refused,
	}, append(n.routes(), o.Extra...))
	if err != nil {
		cancel()
		n.gate.wg.Wait()
		return nil, err
	}
	n.self = Member{ID: o.Node, Address: n.server.Address(), DataCentre: o.DataCentre, Region: o.Region}
	n.wg.Go(func() { n.sweep(ctx) })
	n.wg.Go(func() { n.dropYielded(ctx) })
	return n, nil
}

const (
	maxIdlePerUpstream = 64
	maxBody            = 4 << 20 // above fleet.Limits.MaxInputBytes and its JSON escapes, so that the typed limit decides
)

func (n *Node) routes() []rest.Route {
	return []rest.Route{
		{Method: http.MethodGet, Path: caller.PathEntry, Handler: n.serveEntry},
		{Method: http.MethodPost, Path: caller.PathRequests, Handler: n.serveSubmit},
		{Method: http.MethodGet, Path: caller.PathRequests + "/:id", Handler: n.serveFetch},
		{Method: http.MethodDelete, Path: caller.PathRequests + "/:id", Handler: n.serveCancel},
		{Method: http.MethodPost, Path: upapi.PathAnnounce, Handler: n.serveAnnounce},
		{Method: http.MethodPost, Path: upapi.PathRenew, Handler: n.serveRenew},
		{Method: http.MethodPost, Path: upapi.PathLeave, Handler: n.serveLeave},
		{Method: http.MethodPost, Path: upapi.PathLoad, Handler: n.serveLoad},
		{Method: http.MethodPost, Path: upapi.PathCacheEvents, Handler: n.serveCacheEvents},
	}
}

// Address returns the address on which the node listens.
func (n *Node) Address() string { return n.server.Address() }

// Upstreams returns the table of upstreams, which relayed messages change too.
func (n *Node) Upstreams() *upview.Table { return n.ups }

// SetConfig puts a configuration in force and reports whether it did: a revision that is not higher is ignored, so a node
// never goes back.
func (n *Node) SetConfig(revision uint64, cfg *fleet.Config, nodes int) bool {
	for {
		old := n.config.Load()
		if old != nil && old.revision >= revision {
			return false
		}
		if n.config.CompareAndSwap(old, &inForce{revision, cfg}) {
			break
		}
	}
	n.runner.SetConfig(cfg)
	n.gate.step(admit.SetPolicy{Policy: admit.PolicyFromConfig(cfg, nodes, n.o.Seed)})
	return true
}

// share is what the policy of admission takes from the fleet.
type share struct {
	revision uint64
	nodes    int // entry nodes that the limits are divided by
	slots    int // this node's part of the slots of the scarcest pool
}

// adaptShare follows the number of entry nodes and the slots of the upstreams. A node always runs its part of the slots:
// without this lower bound the limit, which follows recent use, queued bursts after an idle time although the upstreams
// were free.
func (n *Node) adaptShare(now time.Time) {
	c := n.config.Load()
	if c == nil {
		return
	}
	s := share{revision: c.revision, nodes: 1}
	if n.o.Members != nil {
		s.nodes = max(len(n.o.Members()), 1)
	}
	s.slots = scarcest(c.cfg, n.ups.View(), now) / s.nodes
	if s == n.share {
		return
	}
	n.share = s
	p := admit.PolicyFromConfig(c.cfg, s.nodes, n.o.Seed)
	p.MinLimit = s.slots
	n.gate.step(admit.SetPolicy{Policy: p})
}

// scarcest returns the slots of the pool that has the fewest, among those that the pipelines use.
func scarcest(cfg *fleet.Config, v *upview.View, now time.Time) int {
	fewest := 0
	for i := range cfg.Pipelines {
		for j := range cfg.Pipelines[i].Stages {
			slots := 0
			for _, u := range v.Pool(cfg.Pipelines[i].Stages[j].Pool()) {
				if u.Live(now) {
					slots += u.Slots
				}
			}
			if fewest == 0 || slots > 0 && slots < fewest {
				fewest = slots
			}
		}
	}
	return fewest
}

// Revision returns the revision in force, 0 before the first.
func (n *Node) Revision() uint64 {
	if c := n.config.Load(); c != nil {
		return c.revision
	}
	return 0
}

// Ready reports whether the node takes work: it knows a configuration and has been told of the upstreams.
func (n *Node) Ready() bool {
	return n.config.Load() != nil && (n.o.Ready == nil || n.o.Ready())
}

// Draining reports whether a planned stop has begun.
func (n *Node) Draining() bool { return n.draining.Load() }

// Drain stops the node as planned. It returns the number of requests that were cut off: 0 unless DrainLimit passed.
//
// The order matters. Other nodes stop giving out this one when they learn that it drains, so the last answer that names
// it expires EntryValid + SpreadDelay from now; until then it takes requests as before. Then it refuses new requests,
// waits for those in flight and for finished answers that their callers have not read, and closes the listener.
func (n *Node) Drain(ctx context.Context) int {
	if !n.draining.CompareAndSwap(false, true) {
		return 0
	}
	n.o.Events.Emit(event.DrainStarted, event.F("in_flight", n.inFlight()), event.F("wait_ms", (n.o.EntryValid+n.o.SpreadDelay).Milliseconds()))
	_ = clock.Sleep(ctx, n.o.Clock, n.o.EntryValid+n.o.SpreadDelay)
	n.closing.Store(true)
	limit := n.o.Clock.AfterFunc(n.o.DrainLimit, n.cutRequests)
	defer limit.Stop()
	n.mu.Lock()
	for n.running > 0 || n.unread() {
		n.idle.Wait()
	}
	cut := n.cutOff
	n.mu.Unlock()
	shut, cancel := context.WithTimeout(ctx, n.o.DrainLimit)
	defer cancel()
	n.runner.WaitBackground(shut)
	_ = n.server.Shutdown(shut)
	n.o.Events.Emit(event.DrainFinished, event.F("cut_off", cut))
	return cut
}

// Load returns the present load of the admission control.
func (n *Node) Load() admit.Stats { return n.gate.stats() }

func (n *Node) inFlight() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.running
}

// unread reports whether a finished answer waits for its caller. Answers are forgotten after the resume window, so this
// ends.
func (n *Node) unread() bool {
	for _, r := range n.done {
		if r.waiting() {
			return true
		}
	}
	return false
}

func (n *Node) cutRequests() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, r := range n.requests {
		if !r.finished() {
			n.cutOff++
			r.cancel()
		}
	}
	for _, r := range n.done {
		n.move(r, eventLastSent)
	}
	n.idle.Broadcast()
}

// Close ends the node at once; requests in flight are cut off.
func (n *Node) Close() {
	n.cutRequests()
	_ = n.server.Close()
	n.stop()
	n.mu.Lock()
	for n.running > 0 {
		n.idle.Wait()
	}
	n.mu.Unlock()
	n.wg.Wait()
	n.gate.wg.Wait()
	n.runner.Close()
	n.trans.CloseIdleConnections()
}

// sweepEvery is how often finished answers and expired leases are looked at.
const sweepEvery = 200 * time.Millisecond

func (n *Node) sweep(ctx context.Context) {
	last := n.o.Clock.Now()
	for clock.Sleep(ctx, n.o.Clock, sweepEvery) == nil {
		now := n.o.Clock.Now()
		for _, u := range n.ups.Expired(last, now) {
			if !u.Leaving {
				n.diedUpstream(u)
				n.o.Events.Emit(event.UpstreamExpired, event.F("upstream", u.ID))
			}
		}
		last = now
		n.forget(now)
		n.adaptShare(now)
	}
}
