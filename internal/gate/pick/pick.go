// Package pick selects an upstream for a request among those of its service, based on what this entry node has
// observed: its own requests in flight, failures and response times. If upstreams report how long work takes on their machine
// at the moment, the report multiplies the response time while it is new. Reported numbers of requests are not used, since they
// lag and every node would react to the same reports.
//
// Usage:
//
//	c := pick.New(pace.Bounds{}, "e1")
//	u, ok := c.Choose(now, list, pick.Criteria{Distance: distance, Affinity: "5c1e07a2"})
//	c.Begin(now, u.ID)
//	c.End(now, u.ID, pick.Succeeded, took)
//
// # Order
//
// Upstreams in the node's own data centre come first, then those in its region, then others. A more distant upstream is
// selected only if no nearer one is available. A request with an affinity key goes to the first upstream in the
// rendezvous order of the key whose load is not clearly above average, so that all entry nodes use the same caches
// without coordination.
package pick

import (
	"slices"
	"time"

	"github.com/berylledge/berylledge/internal/base/rendez"
	"github.com/berylledge/berylledge/internal/gate/conf"
	"github.com/berylledge/berylledge/internal/gate/pace"
	"github.com/berylledge/berylledge/internal/gate/roster"
	"github.com/berylledge/berylledge/internal/gate/speed"
)

// Result tells how a request ended at an upstream.
type Result uint8

// Results of a request.
const (
	Succeeded     Result = iota + 1
	ErrorResponse        // the upstream answered with an error of its own
	Full                 // the upstream rejected the request because it is full
	Cancelled            // cancelled by this side
	NoResponse           // no connection or no valid response
	AddressReused        // another upstream now has the address
)

// Selection parameters.
const (
	newestWeight       = 0.2                    // of the newest sample in moving averages
	errorRateCost      = 4.0                    // relative increase of the cost at an error rate of 1
	affinityLoadFactor = 1.25                   // of the average load, up to which an affinity upstream is used
	affinityLoadMargin = 2                      // requests above that load that are still permitted
	initialBackoff     = 500 * time.Millisecond // after a failed request; doubles with each further failure
	maxBackoff         = 8 * time.Second
	fullBackoff        = 150 * time.Millisecond
	stateTTL           = time.Minute
	usualWeight        = 0.05 // of the newest sample in the usual response time of a service
)

// Criteria describes what a request needs.
type Criteria struct {
	Distance func(dataCentre string) int  // 0 for the own data centre; nil: all are equally near
	Affinity string                       // key, usually of a prompt prefix; empty: none
	Exclude  map[string]bool              // IDs of upstreams that failed this request
	Service  *conf.Service                // may be nil
	SkipCold bool                         // use no cold upstream, because another decider uses its whole limit
	Allowed  func(dataCentre string) bool // whether the request may use a data centre; nil: all
}

type state struct {
	inFlight    int
	errorRate   float64 // moving average
	latencyMS   float64 // moving average in milliseconds; 0: unknown
	pausedUntil time.Time
	failures    int
	lastEnd     time.Time
	report      speed.Report // of the duration of work, relative to latencyMS
	pace        pace.State
	service     string
}

// Chooser tracks the state of the upstreams. It is not safe for concurrent use.
type Chooser struct {
	upstreams map[string]*state
	shares    *pace.Shares
	table     *pace.Table
	usualMS   map[string]float64 // moving average of response times in milliseconds, by paced service
}

// New returns a Chooser without observations, for a node by this name.
func New(b pace.Bounds, self string) *Chooser {
	return &Chooser{upstreams: map[string]*state{}, usualMS: map[string]float64{}, shares: pace.NewShares(b, self)}
}

// UseTable sets the table of upstreams that are leaving or paused.
func (c *Chooser) UseTable(t *pace.Table) { c.table = t }

// SetNodes sets the names of the nodes that share the limits of cold upstreams.
func (c *Chooser) SetNodes(now time.Time, names []string) { c.shares.SetNodes(now, names) }

// SetIsolated tells whether this node may have lost the others, so that they may use the whole limits without it.
func (c *Chooser) SetIsolated(now time.Time, isolated bool) { c.shares.SetIsolated(now, isolated) }

func (c *Chooser) state(id string) *state {
	s := c.upstreams[id]
	if s == nil {
		s = &state{}
		c.upstreams[id] = s
	}
	return s
}

// Choose selects an upstream; false if none accepts work.
func (c *Chooser) Choose(now time.Time, list []roster.Upstream, w Criteria) (roster.Upstream, bool) {
	var usable, held, paused []roster.Upstream
	fresh := 0
	for _, u := range list {
		if u.State != roster.Ready || w.Exclude[u.ID] || w.Allowed != nil && !w.Allowed(u.DataCentre) {
			continue
		}
		v := c.pace(now, u, w)
		if !v.OK && v.Cause != pace.New {
			continue
		}
		if now.Before(c.state(u.ID).pausedUntil) || u.Silent {
			paused = append(paused, u)
			continue
		}
		if pace.IsPaced(w.Service) && c.state(u.ID).pace.IsNew(now) {
			fresh++
		}
		if !v.OK {
			held = append(held, u)
			continue
		}
		usable = append(usable, u)
	}
	if len(held) > 0 && pace.StartedTogether(fresh, len(usable)+len(held)) {
		usable = append(usable, held...)
	}
	if len(usable) > 0 {
		return c.bestUpstream(now, nearestUpstreams(usable, w.Distance), w), true
	}
	// All of them failed recently. One is tried anyway, since the length of a backoff is only a guess.
	return c.firstToResume(paused)
}

// update returns the state of an upstream with what is known of it now.
func (c *Chooser) update(u roster.Upstream, service *conf.Service) *state {
	s := c.state(u.ID)
	s.pace.Update(c.table.Of(u, service))
	s.service = u.Service
	return s
}

// pace returns whether an upstream may get a request. The limit of a cold upstream and a pause are not guesses, so they always hold.
func (c *Chooser) pace(now time.Time, u roster.Upstream, w Criteria) pace.Verdict {
	if !pace.IsPaced(w.Service) && c.table.Len() == 0 {
		return pace.Verdict{OK: true} // a window ends before its upstream leaves the table
	}
	s := c.update(u, w.Service)
	if w.SkipCold && s.pace.IsCold(now) {
		return pace.Verdict{From: s.pace.ColdEnd(now), Cause: pace.Cold}
	}
	return s.pace.Allow(now, c.shares)
}

// IsCold reports whether an upstream of a service is cold and its requests are limited.
func (c *Chooser) IsCold(now time.Time, u roster.Upstream, s *conf.Service) bool {
	if s == nil || s.ColdPerSecond <= 0 {
		return false
	}
	return c.update(u, s).pace.IsCold(now)
}

// ColdEnd returns the end of an upstream's cold time.
func (c *Chooser) ColdEnd(now time.Time, u roster.Upstream, s *conf.Service) time.Time {
	return c.update(u, s).pace.ColdEnd(now)
}

// Verdict returns whether an upstream of a service may get a request.
func (c *Chooser) Verdict(now time.Time, u roster.Upstream, s *conf.Service) pace.Verdict {
	return c.pace(now, u, Criteria{Service: s})
}

// Blocked returns the verdict on the upstream that accepts requests again before the others: one that is cold and at its limit,
// paused or returning. Without such, it is the verdict on one that is leaving; its OK is true if there is none either.
func (c *Chooser) Blocked(now time.Time, list []roster.Upstream, w Criteria) pace.Verdict {
	out := pace.Verdict{OK: true}
	for _, u := range list {
		if u.State != roster.Ready || w.Exclude[u.ID] || w.Allowed != nil && !w.Allowed(u.DataCentre) {
			continue
		}
		out = out.Earlier(c.pace(now, u, w))
	}
	return out
}

func nearestUpstreams(list []roster.Upstream, distance func(string) int) []roster.Upstream {
	if distance == nil {
		return list
	}
	minDistance := distance(list[0].DataCentre)
	for _, u := range list[1:] {
		minDistance = min(minDistance, distance(u.DataCentre))
	}
	var out []roster.Upstream
	for _, u := range list {
		if distance(u.DataCentre) == minDistance {
			out = append(out, u)
		}
	}
	return out
}

func (c *Chooser) firstToResume(list []roster.Upstream) (roster.Upstream, bool) {
	var out roster.Upstream
	found := false
	for _, u := range list {
		if !found || c.state(u.ID).pausedUntil.Before(c.state(out.ID).pausedUntil) {
			out, found = u, true
		}
	}
	return out, found
}

func (c *Chooser) bestUpstream(now time.Time, list []roster.Upstream, w Criteria) roster.Upstream {
	if w.Affinity != "" {
		return c.affinityUpstream(list, w.Affinity)
	}
	median := c.medianLatency(list)
	var out roster.Upstream
	minCost := 0.0
	for i, u := range list {
		if cost := c.cost(now, u, median); i == 0 || cost < minCost {
			out, minCost = u, cost
		}
	}
	return out
}

// medianLatency returns the median response time in milliseconds; 0 if none is known.
func (c *Chooser) medianLatency(list []roster.Upstream) float64 {
	var times []float64
	for _, u := range list {
		if t := c.state(u.ID).latencyMS; t > 0 {
			times = append(times, t)
		}
	}
	if len(times) == 0 {
		return 0
	}
	slices.Sort(times)
	return times[(len(times)-1)/2]
}

func (c *Chooser) cost(now time.Time, u roster.Upstream, median float64) float64 {
	s := c.state(u.ID)
	cost := float64(s.inFlight+1) * (1 + errorRateCost*s.errorRate)
	if median > 0 && s.latencyMS > 0 {
		cost *= s.latencyMS / median
	}
	return cost * s.report.Blend(now, 1)
}

// affinityUpstream returns the first upstream in the rendezvous order of the key whose load is not clearly above
// average.
func (c *Chooser) affinityUpstream(list []roster.Upstream, key string) roster.Upstream {
	total := 0
	for _, u := range list {
		total += c.state(u.ID).inFlight
	}
	maxInFlight := int(affinityLoadFactor*float64(total)/float64(len(list))) + affinityLoadMargin
	order := slices.Clone(list)
	slices.SortFunc(order, func(a, b roster.Upstream) int { return rendez.Compare(key, a.ID, b.ID) })
	for _, u := range order {
		if c.state(u.ID).inFlight < maxInFlight {
			return u
		}
	}
	return order[0]
}

// Begin records that a request is sent to an upstream.
func (c *Chooser) Begin(now time.Time, id string) {
	s := c.state(id)
	s.inFlight++
	s.pace.Sent(now, c.shares)
}

// ReportDuration records how long work takes at an upstream at the moment, as reported with an answer: a multiple of the usual time.
func (c *Chooser) ReportDuration(now time.Time, id string, duration float64) {
	c.state(id).report.Add(now, duration)
}

// End records the result of a request that Begin counted. took is the time until the response started.
func (c *Chooser) End(now time.Time, id string, r Result, took time.Duration) {
	s := c.state(id)
	s.inFlight--
	s.lastEnd = now
	s.pace.Ended()
	switch r {
	case Succeeded:
		s.failures = 0
		s.errorRate *= 1 - newestWeight
		ms := float64(took) / float64(time.Millisecond)
		c.compare(now, s, took, ms)
		if s.latencyMS == 0 {
			s.latencyMS = ms
		}
		if s.latencyMS > 0 {
			s.report.Learn(ms / s.latencyMS)
		}
		s.latencyMS += newestWeight * (ms - s.latencyMS)
	case ErrorResponse:
		s.errorRate += newestWeight * (1 - s.errorRate)
	case Full:
		s.pace.Failed(now)
		s.pausedUntil = now.Add(fullBackoff)
	case NoResponse, AddressReused:
		s.pace.Failed(now)
		s.errorRate += newestWeight * (1 - s.errorRate)
		s.pausedUntil = now.Add(min(initialBackoff<<s.failures, maxBackoff))
		s.failures = min(s.failures+1, 8)
	case Cancelled:
	}
}

// compare lets the window of an upstream follow its response time in relation to that of its service.
func (c *Chooser) compare(now time.Time, s *state, took time.Duration, ms float64) {
	if !s.pace.SlowStart {
		s.pace.Worked(1)
		return
	}
	usual := c.usualMS[s.service]
	s.pace.Took(now, took, time.Duration(usual*float64(time.Millisecond)), 1)
	if s.pace.IsNew(now) {
		return
	}
	if usual == 0 {
		usual = ms
	}
	c.usualMS[s.service] = usual + usualWeight*(ms-usual)
}

// Sweep drops the state of upstreams that have not been used for a while.
func (c *Chooser) Sweep(now time.Time) {
	for id, s := range c.upstreams {
		if s.inFlight == 0 && !s.pace.IsCold(now) && !s.pace.IsNew(now) && now.Sub(s.lastEnd) > stateTTL {
			delete(c.upstreams, id)
		}
	}
}
