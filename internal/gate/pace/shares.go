package pace

import (
	"slices"
	"strconv"
	"time"

	"github.com/berylledge/berylledge/internal/base/rendez"
)

// Shares is a decider that runs on each node. Nodes with the same view divide a limit without messages.
type Shares struct {
	b          Bounds
	self       string
	nodes      []string
	past       []pastNodes
	generation uint64 // changes with nodes and past
	alone      isolation
}

// pastNodes are the nodes of an earlier view. Other nodes may still have it.
type pastNodes struct {
	nodes []string
	until time.Time
}

// cachedShare is the share of an upstream's limit in a generation of Shares.
type cachedShare struct {
	generation   uint64
	limit, share int
}

// maxPast bounds the earlier views. With more changes, no share is certain.
const maxPast = 8

// NewShares returns a decider for a node that knows no nodes yet.
func NewShares(b Bounds, self string) *Shares { return &Shares{b: b, self: self} }

// SetNodes sets the nodes that send, in any order that does not change without need. Until all nodes have learnt of a change, a
// node uses the smallest of its shares before and after.
func (s *Shares) SetNodes(now time.Time, nodes []string) {
	if s.generation > 0 && slices.Equal(nodes, s.nodes) {
		return
	}
	s.past = append(s.past, pastNodes{s.nodes, now.Add(changeover)})
	s.nodes = nodes
	s.generation++
	s.expire(now)
}

// SetIsolated tells whether this node may have lost the others, so that they may divide the whole limit among themselves.
func (s *Shares) SetIsolated(now time.Time, isolated bool) { s.alone.set(now, isolated) }

func (s *Shares) expire(now time.Time) {
	n := len(s.past)
	s.past = slices.DeleteFunc(s.past, func(p pastNodes) bool { return !now.Before(p.until) })
	if len(s.past) != n {
		s.generation++
	}
}

func (s *Shares) bounds() Bounds { return s.b }

func (s *Shares) share(now time.Time, u *State, limit int) (int, time.Time) {
	if len(s.past) > 0 {
		s.expire(now)
	}
	limit = s.alone.limit(now, limit, s.b)
	if u.cached.generation != s.generation || u.cached.limit != limit {
		u.cached = cachedShare{s.generation, limit, s.computeShare(u.ID, u.StartedMs, limit)}
	}
	later := time.Time{}
	if u.cached.share == 0 && len(s.past) > 0 {
		later = s.past[0].until
	}
	return u.cached.share, later
}

func (s *Shares) computeShare(id string, started int64, limit int) int {
	if len(s.past) > maxPast {
		return 0
	}
	key := startKey(id, started)
	out := shareOf(s.self, s.nodes, key, limit)
	for _, p := range s.past {
		out = min(out, shareOf(s.self, p.nodes, key, limit))
	}
	return out
}

// startKey returns the key of an upstream's start in the rendezvous order of nodes.
func startKey(id string, started int64) string { return id + "\x00" + strconv.FormatInt(started, 10) }

// shareOf returns a node's share of a limit: the first nodes in the rendezvous order of a key get equal whole shares, and the
// first of them what remains. Nodes beyond the limit get 0.
func shareOf(self string, nodes []string, key string, limit int) int {
	own, rank, known := rendez.Score(key, self), 0, false
	for _, n := range nodes {
		if n == self {
			known = true
			continue
		}
		if score := rendez.Score(key, n); score > own || score == own && n < self {
			rank++
		}
	}
	senders := min(len(nodes), limit)
	if !known || rank >= senders {
		return 0
	}
	share := limit / senders
	if rank < limit%senders {
		share++
	}
	return share
}
