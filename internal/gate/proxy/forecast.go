package proxy

import (
	"net/http"
	"time"

	"github.com/berylledge/berylledge/internal/gate/conf"
	"github.com/berylledge/berylledge/internal/gate/engine"
	"github.com/berylledge/berylledge/internal/gate/roster"
	"github.com/berylledge/berylledge/internal/gate/stage"
)

// Parameters of the look ahead.
const (
	// farRatio is how much sooner the stages must end in another region.
	farRatio = 2
)

// foresee moves a request that the queues of its stages will make late to a region whose queues are empty, or refuses it: it
// would keep their places from others that can still be on time, and its caller can return when they are shorter.
func (x *exchange) foresee() *refusal {
	if x.seat == nil {
		return nil
	}
	slack := x.slack()
	if !x.seat.forecast.Late || x.moveAway(slack) {
		return nil
	}
	ok, after := x.seat.forecast.Admit(x.left())
	if ok {
		return nil
	}
	return &refusal{http.StatusServiceUnavailable, "the queues of the stages are too long", after}
}

// moveAway takes a seat in another region, if one serves the request much sooner.
func (x *exchange) moveAway(slack time.Duration) bool {
	for _, area := range x.f.areas(x.service, x.route.Stages) {
		if area != x.seat.area && x.tryArea(area, slack) {
			return true
		}
	}
	return false
}

// tryArea takes a seat in another region if little waits there and the stages end in good time, much sooner than here.
// Otherwise a request stays: to move it costs bytes between regions and may read its prompt again.
func (x *exchange) tryArea(area string, slack time.Duration) bool {
	there := x.seatIn(area, x.engineRequest())
	if there == nil {
		return false
	}
	sooner := there.forecast.Total < x.seat.forecast.Total/farRatio && there.forecast.Total < slack*2/3 &&
		there.forecast.Wait < there.forecast.Full
	if sooner {
		x.seat, there = there, x.seat
	}
	x.f.noteEnd(there, engine.Cancelled)
	return sooner
}

// refusedHere handles a request whose first stage has no place in this region's queues, although the forecast was good: the
// rate of a service is lower than that of full calls while its memory for results is full. It returns true if another region
// takes the request; no piece of it has been made.
func (x *exchange) refusedHere(s *staging) bool {
	if x.seat == nil || x.movedAway || s.reason != stage.ReasonRefused || !s.plan.HasNoResults() {
		return false
	}
	x.movedAway = true
	slack := x.slack()
	x.seat.forecast.Total = max(x.seat.forecast.Total, x.left())
	return x.moveAway(slack)
}

// needs lists the stages of the request for a placer.
func (x *exchange) needs() []engine.PendingStage {
	counts, err := x.pieceCounts()
	if err != nil || len(counts) != len(x.route.Stages) {
		return nil // newStaging refuses the request
	}
	var out []engine.PendingStage
	for i, s := range x.route.Stages {
		out = append(out, engine.PendingStage{Service: s.Service, After: s.After, Pieces: max(counts[i], 0)})
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

// engineAreas returns the regions that a request can use with the number of their engines that take work. Without one that has
// upstreams for all stages, it returns those that have an engine.
func (f *Front) engineAreas(service string, stages []conf.Stage) []engine.Region {
	names := f.areas(service, stages)
	if len(names) == 0 {
		names = f.areas(service, nil)
	}
	out := make([]engine.Region, len(names))
	for i, name := range names {
		out[i].Name = name
	}
	for _, u := range f.o.View().Services[service] {
		for i := range out {
			if f.serves(u, out[i].Name) {
				out[i].Engines++
			}
		}
	}
	return out
}

// areas returns the regions that have an engine and an upstream of each stage that take work.
func (f *Front) areas(service string, stages []conf.Stage) []string {
	view := f.o.View()
	has := func(name, area string) bool {
		for _, u := range view.Services[name] {
			if f.serves(u, area) {
				return true
			}
		}
		return false
	}
	var out []string
	for _, area := range f.regions {
		ok := has(service, area)
		for _, s := range stages {
			ok = ok && has(s.Service, area)
		}
		if ok {
			out = append(out, area)
		}
	}
	return out
}
