package route

import (
	"math"
	"slices"
	"time"

	"github.com/berylledge/berylledge/internal/fleet/upview"
)

const (
	// healthHalfLife is the half-life of the weight of an outcome.
	healthHalfLife = 10 * time.Second
	// failureHalfLife is the half-life of the failure cost after the last failure. It is shorter than healthHalfLife because
	// an upstream without requests records no outcomes, and one failure must not keep it idle for a minute.
	failureHalfLife = 3 * time.Second
	// poolRefreshInterval limits how often the statistics of a pool are recomputed, which is costly for a large pool.
	poolRefreshInterval = time.Second
	// pruneInterval is how often the state of upstreams that left the view is deleted.
	pruneInterval = time.Minute
	// latencySmoothing is the weight of a new sample in the moving average of latency. It is large enough to detect outliers
	// quickly.
	latencySmoothing = 0.2
	// serviceTimeSmoothing is the weight of a new sample in the moving average of service time. The service time scales the
	// cost of load, so its noise unbalances upstreams (figures in docs/notes/routing.md).
	serviceTimeSmoothing = 0.01
)

// health is this node's record of the outcomes on one upstream. Durations are float64 nanoseconds.
type health struct {
	incarnation uint64
	pools       []string // names of the pools that the upstream belongs to

	decayedAt           time.Time // time up to which failed and total are decayed
	failed              float64
	total               float64
	consecutiveFailures int
	lastFailureAt       time.Time
	latency             float64
	latencySamples      int
	serviceTime         float64
	serviceTimeSamples  int

	refusedAt    time.Time // last refusal because no slot was free
	ejectedUntil time.Time // zero if not ejected
	returnedAt   time.Time
	ejections    int
}

// pool holds the statistics of one pool, recomputed at most once per poolRefreshInterval.
type pool struct {
	refreshedAt     time.Time
	known           int
	live            int
	ejected         int
	unhealthy       int     // ejected upstreams, and those not ejected only because of the limit
	medianLatency   float64 // median over the upstreams; 0 if unknown
	meanServiceTime float64 // mean over the upstreams; 0 if unknown
	meanOthers      float64 // mean number of requests of other nodes per upstream, as reported
	meanLoad        float64 // mean number of requests per upstream, of those past their slow start
}

// panicMode reports whether most of the pool is unhealthy. Ejection is then ignored.
func (p *pool) panicMode() bool { return p.unhealthy*2 > p.live }

// Observe records the outcome of an attempt. Upstreams that no Pick has considered are ignored.
func (r *Router) Observe(now time.Time, up string, o Outcome) {
	h := r.health[up]
	if h == nil {
		return
	}
	if o.Latency > 0 {
		h.latencySamples++
		h.latency = movingAverage(h.latency, float64(o.Latency), latencySmoothing)
	}
	if o.Service > 0 {
		h.serviceTimeSamples++
		h.serviceTime = movingAverage(h.serviceTime, float64(o.Service), max(serviceTimeSmoothing, 1/float64(h.serviceTimeSamples)))
	}
	switch o.Result {
	case Succeeded:
		h.record(now, 0)
		h.consecutiveFailures = 0
	case Failed, TimedOut:
		h.record(now, 1)
		h.consecutiveFailures++
		h.lastFailureAt = now
	case HedgeLost:
		h.record(now, 0.5)
		h.lastFailureAt = now
	case Busy:
		h.refusedAt = now
		return
	case Neutral:
		return
	}
	if h.ejectedUntil.IsZero() && r.unhealthy(now, h) {
		r.eject(now, h)
	}
}

func movingAverage(old, value, weight float64) float64 {
	if old == 0 {
		return value
	}
	return old + weight*(value-old)
}

func (h *health) record(now time.Time, failed float64) {
	h.decay(now)
	h.failed += failed
	h.total++
}

func (h *health) decay(now time.Time) {
	if d := now.Sub(h.decayedAt); d > 0 {
		f := math.Exp2(-float64(d) / float64(healthHalfLife))
		h.failed *= f
		h.total *= f
		h.decayedAt = now
	}
}

// failureShare estimates the probability that the next attempt fails. One success is added, so that a single failure of an
// upstream with few outcomes does not count as certainty.
func (h *health) failureShare(now time.Time) float64 {
	if h.failed == 0 {
		return 0
	}
	h.decay(now)
	return h.failed / (h.total + 1) * math.Exp2(-float64(now.Sub(h.lastFailureAt))/float64(failureHalfLife))
}

// unhealthy reports whether an upstream meets one of the ejection criteria.
func (r *Router) unhealthy(now time.Time, h *health) bool {
	if h.consecutiveFailures >= r.policy.EjectConsecutiveFailures {
		return true
	}
	h.decay(now)
	if h.total >= float64(r.policy.MinSamples) && h.failed >= r.policy.EjectFailureRatio*h.total {
		return true
	}
	if h.latencySamples < r.policy.MinSamples {
		return false
	}
	// An upstream in several pools is compared with the slowest of them.
	slowest := 0.0
	for _, name := range h.pools {
		if p := r.pools[name]; p != nil {
			slowest = max(slowest, p.medianLatency)
		}
	}
	return slowest > 0 && h.latency > r.policy.EjectLatencyRatio*slowest
}

// eject ejects an upstream, unless this would eject more than a third of the live upstreams of one of its pools.
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
	if now.Sub(h.returnedAt) > r.policy.MaxEjectionTime {
		h.ejections = 0
	}
	length := r.policy.BaseEjectionTime << min(h.ejections, 16)
	if length > r.policy.MaxEjectionTime || length <= 0 {
		length = r.policy.MaxEjectionTime
	}
	h.ejections++
	h.ejectedUntil = now.Add(length)
}

// reinstate ends an ejection. The history is cleared, but two consecutive failures eject the upstream again.
func (r *Router) reinstate(at time.Time, h *health) {
	h.ejectedUntil = time.Time{}
	h.returnedAt = at
	h.failed, h.total, h.latency, h.latencySamples = 0, 0, 0, 0
	h.consecutiveFailures = max(r.policy.EjectConsecutiveFailures-2, 0)
}

// healthOf returns the health record of an upstream. It starts a new record for a new incarnation and ends an ejection that
// has run out.
func (r *Router) healthOf(now time.Time, u *upview.Upstream) *health {
	h := r.health[u.ID]
	if h == nil || h.incarnation != u.Incarnation {
		h = &health{incarnation: u.Incarnation, decayedAt: now}
		h.pools = append(append(h.pools, u.Services...), u.Models...)
		r.health[u.ID] = h
	}
	if !h.ejectedUntil.IsZero() && !now.Before(h.ejectedUntil) {
		r.reinstate(h.ejectedUntil, h)
	}
	return h
}

// pool returns the statistics of a pool, recomputed if they are old or the size of the pool has changed.
func (r *Router) pool(now time.Time, view *upview.View, name string) *pool {
	p := r.pools[name]
	list := view.Pool(name)
	if p != nil && p.known == len(list) && now.Sub(p.refreshedAt) < poolRefreshInterval {
		return p
	}
	if p == nil {
		p = &pool{}
		r.pools[name] = p
	}
	r.refresh(now, p, list)
	return p
}

// refresh recomputes the statistics of a pool.
func (r *Router) refresh(now time.Time, p *pool, list []*upview.Upstream) {
	*p = pool{refreshedAt: now, known: len(list), medianLatency: p.medianLatency}
	var latencies []float64
	var ejected []*health
	services, fullShare := 0, 0
	var unknown health
	for _, u := range list {
		if !u.Live(now) {
			continue
		}
		p.live++
		own, others := r.splitLoad(u)
		p.meanOthers += others
		h := r.health[u.ID]
		if h == nil {
			h = &unknown
		} else {
			h = r.healthOf(now, u)
		}
		if h.ejectedUntil.IsZero() && r.slowStartShare(now, u, h) >= 1 {
			p.meanLoad += own + others
			fullShare++
		}
		switch {
		case !h.ejectedUntil.IsZero():
			ejected = append(ejected, h)
			p.unhealthy++
		case r.unhealthy(now, h):
			p.unhealthy++
		}
		if h.latencySamples > 0 {
			latencies = append(latencies, h.latency)
		}
		if h.serviceTime > 0 {
			p.meanServiceTime += h.serviceTime
			services++
		}
	}
	p.meanOthers /= float64(max(p.live, 1))
	p.meanLoad /= float64(max(fullShare, 1))
	if services > 0 {
		p.meanServiceTime /= float64(services)
	}
	p.medianLatency = median(latencies)
	p.ejected = r.limitEjections(now, ejected, p.live/3)
}

// limitEjections ends the ejections that expire first until at most limit remain, and returns the number that remain. This
// is needed if the pool has shrunk since the ejections.
func (r *Router) limitEjections(now time.Time, ejected []*health, limit int) int {
	if len(ejected) <= limit {
		return len(ejected)
	}
	slices.SortStableFunc(ejected, func(a, b *health) int { return a.ejectedUntil.Compare(b.ejectedUntil) })
	for _, h := range ejected[:len(ejected)-limit] {
		r.reinstate(now, h)
	}
	return limit
}

// median returns the median, or 0 for fewer than three values: of two, it is not known which one is the outlier.
func median(values []float64) float64 {
	if len(values) < 3 {
		return 0
	}
	slices.Sort(values)
	return values[len(values)/2]
}

// slowStartShare returns the fraction of its full load, from 0.1 to 1, that a new or reinstated upstream gets.
func (r *Router) slowStartShare(now time.Time, u *upview.Upstream, h *health) float64 {
	since := u.Since
	if h.returnedAt.After(since) {
		since = h.returnedAt
	}
	if r.policy.SlowStart <= 0 {
		return 1
	}
	return min(max(float64(now.Sub(since))/float64(r.policy.SlowStart), 0.1), 1)
}

// prune deletes the state of upstreams and pools that are no longer in the view.
func (r *Router) prune(now time.Time, view *upview.View) {
	if now.Sub(r.prunedAt) < pruneInterval {
		return
	}
	r.prunedAt = now
	for id := range r.health {
		if view.Get(id) == nil {
			delete(r.health, id)
		}
	}
	for id := range r.ownLoad {
		if view.Get(id) == nil {
			delete(r.ownLoad, id)
		}
	}
	for name := range r.pools {
		if len(view.Pool(name)) == 0 {
			delete(r.pools, name)
		}
	}
}

// Ejected returns the sorted IDs of the ejected upstreams.
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
