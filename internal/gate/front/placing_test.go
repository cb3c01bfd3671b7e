package front

import (
	"context"
	"sync/atomic"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"

	"github.com/berylledge/berylledge/internal/base/clock"
	"github.com/berylledge/berylledge/internal/base/event"
	"github.com/berylledge/berylledge/internal/gate/engine"
	"github.com/berylledge/berylledge/internal/gate/feed"
	"github.com/berylledge/berylledge/internal/gate/lingo"
	"github.com/berylledge/berylledge/internal/gate/maker"
	"github.com/berylledge/berylledge/internal/gate/roster"
	"github.com/berylledge/berylledge/internal/wire/peer"
	"github.com/berylledge/berylledge/internal/wire/upcon"
)

// Load pattern: the node that places requests is overloaded and answers late. Guards against nodes that each place requests by
// themselves: their forecasts know nothing of the others' requests and let in all of them (incident SHORT).
func TestASilentPlacerIsReplacedByOneNodeForAll(t *testing.T) {
	c := clock.Real()
	events := event.New(event.Options{Node: "e1", Clock: c})
	view := &feed.View{}
	var asked atomic.Int32
	var silent atomic.Value
	hub := func(name string) *peer.Hub {
		h, err := peer.New(peer.Options{
			ID: name, Address: "127.0.0.1:0", Clock: c, Events: events,
			Handle: func(ctx context.Context, _ string, _ peer.Kind, _ []byte) ([]byte, error) {
				if name == silent.Load() {
					<-ctx.Done()
					return nil, ctx.Err()
				}
				asked.Add(1)
				return cbor.Marshal(placeTell{Ticket: 7, ID: "engine"})
			},
		})
		assert.NilError(t, err)
		t.Cleanup(h.Close)
		view.Entries = append(view.Entries, roster.Entry{Node: name, Peer: h.Address(), DataCentre: "a", Region: "n", Ready: true})
		return h
	}
	self := hub("self")
	hub("e2")
	hub("e3")
	d := lingo.Own()
	load := func() *feed.View { return view }
	pool := upcon.New(upcon.Options{Clock: c})
	mk := maker.New(maker.Options{Node: "self", Peer: self.Address(), Dialect: d, Clock: c, Events: events, View: load, Hub: self, Pool: pool})
	f := New(Options{
		Node: "self", DataCentre: "a", Region: "n", RegionOf: map[string]string{"a": "n"}, Dialect: d, Clock: c, Events: events,
		View: load, Maker: mk, Hub: self, Pool: pool,
	})
	t.Cleanup(func() {
		f.Close()
		mk.Close()
		pool.Close()
	})
	view.Entries[0].Ready = false // this node serves callers but keeps nothing
	first, second := view.Entries[1], view.Entries[2]
	if mk.Owner("models", "n") == second.Peer {
		first, second = second, first
	}
	silent.Store(first.Node)
	owner, tell := f.askPlace(t.Context(), placeAsk{Service: "models", Area: "n", Request: &engine.Request{}})
	assert.Equal(t, owner, second.Peer)
	assert.Equal(t, tell.ID, "engine")
	assert.Equal(t, asked.Load(), int32(1))
	f.mu.Lock()
	defer f.mu.Unlock()
	assert.Equal(t, len(f.placers), 0)
}
