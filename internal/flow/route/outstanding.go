package route

import (
	"math"
	"time"

	"github.com/berylledge/berylledge/internal/fleet/upview"
	"github.com/berylledge/berylledge/pkg/upapi"
)

// maxSteps bounds the steps kept of one upstream. Steps beyond it are counted without their times until a report
// replaces them.
const maxSteps = 512

// tally keeps what this node did on one upstream since its load was measured: each dispatch counts +1 and each end −1,
// whether the report had seen the dispatch or not.
type tally struct {
	incarnation uint64
	loadAt      time.Time // measurement time of the newest report that was applied
	sum         int       // of the steps after loadAt
	inFlight    int       // all of this node's attempts on the upstream now
	steps       []step    // after loadAt, oldest first
}

type step struct {
	at    time.Time
	delta int
}

func (r *Router) tally(u *upview.Upstream) *tally {
	t := r.own[u.ID]
	if t == nil || t.incarnation != u.Incarnation {
		t = &tally{incarnation: u.Incarnation}
		r.own[u.ID] = t
	}
	t.settle(u.LoadAt)
	return t
}

func (t *tally) add(now time.Time, delta int) {
	if len(t.steps) >= maxSteps {
		t.steps = append(t.steps[:0], t.steps[maxSteps/2:]...)
	}
	t.steps = append(t.steps, step{now, delta})
	t.sum += delta
	t.inFlight += delta
}

// settle drops the steps that a report measured at the given time has seen.
func (t *tally) settle(loadAt time.Time) {
	if !loadAt.After(t.loadAt) {
		return
	}
	t.loadAt = loadAt
	seen := 0
	for seen < len(t.steps) && !t.steps[seen].at.After(loadAt) {
		seen++
	}
	t.steps = append(t.steps[:0], t.steps[seen:]...)
	t.sum = 0
	for _, s := range t.steps {
		t.sum += s.delta
	}
}

// minWeight is the weight below which a report is left out. A tiny remainder of it would still decide between upstreams
// that are otherwise equal, and in the same way on all nodes.
const minWeight = 0.05

// outstanding estimates the number of requests that an upstream runs or has queued. The node's own part is known exactly.
// The part of the other nodes comes from the report, without the node's own attempts that were in it. A report is old
// and all nodes see the same one, so to follow each of its fluctuations makes all nodes prefer the same upstreams: a
// deviation from the pool's mean counts only as far as it exceeds two standard deviations of chance, and less the older
// the report is, measured in service times.
func (r *Router) outstanding(now time.Time, u *upview.Upstream, p *pool, service float64) float64 {
	own, others := r.split(u)
	weight := math.Exp(-float64(now.Sub(u.LoadAt)) / max(service, 1))
	if u.LoadAt.IsZero() || weight < minWeight {
		return own + p.others
	}
	deviation := others - p.others
	chance := 2 * math.Sqrt(p.others+1)
	excess := max(math.Abs(deviation)-chance, 0)
	return own + p.others + math.Copysign(excess, deviation)*weight
}

// split returns the node's own attempts on an upstream now, and those of the other nodes when its load was measured.
func (r *Router) split(u *upview.Upstream) (own, others float64) {
	reported := u.Load.Running + u.Load.Waiting
	t := r.own[u.ID]
	if t == nil || t.incarnation != u.Incarnation {
		return 0, float64(reported)
	}
	t.settle(u.LoadAt)
	return float64(max(t.inFlight, 0)), float64(max(reported-(t.inFlight-t.sum), 0))
}

const (
	recentLimit = 4096
	recentLife  = 10 * time.Second
)

// recentPrefixes remembers where this node sent prompts lately, because the engine's cache events come later. It keeps
// the hashes at depths 1, 2, 4, … and the last one of each prompt, and one upstream for each hash.
type recentPrefixes struct {
	at   map[uint64]recentEntry
	ring []uint64
	next int
}

type recentEntry struct {
	upstream string
	at       time.Time
}

func newRecentPrefixes() recentPrefixes {
	return recentPrefixes{at: map[uint64]recentEntry{}, ring: make([]uint64, 0, recentLimit)}
}

func (p *recentPrefixes) add(now time.Time, upstream string, prefixes []uint64) {
	eachDepth(len(prefixes), func(depth int) bool {
		hash := prefixes[depth-1]
		if _, ok := p.at[hash]; !ok {
			if len(p.ring) < recentLimit {
				p.ring = append(p.ring, hash)
			} else {
				delete(p.at, p.ring[p.next])
				p.ring[p.next] = hash
				p.next = (p.next + 1) % recentLimit
			}
		}
		p.at[hash] = recentEntry{upstream, now}
		return true
	})
}

// find returns the upstream that was last sent the deepest known part of the prompt, and the depth in blocks.
func (p *recentPrefixes) find(now time.Time, prefixes []uint64) (upstream string, blocks int) {
	eachDepth(len(prefixes), func(depth int) bool {
		e, ok := p.at[prefixes[depth-1]]
		if !ok || now.Sub(e.at) > recentLife {
			return true
		}
		upstream, blocks = e.upstream, depth
		return false
	})
	return upstream, blocks
}

// eachDepth calls f with n, then with the powers of two below n, deepest first, until f returns false.
func eachDepth(n int, f func(depth int) bool) {
	if n == 0 || !f(n) {
		return
	}
	power := 1
	for power*2 < n {
		power *= 2
	}
	for ; power >= 1 && power < n; power /= 2 {
		if !f(power) {
			return
		}
	}
}

// tokensPerBlock is the number of tokens assumed in one hashed block, at 4 bytes a token.
const tokensPerBlock = upapi.PrefixBlock / 4
