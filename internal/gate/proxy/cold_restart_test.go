package proxy

import (
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/berylledge/berylledge/internal/gate/engine"
	"github.com/berylledge/berylledge/internal/gate/roster"
	"github.com/berylledge/berylledge/internal/test/rawup"
)

// The list of regions changes while a stage runs, and the engine stays allowed. Guards against a request that keeps the ticket of a cold
// engine when its stages begin again: the placer counts a ticket as sent when its stages are done, which may be more than a second
// before the send.
func TestColdPlacementIsRenewedWhenStagesBeginAgain(t *testing.T) {
	var p *regionProxy
	var change sync.Once
	p = newRegionProxyBeside(t, true, func(id string, _ *rawup.Conn, _ *rawup.Request) bool {
		if id == "prepare-b" {
			change.Do(func() { p.allow([]string{"n", "w"}, nil) })
		}
		return false
	})
	var mu sync.Mutex
	var asked []engine.Request
	results := map[uint64]engine.Result{} // the first of each ticket, which counts
	done := map[uint64]int{}              // last stage that was reported as done
	p.place = func(q placeRequest) placeReply {
		mu.Lock()
		defer mu.Unlock()
		if q.Request != nil {
			asked = append(asked, *q.Request)
			return placeReply{Ticket: uint64(len(asked)), ID: "models-a", Cold: true}
		}
		if _, ended := results[q.Ticket]; q.Result != 0 && !ended {
			results[q.Ticket] = q.Result
		}
		done[q.Ticket] = max(done[q.Ticket], q.StageDone)
		return placeReply{}
	}
	p.allow([]string{"n", "s"}, nil)
	p.setUpstreams("models", func(u *roster.Upstream) {
		if u.DataCentre != "a" {
			u.State = roster.Draining
		}
	})
	p.setUpstreams("prepare", func(u *roster.Upstream) { u.Silent = u.DataCentre == "a" })
	p.setUpstreams("join", func(u *roster.Upstream) { u.Silent = u.DataCentre == "b" })
	got := p.ask("stages", "id1")
	assert.Equal(t, got.status, 200, got.body)
	assert.Assert(t, len(p.ups["prepare-c"].Requests()) > 0, "the stages did not begin again")
	waitUntil(t, func() bool {
		mu.Lock()
		defer mu.Unlock()
		return len(results) == len(asked)
	})
	mu.Lock()
	defer mu.Unlock()
	assert.Equal(t, len(asked), 2)
	assert.Equal(t, len(asked[1].PendingStages), 2, "the placer must count the stages again")
	assert.DeepEqual(t, results, map[uint64]engine.Result{1: engine.Cancelled, 2: engine.Served})
	assert.DeepEqual(t, done, map[uint64]int{1: 1, 2: 2})
}
