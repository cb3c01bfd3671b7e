package proxy

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"

	"github.com/berylledge/berylledge/internal/base/clock"
	"github.com/berylledge/berylledge/internal/base/event"
	"github.com/berylledge/berylledge/internal/gate/batch"
	"github.com/berylledge/berylledge/internal/gate/engine"
	"github.com/berylledge/berylledge/internal/gate/poller"
	"github.com/berylledge/berylledge/internal/gate/proto"
	"github.com/berylledge/berylledge/internal/gate/roster"
	"github.com/berylledge/berylledge/internal/wire/peer"
	"github.com/berylledge/berylledge/internal/wire/upcon"
)

// placers is a front with other entry nodes, which answer each question for a place unless they are silent.
type placers struct {
	*Front
	view   *poller.View
	asked  atomic.Int32
	silent sync.Map // by name of the node
}

func newPlacers(t *testing.T, regionOf map[string]string) *placers {
	c := clock.Real()
	events := event.New(event.Options{Node: "e1", Clock: c})
	p := &placers{view: &poller.View{}}
	hub := func(name, dataCentre string) *peer.Hub {
		h, err := peer.New(peer.Options{
			ID: name, Address: "127.0.0.1:0", Clock: c, Events: events,
			Handle: func(ctx context.Context, _ string, _ peer.Kind, _ []byte) ([]byte, error) {
				if _, silent := p.silent.Load(name); silent {
					<-ctx.Done()
					return nil, ctx.Err()
				}
				p.asked.Add(1)
				return cbor.Marshal(placeTell{Ticket: 7, ID: "engine"})
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
	d := proto.Own()
	load := func() *poller.View { return p.view }
	pool := upcon.New(upcon.Options{Clock: c})
	mk := batch.New(batch.Options{
		Node: "self", Peer: self.Address(), RegionOf: regionOf, Dialect: d, Clock: c, Events: events, View: load, Hub: self, Pool: pool,
	})
	p.Front = New(Options{
		Node: "self", DataCentre: "a", Region: regionOf["a"], RegionOf: regionOf, Dialect: d, Clock: c, Events: events,
		View: load, Maker: mk, Hub: self, Pool: pool,
	})
	t.Cleanup(func() {
		p.Close()
		mk.Close()
		pool.Close()
	})
	p.view.Entries[0].Ready = false // this node serves callers but keeps nothing
	return p
}

// Load pattern: the node that places requests is overloaded and answers late. Guards against nodes that each place requests by
// themselves: their forecasts know nothing of the others' requests and let in all of them (incident SHORT).
func TestASilentPlacerIsReplacedByOneNodeForAll(t *testing.T) {
	p := newPlacers(t, map[string]string{"a": "n", "b": "s"})
	first, second := p.view.Entries[1], p.view.Entries[2]
	if p.o.Maker.Owner("models", "n") == second.Peer {
		first, second = second, first
	}
	p.silent.Store(first.Node, true)
	owner, tell, ok := p.askPlace(t.Context(), placeAsk{Service: "models", Area: "n", Request: &engine.Request{}})
	assert.Assert(t, ok)
	assert.Equal(t, owner, second.Peer)
	assert.Equal(t, tell.ID, "engine")
	assert.Equal(t, p.asked.Load(), int32(1))
	p.mu.Lock()
	defer p.mu.Unlock()
	assert.Equal(t, len(p.placers), 0)
}

// Load pattern: many callers leave soon. Guards against nodes and regions that are avoided because a caller left while they were asked
// for a place.
func TestACallerThatLeavesMakesNoPlacerSilent(t *testing.T) {
	p := newPlacers(t, map[string]string{"a": "n", "b": "s"})
	for _, e := range p.view.Entries {
		p.silent.Store(e.Node, true)
	}
	for _, area := range []string{"n", "s"} {
		owner := p.o.Maker.Owner("models", area)
		ctx, leave := context.WithCancel(t.Context())
		leave()
		_, _, ok := p.askPlace(ctx, placeAsk{Service: "models", Area: area, Request: &engine.Request{}})
		assert.Assert(t, !ok)
		assert.Equal(t, p.o.Maker.Owner("models", area), owner)
		assert.Assert(t, p.reaches(area))
	}
}

// Load pattern: the link to another region is cut or loses packets, and large shared parts of prompts lie there. Guards against
// requests that wait for each placer of that region in turn, one after the other.
func TestARegionWhosePlacersAreSilentIsLeftAlone(t *testing.T) {
	p := newPlacers(t, map[string]string{"a": "n", "b": "s"})
	p.silent.Store("e4", true)
	p.silent.Store("e5", true)
	areas := []engine.Region{{Name: "n", Engines: 3}, {Name: "s", Engines: 3}}
	assert.Equal(t, len(p.reached(areas)), 2)
	began := time.Now()
	_, _, ok := p.askPlace(t.Context(), placeAsk{Service: "models", Area: "s", Request: &engine.Request{}})
	assert.Assert(t, !ok)
	assert.Assert(t, time.Since(began) < 3*placeTimeout)
	assert.Assert(t, !p.reaches("s"))
	assert.DeepEqual(t, p.reached(areas), areas[:1])
	assert.DeepEqual(t, p.reached(areas[1:]), areas[1:]) // there is no other one
	_, _, ok = p.askPlace(t.Context(), placeAsk{Service: "models", Area: "n", Request: &engine.Request{}})
	assert.Assert(t, ok)
	_, _, ok = p.askPlace(t.Context(), placeAsk{Service: "models", Area: "s", Request: &engine.Request{}})
	assert.Assert(t, ok, "asked all the same, because there is no other region: this node places by itself")
}
