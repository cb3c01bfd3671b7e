package proxy

import (
	"context"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"

	"github.com/berylledge/berylledge/internal/base/clock"
	"github.com/berylledge/berylledge/internal/base/event"
	"github.com/berylledge/berylledge/internal/gate/batch"
	"github.com/berylledge/berylledge/internal/gate/conf"
	"github.com/berylledge/berylledge/internal/gate/engine"
	"github.com/berylledge/berylledge/internal/gate/poller"
	"github.com/berylledge/berylledge/internal/gate/proto"
	"github.com/berylledge/berylledge/internal/gate/roster"
	"github.com/berylledge/berylledge/internal/wire/peer"
	"github.com/berylledge/berylledge/internal/wire/upcon"
)

// fakePlacers is a Forwarder with other entry nodes that reply to every placement request unless they are
// silent.
type fakePlacers struct {
	*Forwarder
	view   *poller.View
	asked  atomic.Int32
	silent sync.Map // keyed by node name
}

func newFakePlacers(t *testing.T, regionOf map[string]string) *fakePlacers {
	c := clock.Real()
	events := event.New(event.Options{Node: "e1", Clock: c})
	p := &fakePlacers{view: &poller.View{}}
	hub := func(name, dataCentre string) *peer.Hub {
		h, err := peer.New(peer.Options{
			ID: name, Address: "127.0.0.1:0", Clock: c, Events: events,
			Handle: func(ctx context.Context, _ string, _ peer.Kind, _ []byte) ([]byte, error) {
				if _, silent := p.silent.Load(name); silent {
					<-ctx.Done()
					return nil, ctx.Err()
				}
				p.asked.Add(1)
				return cbor.Marshal(placeReply{Ticket: 7, ID: "engine"})
			},
		})
		assert.NilError(t, err)
		t.Cleanup(h.Close)
		p.view.Entries = append(p.view.Entries, roster.Entry{
			Node: name, Peer: h.Address(), DataCentre: dataCentre, Region: regionOf[dataCentre], Ready: true,
		})
		return h
	}
	self := hub("self", "a")
	hub("e2", "a")
	hub("e3", "a")
	hub("e4", "b")
	hub("e5", "b")
	p.view.Entries[0].Ready = false // this node serves callers but runs no placer
	d := proto.Own()
	load := func() *poller.View { return p.view }
	pool := upcon.New(upcon.Options{Clock: c})
	mk := batch.New(batch.Options{
		Node: "self", Peer: self.Address(), RegionOf: regionOf, Dialect: d, Clock: c, Events: events, View: load, Hub: self, Pool: pool,
	})
	p.Forwarder = New(Options{
		Node: "self", DataCentre: "a", Region: regionOf["a"], RegionOf: regionOf, Dialect: d, Clock: c, Events: events,
		View: load, Batcher: mk, Hub: self, Pool: pool,
	})
	t.Cleanup(func() {
		p.Close()
		mk.Close()
		pool.Close()
	})
	return p
}

// Load pattern: the placer is overloaded and replies late. Guards against nodes that each place requests by
// themselves: their forecasts lack the other nodes' requests and admit all of them (incident SHORT).
func TestASilentPlacerIsReplacedByOneNodeForAll(t *testing.T) {
	p := newFakePlacers(t, map[string]string{"a": "n", "b": "s"})
	first, second := p.view.Entries[1], p.view.Entries[2]
	if p.o.Batcher.Owner("models", "n") == second.Peer {
		first, second = second, first
	}
	p.silent.Store(first.Node, true)
	owner, reply, ok := p.askPlacer(t.Context(), placeRequest{Service: "models", Region: "n", Request: &engine.Request{}})
	assert.Assert(t, ok)
	assert.Equal(t, owner, second.Peer)
	assert.Equal(t, reply.ID, "engine")
	assert.Equal(t, p.asked.Load(), int32(1))
	p.mu.Lock()
	defer p.mu.Unlock()
	assert.Equal(t, len(p.placers), 0)
}

// Load pattern: many callers disconnect early. Guards against avoiding nodes and regions because a caller
// disconnected during a placement request.
func TestACallerThatLeavesMakesNoPlacerSilent(t *testing.T) {
	p := newFakePlacers(t, map[string]string{"a": "n", "b": "s"})
	for _, e := range p.view.Entries {
		p.silent.Store(e.Node, true)
	}
	for _, region := range []string{"n", "s"} {
		owner := p.o.Batcher.Owner("models", region)
		ctx, leave := context.WithCancel(t.Context())
		leave()
		_, _, ok := p.askPlacer(ctx, placeRequest{Service: "models", Region: region, Request: &engine.Request{}})
		assert.Assert(t, !ok)
		assert.Equal(t, p.o.Batcher.Owner("models", region), owner)
		assert.Assert(t, p.reachable(region))
	}
}

// Load pattern: the link to another region is down or loses packets, and large shared parts of prompts are
// cached there. Guards against requests that wait for each placer of that region in turn.
func TestARegionWhosePlacersAreSilentIsLeftAlone(t *testing.T) {
	p := newFakePlacers(t, map[string]string{"a": "n", "b": "s"})
	p.silent.Store("e4", true)
	p.silent.Store("e5", true)
	areas := []engine.Region{{Name: "n", Engines: 3}, {Name: "s", Engines: 3}}
	assert.Equal(t, len(p.reachableRegions(areas)), 2)
	began := time.Now()
	_, _, ok := p.askPlacer(t.Context(), placeRequest{Service: "models", Region: "s", Request: &engine.Request{}})
	assert.Assert(t, !ok)
	assert.Assert(t, time.Since(began) < 3*placementTimeout)
	assert.Assert(t, !p.reachable("s"))
	assert.DeepEqual(t, p.reachableRegions(areas), areas[:1])
	assert.DeepEqual(t, p.reachableRegions(areas[1:]), areas[1:]) // there is no other region
	_, _, ok = p.askPlacer(t.Context(), placeRequest{Service: "models", Region: "n", Request: &engine.Request{}})
	assert.Assert(t, ok)
	_, _, ok = p.askPlacer(t.Context(), placeRequest{Service: "models", Region: "s", Request: &engine.Request{}})
	assert.Assert(t, ok, "still asked, because there is no other region: this node places the request itself")
}

// Callers that nobody controls state the sizes of prompts. Guards against negative sizes, by which the cache that the placer assumes grows
// without end, and against sizes that overflow sums or shift its fits.
func TestStatedTokensAreBounded(t *testing.T) {
	p := newFakePlacers(t, map[string]string{"a": "n"})
	for _, c := range []struct {
		tokens, prefix string
		prompt, output int
		parts          []engine.Part
	}{
		{"700, 20", "a:500, b:200", 700, 20, []engine.Part{{ID: "a", Tokens: 500}, {ID: "b", Tokens: 200}}},
		{"-700,-20", "a:-500,b:200", 0, 0, nil},
		{"9223372036854775807,16777217", "a:500,b:9223372036854775807,c:1", 0, 0, []engine.Part{{ID: "a", Tokens: 500}}},
		{"16777216,x", "a", 16777216, 0, nil},
	} {
		x := &exchange{f: p.Forwarder, r: httptest.NewRequest(http.MethodPost, "/", nil), table: &conf.Table{}, route: &conf.Route{}}
		x.r.Header.Set(p.o.Dialect.Headers.Tokens, c.tokens)
		x.r.Header.Set(p.o.Dialect.Headers.Prefix, c.prefix)
		r := x.engineRequest()
		assert.Equal(t, r.Prompt, c.prompt)
		assert.Equal(t, r.Output, c.output)
		assert.DeepEqual(t, r.Parts, c.parts)
	}
}
