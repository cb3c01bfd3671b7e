package route

import (
	"slices"
	"strings"
	"time"

	"github.com/berylledge/berylledge/internal/fleet/upview"
	"github.com/berylledge/berylledge/pkg/upapi"
)

const (
	// utilisationCost is the cost of full utilisation in service times, in addition to the queueing time. Nearly full
	// batches run more slowly, and the cost spreads load before queues form.
	utilisationCost = 0.25
	// cautiousFailureFactor multiplies the failure cost of requests that are urgent or may not be repeated.
	cautiousFailureFactor = 4
	// refusalTTL is how long a refusal marks an upstream as full if no load report follows.
	refusalTTL = 2 * time.Second
)

// collectCandidates fills r.candidates with live upstreams that are not excluded. Ejected ones are included only if no
// others exist, or in panic mode.
func (r *Router) collectCandidates(now time.Time, view *upview.View, req Request, p *pool) {
	r.candidates = r.candidates[:0]
	all := view.Pool(req.Pool)
	local := view.PoolIn(req.Pool, req.DataCentre)
	eligible := func(u *upview.Upstream) bool {
		return u.Live(now) && !slices.Contains(req.Exclude, u.ID) && (p.panicMode() || r.healthOf(now, u).ejectedUntil.IsZero())
	}
	r.sample(now, local, view.HashesIn(req.Pool, req.DataCentre), req.Fingerprint, eligible)
	if len(local) < len(all) {
		r.sample(now, all, view.Hashes(req.Pool), req.Fingerprint, eligible)
	}
	if req.Model && len(req.Prefixes) > 0 {
		r.collectHolders(now, view, req, eligible)
	}
	if len(r.candidates) > 0 {
		return
	}
	r.takeAll(all, eligible)
	if len(r.candidates) == 0 {
		r.takeAll(all, func(u *upview.Upstream) bool { return u.Live(now) && !slices.Contains(req.Exclude, u.ID) })
	}
}

// takeAll sets the candidates to all eligible upstreams of a list.
func (r *Router) takeAll(list []*upview.Upstream, eligible func(*upview.Upstream) bool) {
	r.candidates = r.candidates[:0]
	for _, u := range list {
		if eligible(u) {
			r.candidates = append(r.candidates, u)
		}
	}
}

// sample adds eligible upstreams of a list to the candidates: by fingerprint if there is one, otherwise all of a small
// list or a random sample with SampleSize healthy upstreams. Unhealthy upstreams that are drawn become candidates too; the
// cost decides about them.
func (r *Router) sample(
	now time.Time, list []*upview.Upstream, hashes []uint64, fingerprint uint64, eligible func(*upview.Upstream) bool,
) {
	if len(list) == 0 {
		return
	}
	if fingerprint != 0 && len(list) > r.policy.SampleSize {
		r.rendezvous(now, list, hashes, fingerprint, eligible)
		return
	}
	if len(list) <= max(r.policy.SmallPool, r.policy.SampleSize) {
		// The first of several candidates with equal cost wins, so rotate the order.
		r.roundRobin++
		first := int(r.roundRobin % uint64(len(list)))
		for i := range list {
			if u := list[(first+i)%len(list)]; !slices.Contains(r.candidates, u) && eligible(u) {
				r.candidates = append(r.candidates, u)
			}
		}
		return
	}
	healthy := 0
	for range 4 * r.policy.SampleSize {
		u := list[r.rng.IntN(len(list))]
		if slices.Contains(r.candidates, u) || !eligible(u) {
			continue
		}
		r.candidates = append(r.candidates, u)
		if r.unhealthy(now, r.healthOf(now, u)) {
			continue
		}
		if healthy++; healthy == r.policy.SampleSize {
			return
		}
	}
}

// maxRanked is the number of upstreams that rendezvous hashing keeps per ranking.
const maxRanked = 8

// rendezvous adds the SampleSize eligible upstreams with the highest hash of ID and fingerprint, and more while all of them
// are unhealthy. When an upstream joins or leaves, the choice changes only for fingerprints that rank it among the first.
func (r *Router) rendezvous(
	now time.Time, list []*upview.Upstream, hashes []uint64, fingerprint uint64, ok func(*upview.Upstream) bool,
) {
	// Checking eligibility costs a map access, so rank all upstreams first and check only the highest ones. If these do not
	// suffice, check all upstreams and rank again.
	every := func(*upview.Upstream) bool { return true }
	for _, eligible := range []func(*upview.Upstream) bool{every, ok} {
		r.rank(list, hashes, fingerprint, eligible)
		if r.addRanked(now, ok) || len(r.ranked) < maxRanked {
			return
		}
	}
}

// rank fills r.ranked with the maxRanked eligible upstreams of the highest hashes, in descending order.
func (r *Router) rank(list []*upview.Upstream, hashes []uint64, fingerprint uint64, eligible func(*upview.Upstream) bool) {
	r.ranked = r.ranked[:0]
	for i, hash := range hashes {
		h := mix(hash ^ fingerprint)
		n := len(r.ranked)
		if n == maxRanked && h <= r.ranked[n-1].hash || !eligible(list[i]) {
			continue
		}
		if n < maxRanked {
			r.ranked = append(r.ranked, rankedUpstream{})
			n++
		}
		at := n - 1
		for ; at > 0 && r.ranked[at-1].hash < h; at-- {
			r.ranked[at] = r.ranked[at-1]
		}
		r.ranked[at] = rankedUpstream{h, list[i]}
	}
}

// addRanked adds the first eligible upstreams of r.ranked to the candidates and reports whether they suffice.
func (r *Router) addRanked(now time.Time, eligible func(*upview.Upstream) bool) bool {
	taken, allUnhealthy := 0, true
	for _, x := range r.ranked {
		if !eligible(x.upstream) {
			continue
		}
		if !slices.Contains(r.candidates, x.upstream) {
			r.candidates = append(r.candidates, x.upstream)
		}
		allUnhealthy = allUnhealthy && r.unhealthy(now, r.healthOf(now, x.upstream))
		if taken++; taken >= r.policy.SampleSize && !allUnhealthy {
			return true
		}
	}
	return false
}

// mix is the finalizer of splitmix64: each input bit affects all output bits.
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// collectHolders adds the engines that are believed to have a prefix of the prompt cached, and the one to which this node
// recently sent it.
func (r *Router) collectHolders(now time.Time, view *upview.View, req Request, eligible func(*upview.Upstream) bool) {
	r.prefixHolders = view.Holders(r.prefixHolders[:0], req.Prefixes, r.policy.MaxPrefixHolders)
	if id, blocks := r.recentPrefixes.find(now, req.Prefixes); blocks > 0 {
		r.prefixHolders = append(r.prefixHolders, id)
	}
	for _, id := range r.prefixHolders {
		u := view.Get(id)
		if u != nil && slices.Contains(u.Models, req.Pool) && !slices.Contains(r.candidates, u) && eligible(u) {
			r.candidates = append(r.candidates, u)
		}
	}
}

// best returns the candidate with the lowest cost; the first one wins ties.
func (r *Router) best(now time.Time, view *upview.View, req Request, p *pool) (Choice, bool) {
	var best Choice
	lowest, found := 0.0, false
	recent, depth := "", 0
	if req.Model {
		recent, depth = r.recentPrefixes.find(now, req.Prefixes)
	}
	for _, u := range r.candidates {
		h := r.healthOf(now, u)
		c := Choice{Upstream: u, Ejected: !h.ejectedUntil.IsZero()}
		blocks := 0
		if u.ID == recent {
			blocks = depth
		}
		cost := r.cost(now, view, req, p, h, blocks, &c)
		if !found || cost < lowest {
			best, lowest, found = c, cost, true
		}
	}
	return best, found
}

// cost returns the expected cost of an upstream in nanoseconds and sets ExpectedDelay and SavedTokens of the choice. blocks
// is the number of prefix blocks that this node recently sent to the upstream.
func (r *Router) cost(
	now time.Time, view *upview.View, req Request, p *pool, h *health, blocks int, c *Choice,
) float64 {
	u := c.Upstream
	queue, utilisation := r.load(now, u, p, h)
	expected := queue + r.distanceCost(u.DataCentre, u.Region, req)
	if req.Model {
		c.SavedTokens = savedTokens(view, u, req, blocks)
		expected += float64(req.PromptTokens-c.SavedTokens) * float64(r.policy.PrefillPerToken)
		if req.Role != "" && u.Role != "" && u.Role != upapi.RoleMixed && u.Role != req.Role {
			expected += float64(r.policy.RoleMismatchPenalty)
		}
	}
	c.ExpectedDelay = time.Duration(expected)
	if req.TimeLeft > 0 && c.ExpectedDelay > req.TimeLeft {
		// A late answer costs as much as a failure.
		expected += float64(r.policy.FailureCost)
	}
	failure := h.failureShare(now) * float64(r.policy.FailureCost)
	if req.Rank == 0 || !req.Repeatable {
		failure *= cautiousFailureFactor
	}
	return expected + utilisation + failure
}

// load returns the expected queueing time at an upstream and the cost of its utilisation, both in nanoseconds.
func (r *Router) load(now time.Time, u *upview.Upstream, p *pool, h *health) (queue, utilisation float64) {
	service := r.serviceTime(p, h)
	slots := float64(max(u.Slots, 1))
	outstanding := r.outstanding(now, u, p, service) + 1
	// Slow start: the rest of the full share is counted as existing load.
	outstanding += (1 - r.slowStartShare(now, u, h)) * p.meanLoad
	// After a refusal the upstream counts as full until a newer load report arrives.
	if h.refusedAt.After(u.LoadAt) && now.Sub(h.refusedAt) < refusalTTL {
		outstanding = max(outstanding, 2*slots)
	}
	return max(outstanding-slots, 0) / slots * service, outstanding / slots * service * utilisationCost
}

// serviceTime returns the mean service time of the pool, or the upstream's own if that differs by more than a factor of
// 1.5. The upstream's own is an average of few samples; multiplied by the load, its noise would unbalance equal upstreams.
func (r *Router) serviceTime(p *pool, h *health) float64 {
	if p.meanServiceTime == 0 {
		return float64(r.policy.DefaultServiceTime)
	}
	if h.serviceTimeSamples >= r.policy.MinSamples && (h.serviceTime > 1.5*p.meanServiceTime || h.serviceTime < p.meanServiceTime/1.5) {
		return h.serviceTime
	}
	return p.meanServiceTime
}

// distanceCost returns the cost in nanoseconds of sending the request to another data centre or region.
func (r *Router) distanceCost(dataCentre, region string, req Request) float64 {
	switch {
	case dataCentre == req.DataCentre:
		return 0
	case region == req.Region:
		return float64(r.policy.OtherDataCentrePenalty)
	default:
		return float64(r.policy.OtherRegionPenalty) + float64(req.PromptTokens)*4/1024*float64(r.policy.CrossRegionPerKiB)
	}
}

// savedTokens returns the number of prompt tokens expected in the cache of an engine; recent is the number of prefix blocks
// that this node recently sent to it.
func savedTokens(view *upview.View, u *upview.Upstream, req Request, recent int) int64 {
	if len(req.Prefixes) == 0 {
		return 0
	}
	blocks, trust := view.Cached(u, req.Prefixes)
	tokens := max(float64(blocks)*trust, float64(recent)) * tokensPerBlock
	return min(int64(tokens), req.PromptTokens)
}

// pickBase returns an engine that serves the base model and can be told to load the adapter.
func (r *Router) pickBase(now time.Time, view *upview.View, req Request) (Choice, bool) {
	base, _, ok := strings.Cut(req.Pool, ":")
	if !ok {
		return Choice{}, false
	}
	baseReq := req
	baseReq.Pool = base
	p := r.pool(now, view, base)
	r.collectCandidates(now, view, baseReq, p)
	r.candidates = slices.DeleteFunc(r.candidates, func(u *upview.Upstream) bool {
		return !u.AcceptsOrders && !slices.Contains(u.Models, req.Pool)
	})
	c, found := r.best(now, view, baseReq, p)
	if found && !slices.Contains(c.Upstream.Models, req.Pool) {
		c.LoadAdapter = req.Pool
		c.ExpectedDelay += r.policy.AdapterLoadTime
	}
	return c, found
}

// pickRemote returns the other data centre with the lowest expected delay according to its summary.
func (r *Router) pickRemote(now time.Time, view *upview.View, req Request) (Choice, bool) {
	var best Choice
	found := false
	for _, s := range view.Summaries(req.Pool) {
		if s.DataCentre == req.DataCentre || !s.Usable(now) {
			continue
		}
		expected := r.distanceCost(s.DataCentre, s.Region, req)
		if s.FreeSlots == 0 {
			expected += float64(s.QueueP90)
		}
		if req.Model {
			expected += float64(req.PromptTokens) * float64(r.policy.PrefillPerToken)
		}
		if !found || time.Duration(expected) < best.ExpectedDelay {
			best, found = Choice{Forward: &s, ExpectedDelay: time.Duration(expected)}, true
		}
	}
	return best, found
}
