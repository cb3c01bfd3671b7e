package front

import (
	"net/http"
	"time"

	"github.com/berylledge/berylledge/internal/gate/engine"
	"github.com/berylledge/berylledge/internal/gate/roster"
)

// Parameters of the look ahead.
const (
	// queuedCalls is the number of full calls' time that a request must be expected to wait before it is refused because it
	// will be late. Less may be an error of the forecast.
	queuedCalls = 2
	// leastRetry and mostRetry bound the time after which a refused caller is told to return.
	leastRetry = 300 * time.Millisecond
	mostRetry  = 3 * time.Second
)

// foresee refuses a request that will be late because of the queues of its stages: it would keep their places from others that
// can still be on time, and its caller can return when they are shorter.
func (x *exchange) foresee() *refusal {
	if x.seat == nil {
		return nil
	}
	slack := x.began.Add(x.route.Target.Duration()).Sub(x.f.o.Clock.Now())
	if !x.hopeless(slack) {
		return nil
	}
	here := x.seat.forecast
	after := min(max(here.Wait, leastRetry), mostRetry, x.left()/4)
	return &refusal{http.StatusServiceUnavailable, "the queues of the stages are too long", after}
}

// hopeless reports whether the request will be late because of the queues, by more than the forecast may be wrong.
func (x *exchange) hopeless(slack time.Duration) bool {
	here := x.seat.forecast
	return here.Total > slack && (here.Wait >= queuedCalls*here.Full || here.Total >= x.left())
}

// needs lists the stages of the request for a placer.
func (x *exchange) needs() []engine.Need {
	counts, err := x.pieceCounts()
	if err != nil || len(counts) != len(x.route.Stages) {
		return nil // newStaging refuses the request
	}
	var out []engine.Need
	for i, s := range x.route.Stages {
		out = append(out, engine.Need{Service: s.Service, After: s.After, Pieces: max(counts[i], 0)})
	}
	return out
}

// pools describes the stage services of a region for a placer.
func (f *Front) pools(area string) map[string]engine.Pool {
	view := f.o.View()
	out := map[string]engine.Pool{}
	if view.Table == nil {
		return out
	}
	for _, s := range view.Table.Config.Services {
		if s.Pool == nil {
			continue
		}
		p := engine.Pool{Batch: s.Pool.Batch, Call: s.Pool.CallTime.Duration(), Item: s.Pool.ItemTime.Duration()}
		for _, u := range view.Services[s.Name] {
			if f.serves(u, area) {
				p.Upstreams += s.Pool.Slots
			}
		}
		out[s.Name] = p
	}
	return out
}

// serves reports whether an upstream takes work in a region.
func (f *Front) serves(u roster.Upstream, area string) bool {
	return u.State == roster.Ready && !u.Silent && f.o.RegionOf[u.DataCentre] == area
}
