package proxy

import (
	"time"

	"github.com/berylledge/berylledge/internal/gate/conf"
	"github.com/berylledge/berylledge/internal/gate/engine"
	"github.com/berylledge/berylledge/internal/gate/region"
	"github.com/berylledge/berylledge/internal/gate/roster"
	"github.com/berylledge/berylledge/internal/gate/stage"
)

// Parameters of moves between regions.
const (
	// minSpeedup is how many times sooner the stages must finish in another region.
	minSpeedup = 2
)

// admitOrMove handles a request that the stage queues would make late. It moves the request to a region with
// empty queues or else refuses it: the request would take queue slots from requests that can still be on time,
// and its caller can retry when the queues are shorter.
func (x *exchange) admitOrMove() *refusal {
	if x.placement == nil {
		return nil
	}
	slack := x.slack()
	if f := x.placement.forecast; !f.Late && !f.OverShare || x.moveToOtherRegion(slack) {
		return nil
	}
	ok, after := x.placement.forecast.Admit(x.remaining())
	if ok {
		return nil
	}
	return x.refuseForRoom(after)
}

// moveToOtherRegion replaces the placement by one in another region, if one can serve the request much sooner.
func (x *exchange) moveToOtherRegion(slack time.Duration) bool {
	for _, region := range x.f.servingRegions(x.allowedRegions(), x.service, x.route.Stages) {
		if region != x.placement.region && x.tryRegion(region, slack) {
			return true
		}
	}
	return false
}

// tryRegion moves the placement to another region if the queues there are short, the stages finish with time to
// spare, and they finish much sooner than here. Otherwise the request stays: a move costs cross-region traffic
// and may repeat the prefill of its prompt.
func (x *exchange) tryRegion(region string, slack time.Duration) bool {
	remote := x.placeInRegion(region, x.engineRequest())
	if remote == nil {
		return false
	}
	sooner := remote.forecast.Total < x.placement.forecast.Total/minSpeedup && remote.forecast.Total < slack*2/3 &&
		remote.forecast.Wait < remote.forecast.Full
	if sooner {
		x.placement, remote = remote, x.placement
	}
	x.f.notifyEnd(remote, engine.Cancelled)
	return sooner
}

// moveAfterRefusal handles a request whose first stage was refused by this region's queues although the forecast
// admitted it: while the result memory of a service is full, the service is slower than the forecast, which
// assumes full batches. It returns true if another region accepts the request. None of its pieces have run.
func (x *exchange) moveAfterRefusal(s *stageRun) bool {
	if x.placement == nil || x.moved || s.reason != stage.ReasonRefused || !s.plan.HasNoResults() {
		return false
	}
	x.moved = true
	slack := x.slack()
	x.placement.forecast.Total = max(x.placement.forecast.Total, x.remaining())
	return x.moveToOtherRegion(slack)
}

// stageNeeds lists the stages of the request for the placer.
func (x *exchange) stageNeeds() []engine.PendingStage {
	counts, err := x.pieceCounts()
	if err != nil || len(counts) != len(x.route.Stages) {
		return nil // newStageRun refuses the request
	}
	var out []engine.PendingStage
	for i, s := range x.route.Stages {
		out = append(out, engine.PendingStage{Service: s.Service, After: s.After, Pieces: max(counts[i], 0)})
	}
	return out
}

// stagePools describes the stage services of a region for the placer.
func (f *Forwarder) stagePools(region string) map[string]engine.Pool {
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
			if f.isServing(u, region) {
				p.Upstreams += s.Pool.Slots
			}
		}
		out[s.Name] = p
	}
	return out
}

// isServing reports whether an upstream is in a region and accepts requests.
func (f *Forwarder) isServing(u roster.Upstream, region string) bool {
	return u.State == roster.Ready && !u.Silent && f.o.RegionOf[u.DataCentre] == region && !f.isSuspended(u)
}

// engineRegions returns the allowed regions that can serve a request, with the number of engines in each that accept
// requests. If no region has upstreams for all stages, it returns those that have an engine.
func (f *Forwarder) engineRegions(allowed region.Set, service string, stages []conf.Stage) []engine.Region {
	names := f.servingRegions(allowed, service, stages)
	if len(names) == 0 {
		names = f.servingRegions(allowed, service, nil)
	}
	out := make([]engine.Region, len(names))
	for i, name := range names {
		out[i].Name = name
	}
	for _, u := range f.o.View().Services[service] {
		for i := range out {
			if f.isServing(u, out[i].Name) {
				out[i].Engines++
			}
		}
	}
	return out
}

// servingRegions returns the allowed regions in which the service and the service of each stage have an upstream that
// accepts requests.
func (f *Forwarder) servingRegions(allowed region.Set, service string, stages []conf.Stage) []string {
	view := f.o.View()
	has := func(name, region string) bool {
		for _, u := range view.Services[name] {
			if f.isServing(u, region) {
				return true
			}
		}
		return false
	}
	var out []string
	for _, name := range f.regions {
		ok := allowed.Allows(name) && has(service, name)
		for _, s := range stages {
			ok = ok && has(s.Service, name)
		}
		if ok {
			out = append(out, name)
		}
	}
	return out
}
