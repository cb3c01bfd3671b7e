package proxy

import (
	"slices"
	"time"

	"github.com/berylledge/berylledge/internal/base/event"
	"github.com/berylledge/berylledge/internal/gate/conf"
	"github.com/berylledge/berylledge/internal/gate/engine"
	"github.com/berylledge/berylledge/internal/gate/pace"
	"github.com/berylledge/berylledge/internal/gate/pick"
	"github.com/berylledge/berylledge/internal/gate/poller"
	"github.com/berylledge/berylledge/internal/gate/roster"
)

// maxPlacements is how often a request asks for another placement before one send, if its engine has become cold.
const maxPlacements = 3

// paceState is what a Forwarder derives from views to limit the requests to cold upstreams.
type paceState struct {
	nodesView  *poller.View // view by which the chooser knows the nodes
	ownedViews map[placeKey]*poller.View
	cold       map[string]bool // upstreams that were last logged as cold
}

// ColdUpstreams returns how many upstreams are cold and limited.
func (f *Forwarder) ColdUpstreams() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.pace.cold)
}

// updatePace passes a changed view to the placers and the chooser also while no request uses them, and logs which upstreams
// have become cold or warm. f.mu must be held.
func (f *Forwarder) updatePace(now time.Time) {
	view := f.o.View()
	f.setNodes(now, view)
	for k, p := range f.placers {
		f.updateOwned(now, view, k, p)
	}
	if view.Table == nil {
		return
	}
	cold := map[string]bool{}
	for i := range view.Table.Config.Services {
		s := &view.Table.Config.Services[i]
		if s.ColdPerSecond <= 0 {
			continue
		}
		for _, u := range view.Services[s.Name] {
			if !f.chooser.IsCold(now, u, s) {
				continue
			}
			cold[u.ID] = true
			if !f.pace.cold[u.ID] {
				f.o.Events.Emit(event.UpstreamCold, event.F("upstream", u.ID), event.F("per_second", s.ColdPerSecond),
					event.F("left_ms", f.chooser.ColdEnd(now, u, s).Sub(now).Milliseconds()))
			}
		}
	}
	for id := range f.pace.cold {
		if !cold[id] {
			f.o.Events.Emit(event.UpstreamWarm, event.F("upstream", id))
		}
	}
	f.pace.cold = cold
}

// setNodes tells the chooser which nodes share the limits of cold upstreams. f.mu must be held.
func (f *Forwarder) setNodes(now time.Time, view *poller.View) {
	if f.pace.nodesView == view {
		return
	}
	f.pace.nodesView = view
	names := make([]string, 0, len(view.Entries))
	for _, e := range view.Entries {
		if e.Ready {
			names = append(names, e.Node)
		}
	}
	f.chooser.SetNodes(now, names)
	f.chooser.SetIsolated(now, view.Isolated)
}

// updateOwned tells a placer whether it is the one that the view names. f.mu must be held.
func (f *Forwarder) updateOwned(now time.Time, view *poller.View, k placeKey, p *engine.Placer) {
	if f.pace.ownedViews[k] == view || !view.IsPaced(k.service) {
		return
	}
	if f.pace.ownedViews == nil {
		f.pace.ownedViews = map[placeKey]*poller.View{}
	}
	f.pace.ownedViews[k] = view
	p.SetOwned(now, f.o.Batcher.OwnerInView(k.service, k.region).Peer == f.o.Batcher.Self())
	p.SetIsolated(now, view.Isolated)
}

// serviceNow returns a service of the configuration in force, which may be newer than that of the request; nil if there is none.
func (f *Forwarder) serviceNow(name string) *conf.Service {
	t := f.o.View().Table
	if t == nil {
		return nil
	}
	return t.Service(name)
}

// isCold reports whether an upstream of the view is cold and limited.
func (f *Forwarder) isCold(u roster.Upstream) bool {
	s := f.serviceNow(u.Service)
	if s == nil || s.ColdPerSecond <= 0 {
		return false
	}
	now := f.o.Clock.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.chooser.IsCold(now, u, s)
}

// isSuspended reports whether an answer of an upstream ended its use for now.
func (f *Forwarder) isSuspended(u roster.Upstream) bool {
	cause, _ := f.o.Batcher.PaceTable().IsSuspended(f.o.Clock.Now(), u.ID, u.StartedMs)
	return cause != pace.None
}

// heldBack returns the upstreams of a service that get no request now because they told this node that they are leaving or paused, or
// return from a pause. A placer on another node may not know.
func (f *Forwarder) heldBack(service string) (ids []string) {
	list := f.o.View().Services[service]
	for _, u := range list {
		if u.State != roster.Ready {
			ids = append(ids, u.ID)
		}
	}
	if f.o.Batcher.PaceTable().Len() == 0 {
		return ids
	}
	s := f.serviceNow(service)
	now := f.o.Clock.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, u := range list {
		switch f.chooser.Verdict(now, u, s).Cause {
		case pace.Leaving, pace.Paused, pace.Returning:
			ids = append(ids, u.ID)
		case pace.None, pace.Cold, pace.New:
		}
	}
	return ids
}

// beginPlaced counts a request to an engine that a placer selected, unless the engine is paused or returns from a pause and other
// requests of this node have used its limit since the placer was asked.
func (f *Forwarder) beginPlaced(u roster.Upstream) blocked {
	s := f.serviceNow(u.Service)
	now := f.o.Clock.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	if v := f.chooser.Verdict(now, u, s); v.Cause == pace.Paused || v.Cause == pace.Returning {
		return blockedBy(now, v)
	}
	f.chooser.Begin(now, u.ID)
	return blocked{}
}

// hasWarm reports whether an upstream of the service that is neither cold nor held back and that the request may use accepts
// requests.
func (x *exchange) hasWarm() bool {
	held := x.f.heldBack(x.service)
	for _, u := range x.f.o.View().Services[x.service] {
		if u.State == roster.Ready && !u.Silent && x.mayUse(u) && !x.f.isCold(u) && !slices.Contains(held, u.ID) {
			return true
		}
	}
	return false
}

// blocked is why no upstream of a service can be used, and for how long at least.
type blocked struct {
	cause pace.Cause
	in    time.Duration // 0: not known
}

// reasons are the reasons of refusals, by cause.
var reasons = map[pace.Cause]string{
	pace.Cold: "all upstreams of the service are cold and at their limit", pace.Leaving: "all upstreams of the service are leaving",
	pace.New:    "all upstreams of the service have just started and are at their limit",
	pace.Paused: "all upstreams of the service are paused", pace.Returning: "all upstreams of the service return from a pause and are at their limit",
}

func blockedBy(now time.Time, v pace.Verdict) blocked {
	switch {
	case v.OK:
		return blocked{}
	case v.From.IsZero():
		return blocked{cause: v.Cause}
	}
	return blocked{v.Cause, max(v.From.Sub(now), time.Millisecond)}
}

// blockedNow returns why no upstream of a service accepts a request.
func (f *Forwarder) blockedNow(service string, w pick.Criteria) blocked {
	list := f.o.View().Services[service]
	now := f.o.Clock.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	return blockedBy(now, f.chooser.Blocked(now, list, w))
}

// noteBlocked records why an upstream could not be used. The cause that ends first counts.
func (x *exchange) noteBlocked(b blocked) {
	if b.cause != pace.None && (x.blocked.in == 0 || b.in > 0 && b.in < x.blocked.in) {
		x.blocked = b
	}
}

// isBlocked reports whether all upstreams that the request may use are at a limit, leaving or paused. A placer leaves out those that
// the request excludes, so that it may not know why.
func (x *exchange) isBlocked() bool {
	if x.blocked.cause == pace.None {
		x.noteBlocked(x.f.blockedNow(x.service, x.criteria("")))
	}
	return x.blocked.cause != pace.None
}

// placersBlock reports whether the placers of all regions said that their engines are paused or return from a pause. They know all
// sends to these engines, so that the node must not choose one by itself.
func (x *exchange) placersBlock() bool {
	return x.placement == nil && (x.blocked.cause == pace.Paused || x.blocked.cause == pace.Returning)
}

// minWait is how long a request waits at least before it asks again for an upstream that returns from a pause.
const minWait = 10 * time.Millisecond

// waitForReturn waits for the end of a pause if the request can still be on time then. It reports whether the request may try
// again.
func (x *exchange) waitForReturn() bool {
	b := x.blocked
	if b.cause != pace.Paused && b.cause != pace.Returning || b.in <= 0 || x.f.o.Clock.Now().Add(b.in).After(x.due) {
		return false
	}
	x.blocked = blocked{}
	timer := x.f.o.Clock.NewTimer(max(b.in, minWait))
	defer timer.Stop()
	select {
	case <-timer.C():
		return true
	case <-x.f.drain.finishing.Done():
	case <-x.ctx.Done():
	}
	return true // the next attempt refuses the request
}

// maxRetryIn bounds a Retry-After: an upstream with a long pause may be replaced before its end.
const maxRetryIn = 30 * time.Second

// retryIn returns when a caller should come back to upstreams that are blocked for a time; 0: not known. Callers are spread over the second
// after it.
func (x *exchange) retryIn(in time.Duration) time.Duration {
	if in <= 0 { // not known
		return x.f.spread(retryLater)
	}
	return min(in, maxRetryIn) + x.f.spread(retryLater) - retryLater/2
}

// noUpstream returns the response for a request for which no upstream of a service is left. Many requests get it at the same time,
// so that their callers' return is spread. Those that wait for cold or paused upstreams are told when these accept requests again.
func (x *exchange) noUpstream(service string) refusal {
	allowed := x.allowedRegions()
	switch {
	case x.blocked.cause != pace.None:
		return x.gatewayError(reasons[x.blocked.cause], x.retryIn(x.blocked.in))
	case allowed.Limited():
		return x.gatewayError("no upstream of service "+service+" accepts requests in the allowed regions: "+allowed.String(), x.f.spread(retryLater))
	}
	return x.gatewayError("no upstream of the service accepts requests", retryLater)
}

// placeElsewhere asks the placers of other regions, after all engines of the first one were cold and at their limit.
func (x *exchange) placeElsewhere(regions []engine.Region, first string, r engine.Request) *placement {
	for _, region := range x.f.reachableRegions(regions) {
		if region.Name == first {
			continue
		}
		if p := x.placeInRegion(region.Name, r); p != nil {
			return p
		}
	}
	return nil
}

// renewPlacement asks for another placement if the present one cannot be used.
func (x *exchange) renewPlacement() {
	for range maxPlacements {
		if x.placement != nil && (!x.f.stillReady(x.placement.upstream) || x.f.isSuspended(x.placement.upstream) || !x.mayUse(x.placement.upstream)) {
			x.f.notifyEnd(x.placement, engine.Cancelled)
			x.placement = nil
		}
		isNew := x.placement == nil || x.failed[x.placement.upstream.ID]
		if isNew {
			x.placement = x.requestPlacement()
		}
		if x.placement == nil || x.f.coversSend(x.placement) {
			return
		}
		if isNew {
			x.newlyCold = append(x.newlyCold, x.placement.upstream.ID)
		}
		x.f.notifyEnd(x.placement, engine.Cancelled)
		x.placement = nil
	}
	x.noteBlocked(blocked{pace.Cold, retryLater})
}

// coversSend reports whether a request may be sent with a placement. Sends to a cold engine need one that its present placer has
// counted, and each needs its own: a placement of an earlier placer, or one from before the engine became cold, is not counted
// by the placer that now keeps the engine's limit.
func (f *Forwarder) coversSend(p *placement) bool {
	if !f.isColdNow(p.upstream) {
		return true
	}
	owner := f.o.Batcher.OwnerInView(p.service, p.region)
	counted := f.o.Clock.Now().Sub(p.asked) < engine.TicketTTL // an older ticket was counted as a send when it expired
	return p.cold && !p.used && counted && owner.Peer == p.owner && owner.Started == p.ownerStarted
}

// isColdNow is like isCold, by the newest record of an upstream that was selected earlier.
func (f *Forwarder) isColdNow(u roster.Upstream) bool {
	view := f.o.View()
	if !view.IsPaced(u.Service) {
		return false
	}
	for _, now := range view.Services[u.Service] {
		if now.ID == u.ID {
			u = now
		}
	}
	u.Silent, u.Stale = false, false // whether an upstream that is not heard may be cold is decided by the placer, which may hear it
	return f.isCold(u)
}
