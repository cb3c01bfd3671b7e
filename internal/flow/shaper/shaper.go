// Package shaper limits traffic over the links between regions. Each entry node has one Shaper for the traffic it sends.
//
// Shaper is a deterministic state machine: Step takes the current time and an event and returns actions.
//
// Usage:
//
//	s := shaper.New(cfg.Links, entryNodes)
//	s.Step(now, shaper.Send{ID: "m1", From: "west", To: "east", Rank: 1, Bytes: 5 << 20, Stage: "answer", Team: "crew"})
//	// actions: Grant{ID, Bytes}: send that many bytes now; Done is set on the last one
//	s.Step(now, shaper.Tick{})                // at the time that NextTick returns
//	if s.DecideMove(now, query).Move { ... } // whether to move a key-value (KV) cache instead of recomputing it
//
// Each direction of a link has two token buckets. The reserve (fleet.Link.ReservedKbit) is for immediate traffic: control
// messages and urgent output tokens of a model, which are granted at once and in full. The shared bucket holds the rest of
// the capacity, for all other traffic. It is granted in chunks by rank, and round-robin within a rank. Immediate traffic beyond the reserve
// is charged to the shared bucket, which then grants nothing until it has recovered. A link whose reserve equals its
// capacity carries only immediate traffic.
//
// Each of n nodes uses 1/n of both buckets, so together they stay within the capacity without coordination. A
// chunk takes at most MaxChunkTime of a node's share; even if all nodes send one at the same time, an urgent output
// token waits at most MaxChunkTime behind them. In return, a node gets only 1/n of a link even when no other node sends.
package shaper

import (
	"cmp"
	"slices"
	"time"

	"github.com/berylledge/berylledge/pkg/fleet"
)

const (
	// MaxChunkTime limits the time that a chunk occupies a node's share of a link.
	MaxChunkTime = 20 * time.Millisecond
	// minChunkBytes is the lower limit of the chunk size; smaller chunks would be mostly headers on very slow links.
	minChunkBytes = 1024
	// maxDebtTime limits how long immediate traffic beyond the reserve can block other traffic. The debt is the negative
	// token count of the shared bucket.
	maxDebtTime = time.Second
)

// Event is an input of Step.
//
//sumtype:decl
type Event interface{ event() }

// Send requests to send bytes from one region to another. Traffic inside a region or between regions without a configured
// link is granted at once.
type Send struct {
	ID        string // unique among unfinished transfers
	From, To  string
	Rank      int  // 0 is the most urgent
	Immediate bool // granted at once, whatever the rank; for control messages and urgent output tokens
	Bytes     int64
	Stage     string // the bytes are charged to this stage and team
	Team      string
}

// Cancel drops the rest of a transfer. Unknown ids are ignored.
type Cancel struct{ ID string }

// Tick only lets Step grant what has become possible since the last call.
type Tick struct{}

// SetLinks replaces the links and the number of entry nodes. Waiting transfers are kept.
type SetLinks struct {
	Links []fleet.Link
	Nodes int
}

func (Send) event()     {}
func (Cancel) event()   {}
func (Tick) event()     {}
func (SetLinks) event() {}

// Action is an output of Step.
//
//sumtype:decl
type Action interface{ action() }

// Grant permits the sender to send the next bytes of a transfer.
type Grant struct {
	ID    string
	Bytes int64
	Done  bool // these are the last bytes of the transfer
}

func (Grant) action() {}

// Shaper holds one node's share of all links. It is not safe for concurrent use.
type Shaper struct {
	nodes        int
	links        map[direction]*linkState
	ordered      []*linkState // sorted by region names, so that actions do not depend on map order
	chargedBytes map[Account]int64
	actions      []Action
}

type direction struct{ from, to string }

type linkState struct {
	direction
	pricePerGB int64
	reserve    bucket
	shared     bucket
	chunkBytes int64
	queue      []*pendingTransfer // sorted by rank; round-robin within a rank
}

type pendingTransfer struct {
	request   Send
	bytesLeft int64
}

// bucket is a token bucket. Its rate is in bytes per second, its burst and tokens are in bytes.
type bucket struct {
	rate, burst, tokens float64
	lastRefill          time.Time
}

func (b *bucket) refill(now time.Time) {
	if !b.lastRefill.IsZero() && now.After(b.lastRefill) {
		b.tokens = min(b.tokens+b.rate*now.Sub(b.lastRefill).Seconds(), b.burst)
	}
	b.lastRefill = now
}

// New returns the shaper of one of the given number of entry nodes.
func New(links []fleet.Link, nodes int) *Shaper {
	s := &Shaper{chargedBytes: map[Account]int64{}}
	s.setLinks(links, nodes)
	return s
}

// Step processes one event. Times must not decrease between calls. The returned slice is valid until the next Step.
func (s *Shaper) Step(now time.Time, ev Event) []Action {
	clear(s.actions)
	s.actions = s.actions[:0]
	switch ev := ev.(type) {
	case Send:
		s.send(now, ev)
	case Cancel:
		s.cancel(ev.ID)
	case Tick:
	case SetLinks:
		s.setLinks(ev.Links, ev.Nodes)
	}
	for _, l := range s.ordered {
		s.grantChunks(now, l)
	}
	return s.actions
}

func (s *Shaper) setLinks(links []fleet.Link, nodes int) {
	s.nodes = max(nodes, 1)
	old := s.ordered
	s.links, s.ordered = map[direction]*linkState{}, nil
	for _, l := range links {
		for _, d := range []direction{{l.RegionA, l.RegionB}, {l.RegionB, l.RegionA}} {
			state := newLinkState(d, l, s.nodes)
			if s.links[d] == nil {
				s.ordered = append(s.ordered, state)
				s.links[d] = state
			}
		}
	}
	slices.SortFunc(s.ordered, func(x, y *linkState) int { return cmp.Or(cmp.Compare(x.from, y.from), cmp.Compare(x.to, y.to)) })
	for _, o := range old {
		state := s.links[o.direction]
		if state == nil { // the link is no longer limited
			for _, t := range o.queue {
				s.grant(t, t.bytesLeft)
			}
			continue
		}
		state.queue = o.queue
		state.shared.tokens, state.shared.lastRefill = min(o.shared.tokens, state.shared.burst), o.shared.lastRefill
		state.reserve.tokens, state.reserve.lastRefill = min(o.reserve.tokens, state.reserve.burst), o.reserve.lastRefill
	}
}

func newLinkState(d direction, l fleet.Link, nodes int) *linkState {
	const bytesPerKbit = 1000 / 8
	reserve := float64(l.ReservedKbit) * bytesPerKbit / float64(nodes)
	shared := float64(max(l.KbitPerSec-l.ReservedKbit, 0)) * bytesPerKbit / float64(nodes)
	chunk := max(int64(shared*MaxChunkTime.Seconds()), minChunkBytes)
	return &linkState{
		direction: d, pricePerGB: l.PricePerGB, chunkBytes: chunk,
		// The reserve holds at most one second of its rate. The shared bucket holds at most one chunk, so that chunks are
		// not sent back to back.
		reserve: bucket{rate: reserve, burst: reserve, tokens: reserve},
		shared:  bucket{rate: shared, burst: float64(chunk), tokens: float64(chunk)},
	}
}

func (s *Shaper) send(now time.Time, req Send) {
	t := &pendingTransfer{request: req, bytesLeft: max(req.Bytes, 0)}
	l := s.links[direction{req.From, req.To}]
	if l == nil || t.bytesLeft == 0 {
		s.grant(t, t.bytesLeft)
		return
	}
	if !req.Immediate {
		l.enqueue(t)
		return
	}
	l.reserve.refill(now)
	l.shared.refill(now)
	size := float64(t.bytesLeft)
	fromReserve := min(size, max(l.reserve.tokens, 0))
	l.reserve.tokens -= fromReserve
	// Bytes beyond the reserve may make the shared bucket negative, by at most maxDebtTime of its rate.
	l.shared.tokens = max(l.shared.tokens-(size-fromReserve), -l.shared.rate*maxDebtTime.Seconds())
	s.grant(t, t.bytesLeft)
}

// enqueue inserts a transfer behind the others of its rank.
func (l *linkState) enqueue(t *pendingTransfer) {
	i := len(l.queue)
	for i > 0 && l.queue[i-1].request.Rank > t.request.Rank {
		i--
	}
	l.queue = slices.Insert(l.queue, i, t)
}

// grantChunks grants chunks while the shared bucket allows. An unfinished transfer moves behind the others of its rank, so
// that a small one does not wait for a large one.
func (s *Shaper) grantChunks(now time.Time, l *linkState) {
	l.shared.refill(now)
	l.reserve.refill(now)
	for len(l.queue) > 0 && l.canSendNext() {
		t := l.queue[0]
		l.queue = slices.Delete(l.queue, 0, 1)
		n := min(t.bytesLeft, l.chunkBytes)
		l.shared.tokens -= float64(n)
		s.grant(t, n)
		if t.bytesLeft > 0 {
			l.enqueue(t)
		}
	}
}

// canSendNext reports whether the shared bucket covers the next chunk. Refilled tokens are rounded, hence the tolerance of
// half a byte.
func (l *linkState) canSendNext() bool {
	return l.shared.tokens+0.5 >= float64(min(l.queue[0].bytesLeft, l.chunkBytes))
}

func (s *Shaper) grant(t *pendingTransfer, n int64) {
	t.bytesLeft -= n
	s.chargedBytes[Account{From: t.request.From, To: t.request.To, Stage: t.request.Stage, Team: t.request.Team}] += n
	s.actions = append(s.actions, Grant{ID: t.request.ID, Bytes: n, Done: t.bytesLeft == 0})
}

func (s *Shaper) cancel(id string) {
	for _, l := range s.ordered {
		l.queue = slices.DeleteFunc(l.queue, func(t *pendingTransfer) bool { return t.request.ID == id })
	}
}

// NextTick returns the time of the next Tick that grants a chunk, or false if none is needed.
func (s *Shaper) NextTick() (time.Time, bool) {
	var next time.Time
	for _, l := range s.ordered {
		if len(l.queue) == 0 || l.shared.rate <= 0 {
			continue
		}
		missingBytes := float64(min(l.queue[0].bytesLeft, l.chunkBytes)) - l.shared.tokens
		// The conversion to a duration rounds down, so one nanosecond is added.
		at := l.shared.lastRefill.Add(time.Duration(max(missingBytes, 0)/l.shared.rate*float64(time.Second)) + 1)
		if next.IsZero() || at.Before(next) {
			next = at
		}
	}
	return next, !next.IsZero()
}
