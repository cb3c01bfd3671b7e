package route

import (
	"math"
	"time"

	"github.com/berylledge/berylledge/internal/fleet/upview"
	"github.com/berylledge/berylledge/pkg/upapi"
)

// maxLoadChanges bounds the load changes kept per upstream. Older ones still count, but without their times, until the
// next report.
const maxLoadChanges = 512

// ownLoad tracks this node's attempts on one upstream since the upstream's load was last measured. A dispatch counts +1 and
// an end −1, even if the report already included the dispatch.
type ownLoad struct {
	incarnation uint64
	loadAt      time.Time    // measurement time of the newest report applied
	sinceReport int          // sum of the changes after loadAt
	inFlight    int          // this node's current attempts on the upstream
	changes     []loadChange // after loadAt, oldest first
}

// loadChange is a dispatch (+1) or an end (−1) of an attempt.
type loadChange struct {
	at    time.Time
	delta int
}

// ownLoadOf returns the state of an upstream with its latest report applied; a new incarnation starts empty.
func (r *Router) ownLoadOf(u *upview.Upstream) *ownLoad {
	l := r.ownLoad[u.ID]
	if l == nil || l.incarnation != u.Incarnation {
		l = &ownLoad{incarnation: u.Incarnation}
		r.ownLoad[u.ID] = l
	}
	l.applyReport(u.LoadAt)
	return l
}

func (l *ownLoad) add(now time.Time, delta int) {
	if len(l.changes) >= maxLoadChanges {
		l.changes = append(l.changes[:0], l.changes[maxLoadChanges/2:]...)
	}
	l.changes = append(l.changes, loadChange{now, delta})
	l.sinceReport += delta
	l.inFlight += delta
}

// applyReport drops the changes that are included in a report measured at loadAt.
func (l *ownLoad) applyReport(loadAt time.Time) {
	if !loadAt.After(l.loadAt) {
		return
	}
	l.loadAt = loadAt
	seen := 0
	for seen < len(l.changes) && !l.changes[seen].at.After(loadAt) {
		seen++
	}
	l.changes = append(l.changes[:0], l.changes[seen:]...)
	l.sinceReport = 0
	for _, s := range l.changes {
		l.sinceReport += s.delta
	}
}

// minReportWeight is the weight below which a report is ignored. Even a tiny weight would decide between otherwise equal
// upstreams, and in the same way on all nodes.
const minReportWeight = 0.05

// outstanding estimates the number of requests that an upstream runs or has queued. The node's own part is known exactly.
// The part of the other nodes is taken from the report, minus the node's own attempts included in it. Reports are stale and
// the same for all nodes, so following every fluctuation would make all nodes prefer the same upstreams. A deviation from
// the pool's mean therefore counts only as far as it exceeds two standard deviations of random noise, with a weight that
// decays with the age of the report in service times.
func (r *Router) outstanding(now time.Time, u *upview.Upstream, p *pool, service float64) float64 {
	own, others := r.splitLoad(u)
	weight := math.Exp(-float64(now.Sub(u.LoadAt)) / max(service, 1))
	if u.LoadAt.IsZero() || weight < minReportWeight {
		return own + p.meanOthers
	}
	deviation := others - p.meanOthers
	noise := 2 * math.Sqrt(p.meanOthers+1)
	excess := max(math.Abs(deviation)-noise, 0)
	return own + p.meanOthers + math.Copysign(excess, deviation)*weight
}

// splitLoad returns the node's own current attempts on an upstream, and those of the other nodes when its load was
// measured.
func (r *Router) splitLoad(u *upview.Upstream) (own, others float64) {
	reported := u.Load.Running + u.Load.Waiting
	l := r.ownLoad[u.ID]
	if l == nil || l.incarnation != u.Incarnation {
		return 0, float64(reported)
	}
	l.applyReport(u.LoadAt)
	return float64(max(l.inFlight, 0)), float64(max(reported-(l.inFlight-l.sinceReport), 0))
}

const (
	maxRecentPrefixes = 4096
	recentPrefixTTL   = 10 * time.Second
)

// recentPrefixes records to which upstream this node recently sent each prompt prefix, because cache events of the engine
// arrive later. It stores the hashes at depths 1, 2, 4, … and the last hash of each prompt, with one upstream per hash.
type recentPrefixes struct {
	entries map[uint64]recentEntry
	ring    []uint64
	next    int
}

type recentEntry struct {
	upstream string
	at       time.Time
}

func newRecentPrefixes() recentPrefixes {
	return recentPrefixes{entries: map[uint64]recentEntry{}, ring: make([]uint64, 0, maxRecentPrefixes)}
}

func (p *recentPrefixes) add(now time.Time, upstream string, prefixes []uint64) {
	eachDepth(len(prefixes), func(depth int) bool {
		hash := prefixes[depth-1]
		if _, ok := p.entries[hash]; !ok {
			if len(p.ring) < maxRecentPrefixes {
				p.ring = append(p.ring, hash)
			} else {
				delete(p.entries, p.ring[p.next])
				p.ring[p.next] = hash
				p.next = (p.next + 1) % maxRecentPrefixes
			}
		}
		p.entries[hash] = recentEntry{upstream, now}
		return true
	})
}

// find returns the upstream to which the longest known prefix of the prompt was last sent, and the prefix length in blocks.
func (p *recentPrefixes) find(now time.Time, prefixes []uint64) (upstream string, blocks int) {
	eachDepth(len(prefixes), func(depth int) bool {
		e, ok := p.entries[prefixes[depth-1]]
		if !ok || now.Sub(e.at) > recentPrefixTTL {
			return true
		}
		upstream, blocks = e.upstream, depth
		return false
	})
	return upstream, blocks
}

// eachDepth calls f with n and then with the powers of two below n in descending order, until f returns false.
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

// tokensPerBlock is the assumed number of tokens per prefix block, at 4 bytes per token.
const tokensPerBlock = upapi.PrefixBlock / 4
