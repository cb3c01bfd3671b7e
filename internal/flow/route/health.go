package route

import (
	"math"
	"slices"
	"time"

	"github.com/berylledge/berylledge/internal/fleet/upview"
)

const (
	// healthHalfLife is the time in which an outcome loses half its weight.
	healthHalfLife = 10 * time.Second
	// failureHalfLife is the time since the last failure in which the cost of failures halves. It is shorter than that of
	// the outcomes: an upstream that gets no work has no outcomes, and one failure must not keep it idle for a minute.
	failureHalfLife = 3 * time.Second
	// refreshEvery bounds the cost of counting the live and ejected upstreams of a large pool.
	refreshEvery = time.Second
	// sweepEvery is how often upstreams that left the view are forgotten.
	sweepEvery = time.Minute
	// latencyWeight is the weight of the newest value in the moving average of latency, which finds outliers soon.
	latencyWeight = 0.2
	// serviceWeight is that of the service time. It scales the cost of load, so noise in it unbalances the load
	// (docs/notes/routing.md has the figures).
	serviceWeight = 0.01
)

// health is what this node observed of one upstream. Times are kept as float64 nanoseconds.
type health struct {
	incarnation uint64
	pools       []string // pools in which the upstream is counted

	at          time.Time // time to which failed and total are decayed
	failed      float64
	total       float64
	consecutive int
	failedAt    time.Time // last failure
	latency     float64
	latencies   int
	service     float64
	services    int

	busyAt       time.Time // last refusal for want of a slot
	ejectedUntil time.Time // zero if it is not ejected
	returnedAt   time.Time
	ejections    int
}

// pool holds the figures of one pool, counted at most once in refreshEvery.
type pool struct {
	counted time.Time
	known   int
	live    int
	ejected int
	bad     int     // ejected ones and those that would be if the bound allowed it
	latency float64 // median over the upstreams
	service float64 // mean over the upstreams; 0 if unknown
	others  float64 // mean of the other nodes' requests on an upstream, as reported
	mean    float64 // mean of all requests on an upstream with a full share
}

// panics reports whether most of the pool looks bad, so that ejection is ignored.
func (p *pool) panics() bool { return p.bad*2 > p.live }

// Observe records the outcome of an attempt. Outcomes of upstreams that were never considered in a Pick are ignored.
func (r *Router) Observe(now time.Time, up string, o Outcome) {
	h := r.health[up]
	if h == nil {
		return
	}
	if o.Latency > 0 {
		h.latencies++
		h.latency = average(h.latency, float64(o.Latency), latencyWeight)
	}
	if o.Service > 0 {
		h.services++
		h.service = average(h.service, float64(o.Service), max(serviceWeight, 1/float64(h.services)))
	}
	switch o.Result {
	case Succeeded:
		h.count(now, 0)
		h.consecutive = 0
	case Failed, TimedOut:
		h.count(now, 1)
		h.consecutive++
		h.failedAt = now
	case HedgeLost:
		h.count(now, 0.5)
		h.failedAt = now
	case Busy:
		h.busyAt = now
		return
	case Neutral:
		return
	}
	if h.ejectedUntil.IsZero() && r.looksBad(now, h) {
		r.eject(now, h)
	}
}

func average(old, value, weight float64) float64 {
	if old == 0 {
		return value
	}
	return old + weight*(value-old)
}

func (h *health) count(now time.Time, failed float64) {
	h.decay(now)
	h.failed += failed
	h.total++
}

func (h *health) decay(now time.Time) {
	if d := now.Sub(h.at); d > 0 {
		f := math.Exp2(-float64(d) / float64(healthHalfLife))
		h.failed *= f
		h.total *= f
		h.at = now
	}
}

// failureShare estimates the probability that the next attempt fails. The added success keeps one failure of an upstream
// with few outcomes from counting as certain.
func (h *health) failureShare(now time.Time) float64 {
	if h.failed == 0 {
		return 0
	}
	h.decay(now)
	return h.failed / (h.total + 1) * math.Exp2(-float64(now.Sub(h.failedAt))/float64(failureHalfLife))
}

func (r *Router) looksBad(now time.Time, h *health) bool {
	if h.consecutive >= r.policy.EjectFailures {
		return true
	}
	h.decay(now)
	if h.total >= float64(r.policy.MinSamples) && h.failed >= r.policy.EjectShare*h.total {
		return true
	}
	if h.latencies < r.policy.MinSamples {
		return false
	}
	// An upstream that serves several pools is compared with the slowest of them.
	slowest := 0.0
	for _, name := range h.pools {
		if p := r.pools[name]; p != nil {
			slowest = max(slowest, p.latency)
		}
	}
	return slowest > 0 && h.latency > r.policy.EjectLatency*slowest
}

// eject takes an upstream out if no pool then has more than a third of its live upstreams ejected.
func (r *Router) eject(now time.Time, h *health) {
	for _, name := range h.pools {
		if p := r.pools[name]; p != nil && (p.ejected+1)*3 > p.live {
			return
		}
	}
	for _, name := range h.pools {
		if p := r.pools[name]; p != nil {
			p.ejected++
		}
	}
	if now.Sub(h.returnedAt) > r.policy.EjectMax {
		h.ejections = 0
	}
	length := r.policy.EjectFor << min(h.ejections, 16)
	if length > r.policy.EjectMax || length <= 0 {
		length = r.policy.EjectMax
	}
	h.ejections++
	h.ejectedUntil = now.Add(length)
}

// release ends an ejection. The history is cleared, but two failures in a row eject the upstream again.
func (r *Router) release(at time.Time, h *health) {
	h.ejectedUntil = time.Time{}
	h.returnedAt = at
	h.failed, h.total, h.latency, h.latencies = 0, 0, 0, 0
	h.consecutive = max(r.policy.EjectFailures-2, 0)
}

// healthOf returns the health of an upstream, made anew for a new incarnation, with an ejection that is over ended.
func (r *Router) healthOf(now time.Time, u *upview.Upstream) *health {
	h := r.health[u.ID]
	if h == nil || h.incarnation != u.Incarnation {
		h = &health{incarnation: u.Incarnation, at: now}
		h.pools = append(append(h.pools, u.Services...), u.Models...)
		r.health[u.ID] = h
	}
	if !h.ejectedUntil.IsZero() && !now.Before(h.ejectedUntil) {
		r.release(h.ejectedUntil, h)
	}
	return h
}

// pool returns the figures of a pool, counted anew if they are old or the pool's size changed.
func (r *Router) pool(now time.Time, view *upview.View, name string) *pool {
	p := r.pools[name]
	list := view.Pool(name)
	if p != nil && p.known == len(list) && now.Sub(p.counted) < refreshEvery {
		return p
	}
	if p == nil {
		p = &pool{}
		r.pools[name] = p
	}
	r.count(now, p, list)
	return p
}

func (r *Router) count(now time.Time, p *pool, list []*upview.Upstream) {
	*p = pool{counted: now, known: len(list), latency: p.latency}
	var latencies []float64
	var ejected []*health
	services, full := 0, 0
	var unknown health
	for _, u := range list {
		if !u.Live(now) {
			continue
		}
		p.live++
		own, others := r.split(u)
		p.others += others
		h := r.health[u.ID]
		if h == nil {
			h = &unknown
		} else {
			h = r.healthOf(now, u)
		}
		if h.ejectedUntil.IsZero() && r.share(now, u, h) >= 1 {
			p.mean += own + others
			full++
		}
		switch {
		case !h.ejectedUntil.IsZero():
			ejected = append(ejected, h)
			p.bad++
		case r.looksBad(now, h):
			p.bad++
		}
		if h.latencies > 0 {
			latencies = append(latencies, h.latency)
		}
		if h.service > 0 {
			p.service += h.service
			services++
		}
	}
	p.others /= float64(max(p.live, 1))
	p.mean /= float64(max(full, 1))
	if services > 0 {
		p.service /= float64(services)
	}
	p.latency = median(latencies)
	p.ejected = r.bound(now, ejected, p.live/3)
}

// bound ends the ejections that are due to end first until at most limit are left, and returns how many are left. It is
// needed when the pool has become smaller since they were made.
func (r *Router) bound(now time.Time, ejected []*health, limit int) int {
	if len(ejected) <= limit {
		return len(ejected)
	}
	slices.SortStableFunc(ejected, func(a, b *health) int { return a.ejectedUntil.Compare(b.ejectedUntil) })
	for _, h := range ejected[:len(ejected)-limit] {
		r.release(now, h)
	}
	return limit
}

// median returns 0 for fewer than three values: with two, neither tells which one is the outlier.
func median(values []float64) float64 {
	if len(values) < 3 {
		return 0
	}
	slices.Sort(values)
	return values[len(values)/2]
}

// share returns the part of a full share that a new or returned upstream gets, between 0.1 and 1.
func (r *Router) share(now time.Time, u *upview.Upstream, h *health) float64 {
	since := u.Since
	if h.returnedAt.After(since) {
		since = h.returnedAt
	}
	if r.policy.SlowStart <= 0 {
		return 1
	}
	return min(max(float64(now.Sub(since))/float64(r.policy.SlowStart), 0.1), 1)
}

// sweep forgets upstreams and pools that are no longer in the view.
func (r *Router) sweep(now time.Time, view *upview.View) {
	if now.Sub(r.swept) < sweepEvery {
		return
	}
	r.swept = now
	for id := range r.health {
		if view.Get(id) == nil {
			delete(r.health, id)
		}
	}
	for id := range r.own {
		if view.Get(id) == nil {
			delete(r.own, id)
		}
	}
	for name := range r.pools {
		if len(view.Pool(name)) == 0 {
			delete(r.pools, name)
		}
	}
}

// Ejected returns the ids of the upstreams that are ejected, ordered.
func (r *Router) Ejected(now time.Time) []string {
	var out []string
	for id, h := range r.health {
		if now.Before(h.ejectedUntil) {
			out = append(out, id)
		}
	}
	slices.Sort(out)
	return out
}
