// Package poller keeps an entry node up to date: it asks control nodes for the configuration, the upstreams and the other
// entry nodes, and reports the entry node to them with each question.
//
// One control node, the primary, is asked often for all that changed: one of the own data centre, else of the own region, and
// another one for each entry node, so that the load is spread and little crosses regions. The others are only looked in on in
// turn, so that a new primary is known when this one fails. Those that the primary does not hear are asked for what they hear
// themselves: while control nodes are cut off from each other, each upstream reports to one side only.
//
// Records come in pages and configurations in pieces, packed against the version that is in force here, so that a node with a
// slow link never waits for a large message.
//
// Usage:
//
//	f := poller.New(poller.Options{Self: entry, Seeds: seeds, Hub: hub, Dialect: d, ...})
//	view := p.View() // immutable
//	p.SetReady(false)
//	p.Close()
package poller

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/berylledge/berylledge/internal/base/clock"
	"github.com/berylledge/berylledge/internal/base/event"
	"github.com/berylledge/berylledge/internal/gate/conf"
	"github.com/berylledge/berylledge/internal/gate/deny"
	"github.com/berylledge/berylledge/internal/gate/evac"
	"github.com/berylledge/berylledge/internal/gate/proto"
	"github.com/berylledge/berylledge/internal/gate/roster"
	"github.com/berylledge/berylledge/internal/wire/peer"
)

// Caller asks a process at a peer address. A peer.Hub is one.
type Caller interface {
	Call(ctx context.Context, address string, kind peer.Kind, body []byte) ([]byte, error)
}

// Options configure a Poller.
type Options struct {
	Self    roster.Entry // Started and Report are set by the poller
	Seeds   func() []string
	Dialect *proto.Dialect
	Clock   clock.Clock
	Events  *event.Log
	Hub     Caller
	Crashes *deny.Blocklist
	// HoldAfterFreeze shows all upstreams as draining after the process was frozen, until a control node has answered.
	HoldAfterFreeze bool
	// Changed is called after each change of the view. It must not block, and may call View and SetReady only.
	Changed func(*View)
}

// Times of the poller.
const (
	lostAfter = 2 * time.Second
	// isolatedAfter is the time without an answer of a control node that is sure after which a view is isolated. The others take this
	// node for gone 3 s after its last report at the earliest, and use its part of limits 2 s later.
	isolatedAfter = 2500 * time.Millisecond
	// uninformedAfter allows a question that times out and one more.
	uninformedAfter = 1500 * time.Millisecond
	forgetAfter     = 60 * time.Second
	maxControl      = 32
)

// View is what an entry node knows. It does not change.
type View struct {
	Table    *conf.Table // nil before the first configuration
	Services map[string][]roster.Upstream
	Entries  []roster.Entry // that report themselves ready or not, sorted by name
	// Evacuations are the evacuated data centres, whose ready upstreams are shown as draining.
	Evacuations evac.Set
	// Isolated is set if no control node that is sure has answered lately, so that other entry nodes may take this one for gone.
	Isolated bool
	// Uninformed is set if no control node has answered lately. All upstreams are then shown as stale.
	Uninformed bool
}

// IsPaced reports whether the configuration limits the requests to upstreams of a service that are cold.
func (v *View) IsPaced(service string) bool {
	if v.Table == nil {
		return false
	}
	s := v.Table.Service(service)
	return s != nil && s.ColdPerSecond > 0
}

// StaleUpstreams returns the number of upstreams that are shown as stale.
func (v *View) StaleUpstreams() int {
	n := 0
	for _, list := range v.Services {
		for _, u := range list {
			if u.Stale {
				n++
			}
		}
	}
	return n
}

// Poller is a running poller.
type Poller struct {
	o      Options
	view   atomic.Pointer[View]
	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup
	wake   chan struct{}
	ready  atomic.Bool
	freeze freezeGuard
	// lastAnswer tells readers of the view that it is old before the poller's loop has noticed: after a freeze, what waited in the
	// sockets is served first.
	lastAnswer answerAge

	mu          sync.Mutex
	report      int64
	started     time.Time
	table       *conf.Table
	version     uint64
	document    []byte // of version, as the operator sent it
	text        text   // the next one, as far as it has arrived
	newest      newest
	upstreams   map[string]*known
	entries     map[string]*knownEntry
	sources     map[string]*source // by peer address
	evacuations evac.Set
	stale       roster.StaleSet                // as told by the control node that was followed last
	apart       map[string]roster.SyncPosition // control nodes that the primary does not hear, by address
	turned      time.Time                      // when a control node was last looked in on
	answered    time.Time
	sureAt      time.Time     // when the latest question was asked that a control node answered which was sure
	asked       time.Time     // when the latest question that was answered was asked
	news        chan struct{} // closed with each answer of the primary
	lost        bool
	followed    string // the primary that was logged last
}

// known is an upstream as control nodes told of it.
type known struct {
	roster.Upstream
	told   time.Time        // when a control node last told of it
	untold time.Time        // as of a knownEntry
	heard  map[speaker]bool // by which control nodes; false: by their word they do not hear it
	logged standing
}

// speaker is a control node in one of its duties: what it says of all that it knows is another word than what it says of what it
// hears itself.
type speaker struct {
	address string
	held    bool
}

// knownEntry is an entry node as control nodes told of it.
type knownEntry struct {
	roster.Entry
	told   time.Time // when a control node last told of it
	untold time.Time // end of the transfer of all records that did not contain it; zero: it was told since
}

// New starts a poller.
func New(o Options) *Poller {
	p := &Poller{
		o: o, started: o.Clock.Now(), upstreams: map[string]*known{}, entries: map[string]*knownEntry{},
		sources: map[string]*source{}, wake: make(chan struct{}, 1), answered: o.Clock.Now(),
		news: make(chan struct{}),
	}
	p.freeze.enabled = o.HoldAfterFreeze
	p.lastAnswer.note(p.answered)
	p.view.Store(&View{Services: map[string][]roster.Upstream{}})
	p.ctx, p.cancel = context.WithCancel(context.Background())
	p.wg.Go(p.run)
	return p
}

// Close ends the poller.
func (p *Poller) Close() {
	p.cancel()
	p.wg.Wait()
}

// View returns the present knowledge. After a time in which the process was frozen, all upstreams are shown as stale, or as draining if it
// was long, until a control node has answered.
func (p *Poller) View() *View {
	v := p.view.Load()
	now := p.o.Clock.Now()
	switch {
	case p.freeze.check(now):
		return p.freeze.hold(v)
	case !v.Uninformed && p.lastAnswer.isOld(now):
		return p.lastAnswer.outdated(v)
	}
	return v
}

// Version returns the version of the configuration in force here, 0 before the first one.
func (p *Poller) Version() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.version
}

// SetReady says whether this node takes new callers. The control nodes are told at once.
func (p *Poller) SetReady(ready bool) {
	if p.ready.Swap(ready) != ready {
		p.AskNow()
	}
}

// AskNow asks, and so tells, the control nodes that this node follows at once.
func (p *Poller) AskNow() {
	select {
	case p.wake <- struct{}{}:
	default: // a wake is planned already
	}
}

// consultAge is the age up to which an answer counts as news. It bounds the questions ahead of time.
const consultAge = 100 * time.Millisecond

// Consult returns when a control node has answered a question that was asked a moment ago, or after the context's end.
func (p *Poller) Consult(ctx context.Context) {
	since := p.o.Clock.Now().Add(-consultAge)
	asked := false
	for {
		p.mu.Lock()
		fresh, news := p.asked.After(since), p.news
		p.mu.Unlock()
		if fresh {
			return
		}
		if !asked {
			asked = true
			p.AskNow()
		}
		select {
		case <-news:
		case <-ctx.Done():
			return
		}
	}
}

const tickEvery = 50 * time.Millisecond

func (p *Poller) run() {
	tick := p.o.Clock.NewTimer(0)
	defer tick.Stop()
	for {
		select {
		case <-tick.C():
			tick.Reset(tickEvery)
		case <-p.wake:
			p.hurry()
		case <-p.ctx.Done():
			return
		}
		now := p.o.Clock.Now()
		p.freeze.tick(now)
		p.askDue(now)
	}
}
