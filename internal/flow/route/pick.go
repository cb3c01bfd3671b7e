package route

import (
	"slices"
	"strings"
	"time"

	"github.com/berylledge/berylledge/internal/fleet/upview"
	"github.com/berylledge/berylledge/pkg/upapi"
)

const (
	// utilisationWeight is the part of a service time that a fully used upstream costs beyond its queue: batches that are
	// nearly full run more slowly, and load is spread before queues form.
	utilisationWeight = 0.25
	// carefulFactor multiplies the cost of a failure for work that is urgent or may not be repeated.
	carefulFactor = 4
	// busyLife is how long a refusal counts if no report follows it.
	busyLife = 2 * time.Second
)

// collect fills r.candidates. They are live, not excluded and, if there is any such, not ejected.
func (r *Router) collect(now time.Time, view *upview.View, need Request, p *pool) {
	r.candidates = r.candidates[:0]
	all := view.Pool(need.Pool)
	local := view.PoolIn(need.Pool, need.DataCentre)
	ok := func(u *upview.Upstream) bool {
		return u.Live(now) && !slices.Contains(need.Exclude, u.ID) && (p.panics() || r.healthOf(now, u).ejectedUntil.IsZero())
	}
	r.sample(now, local, view.HashesIn(need.Pool, need.DataCentre), need.Fingerprint, ok)
	if len(local) < len(all) {
		r.sample(now, all, view.Hashes(need.Pool), need.Fingerprint, ok)
	}
	if need.Model && len(need.Prefixes) > 0 {
		r.collectHolders(now, view, need, ok)
	}
	if len(r.candidates) > 0 {
		return
	}
	r.all(all, ok)
	if len(r.candidates) == 0 {
		r.all(all, func(u *upview.Upstream) bool { return u.Live(now) && !slices.Contains(need.Exclude, u.ID) })
	}
}

// all makes all eligible upstreams of a list the candidates.
func (r *Router) all(list []*upview.Upstream, ok func(*upview.Upstream) bool) {
	r.candidates = r.candidates[:0]
	for _, u := range list {
		if ok(u) {
			r.candidates = append(r.candidates, u)
		}
	}
}

// sample adds eligible upstreams of a list, drawn by the fingerprint or else at random: all of a small list, and otherwise
// Choices that look healthy. Those met on the way that look bad are candidates as well and left to their cost.
func (r *Router) sample(
	now time.Time, list []*upview.Upstream, hashes []uint64, fingerprint uint64, ok func(*upview.Upstream) bool,
) {
	if len(list) == 0 {
		return
	}
	if fingerprint != 0 && len(list) > r.policy.Choices {
		r.rendezvous(now, list, hashes, fingerprint, ok)
		return
	}
	if len(list) <= max(r.policy.SmallPool, r.policy.Choices) {
		// Upstreams of equal cost are taken in turn.
		r.turn++
		first := int(r.turn % uint64(len(list)))
		for i := range list {
			if u := list[(first+i)%len(list)]; !slices.Contains(r.candidates, u) && ok(u) {
				r.candidates = append(r.candidates, u)
			}
		}
		return
	}
	healthy := 0
	for range 4 * r.policy.Choices {
		u := list[r.rng.IntN(len(list))]
		if slices.Contains(r.candidates, u) || !ok(u) {
			continue
		}
		r.candidates = append(r.candidates, u)
		if r.looksBad(now, r.healthOf(now, u)) {
			continue
		}
		if healthy++; healthy == r.policy.Choices {
			return
		}
	}
}

// maxRanked is the number of upstreams that rendezvous hashing ranks at first.
const maxRanked = 8

// rendezvous adds the Choices eligible upstreams whose ids have the highest hashes together with the fingerprint, and
// further ones while all of them look bad. An upstream that comes or goes changes the choice only for the contents that
// it wins or loses.
func (r *Router) rendezvous(
	now time.Time, list []*upview.Upstream, hashes []uint64, fingerprint uint64, ok func(*upview.Upstream) bool,
) {
	// Eligibility costs a map access, so it is checked after the ranking; only if the ranked ones do not suffice, all
	// upstreams are checked and ranked again.
	every := func(*upview.Upstream) bool { return true }
	for _, eligible := range []func(*upview.Upstream) bool{every, ok} {
		r.rank(list, hashes, fingerprint, eligible)
		if r.takeRanked(now, ok) || len(r.ranked) < maxRanked {
			return
		}
	}
}

// rank fills r.ranked with the upstreams of the highest hashes.
func (r *Router) rank(list []*upview.Upstream, hashes []uint64, fingerprint uint64, eligible func(*upview.Upstream) bool) {
	r.ranked = r.ranked[:0]
	for i, hash := range hashes {
		h := mix(hash ^ fingerprint)
		n := len(r.ranked)
		if n == maxRanked && h <= r.ranked[n-1].hash || !eligible(list[i]) {
			continue
		}
		if n < maxRanked {
			r.ranked = append(r.ranked, ranked{})
			n++
		}
		at := n - 1
		for ; at > 0 && r.ranked[at-1].hash < h; at-- {
			r.ranked[at] = r.ranked[at-1]
		}
		r.ranked[at] = ranked{h, list[i]}
	}
}

// takeRanked makes the first eligible ones of r.ranked candidates and reports whether they suffice.
func (r *Router) takeRanked(now time.Time, ok func(*upview.Upstream) bool) bool {
	taken, bad := 0, true
	for _, x := range r.ranked {
		if !ok(x.upstream) {
			continue
		}
		if !slices.Contains(r.candidates, x.upstream) {
			r.candidates = append(r.candidates, x.upstream)
		}
		bad = bad && r.looksBad(now, r.healthOf(now, x.upstream))
		if taken++; taken >= r.policy.Choices && !bad {
			return true
		}
	}
	return false
}

// mix is the finalizer of splitmix64; it spreads each input bit over the whole word.
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

func (r *Router) collectHolders(now time.Time, view *upview.View, need Request, ok func(*upview.Upstream) bool) {
	r.holders = view.Holders(r.holders[:0], need.Prefixes, r.policy.MaxHolders)
	if id, blocks := r.recent.find(now, need.Prefixes); blocks > 0 {
		r.holders = append(r.holders, id)
	}
	for _, id := range r.holders {
		u := view.Get(id)
		if u != nil && slices.Contains(u.Models, need.Pool) && !slices.Contains(r.candidates, u) && ok(u) {
			r.candidates = append(r.candidates, u)
		}
	}
}

// best returns the candidate with the lowest cost; the first one wins a tie.
func (r *Router) best(now time.Time, view *upview.View, need Request, p *pool) (Choice, bool) {
	var best Choice
	lowest, found := 0.0, false
	recent, depth := "", 0
	if need.Model {
		recent, depth = r.recent.find(now, need.Prefixes)
	}
	for _, u := range r.candidates {
		h := r.healthOf(now, u)
		c := Choice{Upstream: u, Ejected: !h.ejectedUntil.IsZero()}
		blocks := 0
		if u.ID == recent {
			blocks = depth
		}
		cost := r.cost(now, view, need, p, h, blocks, &c)
		if !found || cost < lowest {
			best, lowest, found = c, cost, true
		}
	}
	return best, found
}

// cost returns the nanoseconds that an upstream is expected to cost, and fills Expected and SavedTokens of the choice.
func (r *Router) cost(
	now time.Time, view *upview.View, need Request, p *pool, h *health, blocks int, c *Choice,
) float64 {
	u := c.Upstream
	queue, used := r.load(now, u, p, h)
	expected := queue + r.distance(u.DataCentre, u.Region, need)
	if need.Model {
		c.SavedTokens = saved(view, u, need, blocks)
		expected += float64(need.PromptTokens-c.SavedTokens) * float64(r.policy.PrefillPerToken)
		if need.Role != "" && u.Role != "" && u.Role != upapi.RoleMixed && u.Role != need.Role {
			expected += float64(r.policy.RoleMismatch)
		}
	}
	c.ExpectedDelay = time.Duration(expected)
	if need.TimeLeft > 0 && c.ExpectedDelay > need.TimeLeft {
		// It would be late, which costs as much as a failure.
		expected += float64(r.policy.FailureCost)
	}
	failure := h.failureShare(now) * float64(r.policy.FailureCost)
	if need.Rank == 0 || !need.Repeatable {
		failure *= carefulFactor
	}
	return expected + used + failure
}

// load returns the expected time in the queue of an upstream and the cost of its use below the point where it queues.
func (r *Router) load(now time.Time, u *upview.Upstream, p *pool, h *health) (queue, used float64) {
	service := r.serviceTime(p, h)
	slots := float64(max(u.Slots, 1))
	out := r.outstanding(now, u, p, service) + 1
	// Slow start: the missing part of the mean load counts as if it were there already.
	out += (1 - r.share(now, u, h)) * p.mean
	// A refusal shows that the upstream is full, until a newer report tells otherwise.
	if h.busyAt.After(u.LoadAt) && now.Sub(h.busyAt) < busyLife {
		out = max(out, 2*slots)
	}
	return max(out-slots, 0) / slots * service, out / slots * service * utilisationWeight
}

// serviceTime returns that of the pool, unless the upstream's own clearly differs: the own one is an average of few values,
// and its noise, multiplied with the load, would unbalance equal upstreams.
func (r *Router) serviceTime(p *pool, h *health) float64 {
	if p.service == 0 {
		return float64(r.policy.ServiceTime)
	}
	if h.services >= r.policy.MinSamples && (h.service > 1.5*p.service || h.service < p.service/1.5) {
		return h.service
	}
	return p.service
}

func (r *Router) distance(dataCentre, region string, need Request) float64 {
	switch {
	case dataCentre == need.DataCentre:
		return 0
	case region == need.Region:
		return float64(r.policy.OtherDataCentre)
	default:
		return float64(r.policy.OtherRegion) + float64(need.PromptTokens)*4/1024*float64(r.policy.LinkPerKiB)
	}
}

// saved returns the prompt tokens that are expected to be in the cache of an engine; recent is the number of blocks that
// this node sent there itself.
func saved(view *upview.View, u *upview.Upstream, need Request, recent int) int64 {
	if len(need.Prefixes) == 0 {
		return 0
	}
	blocks, trust := view.Cached(u, need.Prefixes)
	tokens := max(float64(blocks)*trust, float64(recent)) * tokensPerBlock
	return min(int64(tokens), need.PromptTokens)
}

// pickBase looks for an engine that holds the model without the adapter and takes orders to load one.
func (r *Router) pickBase(now time.Time, view *upview.View, need Request) (Choice, bool) {
	base, _, ok := strings.Cut(need.Pool, ":")
	if !ok {
		return Choice{}, false
	}
	baseNeed := need
	baseNeed.Pool = base
	p := r.pool(now, view, base)
	r.collect(now, view, baseNeed, p)
	r.candidates = slices.DeleteFunc(r.candidates, func(u *upview.Upstream) bool {
		return !u.AcceptsOrders && !slices.Contains(u.Models, need.Pool)
	})
	c, found := r.best(now, view, baseNeed, p)
	if found && !slices.Contains(c.Upstream.Models, need.Pool) {
		c.LoadFirst = need.Pool
		c.ExpectedDelay += r.policy.AdapterLoad
	}
	return c, found
}

// pickRemote returns the other data centre with the lowest expected delay by its summary.
func (r *Router) pickRemote(now time.Time, view *upview.View, need Request) (Choice, bool) {
	var best Choice
	found := false
	for _, s := range view.Summaries(need.Pool) {
		if s.DataCentre == need.DataCentre || !s.Usable(now) {
			continue
		}
		expected := r.distance(s.DataCentre, s.Region, need)
		if s.FreeSlots == 0 {
			expected += float64(s.QueueP90)
		}
		if need.Model {
			expected += float64(need.PromptTokens) * float64(r.policy.PrefillPerToken)
		}
		if !found || time.Duration(expected) < best.ExpectedDelay {
			best, found = Choice{Forward: &s, ExpectedDelay: time.Duration(expected)}, true
		}
	}
	return best, found
}
