package proxy

import (
	"github.com/berylledge/berylledge/internal/gate/conf"
	"github.com/berylledge/berylledge/internal/gate/region"
	"github.com/berylledge/berylledge/internal/gate/roster"
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
