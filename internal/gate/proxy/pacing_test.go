package proxy

import (
	"net/http"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/berylledge/berylledge/internal/gate/conf"
	"github.com/berylledge/berylledge/internal/gate/engine"
	"github.com/berylledge/berylledge/internal/gate/poller"
	"github.com/berylledge/berylledge/internal/gate/roster"
)

// setCold makes all upstreams cold, in a fleet of which this node is the only entry node.
func setCold(s *testProxy, perSecond float64, left time.Duration) {
	old := s.view.Load()
	cfg := *old.Table.Config
	cfg.Services = []conf.Service{{Name: "desk", ColdPerSecond: perSecond}}
	view := &poller.View{Table: conf.NewTable(&cfg), Services: map[string][]roster.Upstream{}}
	view.Entries = []roster.Entry{{Node: "e1", Peer: "self", Region: "n", Ready: true}}
	for _, u := range old.Services["desk"] {
		u.ColdUntil = time.Now().Add(left)
		view.Services["desk"] = append(view.Services["desk"], u)
	}
	s.view.Store(view)
}

// Guards against callers that wait for, or flood, upstreams that are all cold: a node that does not know yet what the others send
// must refuse at once, and say when to return.
func TestRequestForColdUpstreamsIsRefusedAtOnce(t *testing.T) {
	up := newGoodUpstream(t)
	s := newTestProxy(t, nil, up)
	setCold(s, 10, time.Minute)
	start := time.Now()
	got := s.do(s.request("/x/1", "id1"))
	assert.Equal(t, got.status, http.StatusServiceUnavailable)
	after, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
	assert.NilError(t, err)
	assert.Assert(t, after > 0 && after < 4, "%v", after)
	assert.Assert(t, time.Since(start) < time.Second)
}

// Guards against placements that no placer counts: of one that has restarted or lost its service, of a time when the engine was
// not cold, and of an earlier send of the same request.
func TestPlacementOfAnotherPlacerDoesNotCoverAColdEngine(t *testing.T) {
	p := newFakePlacers(t, map[string]string{"a": "n", "b": "s"})
	u := roster.Upstream{ID: "engine", Service: "models", State: roster.Ready, ColdUntil: time.Now().Add(time.Hour)}
	p.mu.Lock() // against the periodic update
	p.view.Table = conf.NewTable(&conf.Config{Services: []conf.Service{{Name: "models", Engine: &conf.Engine{Slots: 1}, ColdPerSecond: 3}}})
	p.view.Services = map[string][]roster.Upstream{"models": {u}}
	p.mu.Unlock()
	good := placement{service: "models", region: "n", owner: p.o.Batcher.OwnerInView("models", "n").Peer, upstream: u, cold: true, asked: time.Now()}
	assert.Assert(t, p.coversSend(&good))
	for name, change := range map[string]func(*placement){
		"another owner":       func(q *placement) { q.owner = "gone" },
		"an earlier start":    func(q *placement) { q.ownerStarted = 1 },
		"not known as cold":   func(q *placement) { q.cold = false },
		"used by a send":      func(q *placement) { q.used = true },
		"expired":             func(q *placement) { q.asked = time.Now().Add(-engine.TicketTTL) },
		"owner of the region": func(q *placement) { q.region = "s" },
	} {
		bad := good
		change(&bad)
		assert.Assert(t, !p.coversSend(&bad), name)
	}
	p.mu.Lock()
	p.view.Services["models"][0].ColdUntil = time.Time{}
	p.mu.Unlock()
	warm := placement{service: "models", region: "n", upstream: u}
	assert.Assert(t, p.coversSend(&warm), "a warm engine needs no count")
	// An engine that this node's control node does not hear counts as cold, but its placer may hear it.
	p.mu.Lock()
	p.view.Services["models"][0].Silent = true
	silent := p.view.Services["models"][0]
	p.mu.Unlock()
	assert.Assert(t, p.isCold(silent))
	assert.Assert(t, p.coversSend(&warm), "the placer decides whether an engine that is not heard may be cold")
}
