package proxy

import (
	"context"
	"sync/atomic"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/berylledge/berylledge/internal/base/clock"
	"github.com/berylledge/berylledge/internal/base/event"
	"github.com/berylledge/berylledge/internal/gate/engine"
	"github.com/berylledge/berylledge/internal/wire/peer"
)

// Guards against tickets of a slow placer that nobody ends: each holds a slot and the room of a cold engine until it expires. The
// placer answers after the question was given up.
func TestTicketOfALatePlacerIsCancelled(t *testing.T) {
	p := newFakePlacers(t, map[string]string{"a": "n", "b": "s"})
	var placed, ended atomic.Int32
	givenUp := make(chan struct{})
	c := clock.Real()
	h, err := peer.New(peer.Options{
		ID: "late", Address: "127.0.0.1:0", Clock: c, Events: event.New(event.Options{Node: "late", Clock: c}),
		Handle: func(_ context.Context, _ string, _ peer.Kind, body []byte) ([]byte, error) {
			var q placeRequest
			_ = cbor.Unmarshal(body, &q)
			if q.Request == nil {
				ended.Add(1)
				return nil, nil
			}
			<-givenUp
			placed.Add(1)
			return cbor.Marshal(placeReply{Ticket: 9, ID: "engine"})
		},
	})
	assert.NilError(t, err)
	t.Cleanup(h.Close)
	p.mu.Lock()
	for i := 1; i <= 2; i++ {
		p.view.Entries[i].Ready = false
	}
	e := p.view.Entries[1]
	e.Node, e.Peer, e.Ready = "late", h.Address(), true
	p.view.Entries = append(p.view.Entries, e)
	p.mu.Unlock()
	_, _, _ = p.askPlacer(t.Context(), placeRequest{Service: "models", Region: "n", Request: &engine.Request{}})
	close(givenUp)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if placed.Load() == 0 || ended.Load() != placed.Load() {
			return poll.Continue("%d tickets were given and %d ended", placed.Load(), ended.Load())
		}
		return poll.Success()
	})
}
