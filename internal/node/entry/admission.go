package entry

import (
	"context"
	"sync"
	"time"

	"github.com/berylledge/berylledge/internal/base/clock"
	"github.com/berylledge/berylledge/internal/flow/admit"
)

// gate runs the admission machine: it delivers arrivals and ends, and tells each waiting request its verdict.
type gate struct {
	clock   clock.Clock
	wg      sync.WaitGroup
	mu      sync.Mutex
	machine *admit.Machine
	waiting map[string]chan admit.Action
}

// tickEvery is how often queued requests are looked at again without any other event.
const tickEvery = 10 * time.Millisecond

func newGate(ctx context.Context, c clock.Clock, p admit.Policy) *gate {
	g := &gate{clock: c, machine: admit.New(p), waiting: map[string]chan admit.Action{}}
	g.wg.Go(func() {
		for clock.Sleep(ctx, c, tickEvery) == nil {
			g.step(admit.Tick{})
		}
	})
	return g
}

func (g *gate) step(e admit.Event) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.deliver(g.machine.Step(g.clock.Now(), e))
}

func (g *gate) deliver(actions []admit.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case admit.Admit:
			g.verdict(a.ID, a)
		case admit.Refuse:
			g.verdict(a.ID, a)
		case admit.Queue:
		}
	}
}

func (g *gate) verdict(id string, a admit.Action) {
	if c := g.waiting[id]; c != nil {
		delete(g.waiting, id)
		c <- a // has room for the one verdict
	}
}

// arrive waits for the verdict on a request. If ctx ends first, the request is withdrawn and ok is false.
func (g *gate) arrive(ctx context.Context, r admit.Request) (verdict admit.Action, ok bool) {
	c := make(chan admit.Action, 1)
	g.mu.Lock()
	g.waiting[r.ID] = c
	g.deliver(g.machine.Step(g.clock.Now(), admit.Arrive{Request: r}))
	g.mu.Unlock()
	select {
	case verdict = <-c:
		return verdict, true
	case <-ctx.Done():
		g.mu.Lock()
		delete(g.waiting, r.ID)
		g.deliver(g.machine.Step(g.clock.Now(), admit.Cancel{ID: r.ID}))
		g.mu.Unlock()
		return nil, false
	}
}

func (g *gate) stats() admit.Stats {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.machine.Stats()
}
