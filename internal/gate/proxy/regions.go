package proxy

import (
	"context"
	"slices"
	"time"

	"github.com/berylledge/berylledge/internal/base/rendez"
	"github.com/berylledge/berylledge/internal/gate/conf"
	"github.com/berylledge/berylledge/internal/gate/engine"
	"github.com/berylledge/berylledge/internal/gate/region"
	"github.com/berylledge/berylledge/internal/gate/roster"
	"github.com/berylledge/berylledge/internal/gate/stage"
)

// regionCheck caches the regions that a request may use, by the table that they were read from.
type regionCheck struct {
	table   *conf.Table
	allowed region.Set
}

// allowedRegions returns the regions that the request may use by the configuration that is in force now. A changed list thus
// also applies to requests that wait.
func (x *exchange) allowedRegions() region.Set {
	now := x.f.o.View().Table
	if now == nil {
		now = x.table
	}
	if x.regions.table != now {
		x.regions = regionCheck{now, now.RegionsNow(x.table, x.route, x.team)}
	}
	return x.regions.allowed
}

// mayUse reports whether the request may be sent to an upstream.
func (x *exchange) mayUse(u roster.Upstream) bool {
	return x.allowedRegions().Allows(x.f.o.RegionOf[u.DataCentre])
}

// allowedDataCentres returns a function that reports whether the request may use a data centre, or nil if it may use all.
func (x *exchange) allowedDataCentres() func(string) bool {
	allowed := x.allowedRegions()
	if !allowed.Limited() {
		return nil
	}
	return func(dataCentre string) bool { return allowed.Allows(x.f.o.RegionOf[dataCentre]) }
}

// checkRegions returns a refusal if the request has no allowed upstream for itself or for one of its stages. Without this check
// it would be refused only after the stages before.
func (x *exchange) checkRegions() *refusal {
	allowed := x.allowedRegions()
	if !allowed.Limited() {
		return nil
	}
	view := x.f.o.View()
	has := func(service string, isStage bool) bool {
		for _, u := range view.Services[service] {
			// Stages do not run at silent upstreams; the request itself does if there is no other.
			if u.State == roster.Ready && (!isStage || !u.Silent) && allowed.Allows(x.f.o.RegionOf[u.DataCentre]) {
				return true
			}
		}
		return false
	}
	if !has(x.service, false) {
		r := x.noUpstream(x.service)
		return &r
	}
	if len(x.route.Stages) == 0 {
		return nil
	}
	counts, err := x.pieceCounts()
	if err != nil || len(counts) != len(x.route.Stages) {
		return nil // newStageRun refuses the request
	}
	for i, s := range x.route.Stages {
		if counts[i] > 0 && !has(s.Service, true) {
			r := x.noUpstream(s.Service)
			return &r
		}
	}
	return nil
}

// homeRegion returns the region to place the request in. HomeRegion sends all requests without shared parts that cannot run in the
// node's own region to one other region; those that may not run there are distributed over the allowed regions.
func (x *exchange) homeRegion(r engine.Request, regions []engine.Region) string {
	if len(r.Parts) > 1 || x.allowedRegions().Allows(x.f.o.Region) {
		return r.HomeRegion(x.f.o.Region, regions)
	}
	sizes := make([]rendez.WeightedNode, len(regions))
	for i, a := range regions {
		sizes[i] = rendez.WeightedNode{Name: a.Name, Weight: float64(a.Engines)}
	}
	return rendez.Pick(x.id, sizes)
}

// regionCheckInterval is how often a request that waits for its stages compares their regions with the lists in force. It is short
// compared with the 3 s within which a changed list takes effect.
const regionCheckInterval = 250 * time.Millisecond

// stageGroup is a group of pieces that was requested from a queue.
type stageGroup struct {
	service, region, owner string
	cancel                 context.CancelFunc
}

// followRegions applies a changed list of regions to a request with stages. If a piece was requested from a region that is no longer
// allowed, all stages begin again, because the later ones read results of the earlier ones; the result is then true, and the pieces
// of the new plan have not been requested. A placement in such a region is replaced.
func (s *stageRun) followRegions() bool {
	x := s.x
	allowed := x.allowedRegions()
	forbidden := func(g stageGroup) bool { return !allowed.Allows(g.region) }
	s.repeatCancels()
	restart := slices.ContainsFunc(s.groups, forbidden)
	if restart {
		s.restart(forbidden)
	}
	// The placer of a cold engine counts a request as sent once its stages are done, so that one whose stages begin again needs
	// another ticket.
	if x.placement != nil && (!x.mayUse(x.placement.upstream) || restart && x.placement.cold) {
		x.f.notifyEnd(x.placement, engine.Cancelled)
		if restart {
			x.stages = nil // makes the placer count the stages again
		}
		x.placement = x.requestPlacement()
		x.stages = s
		s.homeDataCentre = x.homeDataCentre()
	}
	return restart
}

// restart cancels the groups that are no longer allowed, frees all results and begins a new plan. Pieces in other regions are
// not cancelled, because their queues get pieces of the same names again; their results are freed when they arrive.
func (s *stageRun) restart(forbidden func(stageGroup) bool) {
	x := s.x
	for _, g := range s.groups {
		if forbidden(g) {
			g.cancel()
			x.f.o.Batcher.CancelQueue(x.id, g.service, g.region, g.owner)
			s.cancelled = append(s.cancelled, g)
		}
	}
	s.releaseResults()
	s.freePending()
	plan, err := stage.NewPlan(x.id, x.r.Header.Get(x.f.o.Dialect.Headers.PieceKey), x.route.Stages, s.counts)
	if err != nil { // cannot happen: the same counts were accepted before
		panic(err)
	}
	s.plan, s.results, s.pending, s.groups, s.reason = plan, make(chan stageResult, cap(s.results)), 0, nil, stage.ReasonNone
}

// leftRegion is a region whose queue of a service said that no upstream there accepts work.
type leftRegion struct{ service, region string }

// leaveRegion makes the pieces of a service run in another region, and reports whether there is one. The region is remembered, because
// the view of this node may be older than that of the queue's owner and still have upstreams there.
func (s *stageRun) leaveRegion(service, region string) bool {
	if l := (leftRegion{service, region}); !slices.Contains(s.left, l) {
		s.left = append(s.left, l)
	}
	_, found := s.nearestUpstream(service, s.left)
	return found
}

// repeatCancels cancels the groups of the last restart once more: the owner of a queue may handle the first message before it has
// added the pieces.
func (s *stageRun) repeatCancels() {
	x := s.x
	for _, g := range s.cancelled {
		if !x.allowedRegions().Allows(g.region) {
			x.f.o.Batcher.CancelQueue(x.id, g.service, g.region, g.owner)
		}
	}
	s.cancelled = nil
}

// renewStages runs the stages again if their results are in a region that is no longer allowed. It is called before the results are
// named to an upstream.
func (x *exchange) renewStages() *refusal {
	if x.stages == nil || !x.stages.followRegions() {
		return nil
	}
	return x.stages.run()
}
