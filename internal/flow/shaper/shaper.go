// Package shaper shares the narrow links between regions. Each entry node holds one Budget for what it sends.
//
// Budget is a deterministic state machine: Step takes the present time and one event and returns actions.
//
// Usage:
//
//	b := shaper.New(cfg.Links, entryNodes)
//	b.Step(now, shaper.Send{ID: "m1", From: "west", To: "east", Rank: 1, Bytes: 5 << 20, Stage: "answer", Team: "crew"})
//	// actions: Grant{ID, Bytes}: send that many bytes now; the last one has Done set
//	b.Step(now, shaper.Tick{})                     // at the time that Wake returns
//	if b.Move(now, question).Move { ... }         // whether to move a KV cache rather than recompute it
//
// Each direction of a link has two token buckets. The reserve (fleet.Link.ReservedKbit) pays for immediate traffic: control
// messages and urgent tokens, which are granted at once and whole. The shared bucket holds the rest of the capacity and
// pays for everything else in chunks, by rank and in turn inside a rank. Immediate traffic beyond the reserve is taken from
// the shared bucket, which then grants nothing until it has recovered. A link whose reserve equals its capacity carries
// immediate traffic only.
//
// Each of n nodes uses 1/n of both buckets, so all together stay within the capacity without messages between them. A
// chunk takes at most ChunkTime of a node's part; even if all nodes send one at the same time, an urgent token waits at most
// ChunkTime behind them. A node that sends alone reaches only its 1/n: that is the price of having no coordinator.
package shaper

import (
	"cmp"
	"slices"
	"time"

	"github.com/berylledge/berylledge/pkg/fleet"
)

const (
	// ChunkTime bounds the time that a chunk occupies a node's part of a link.
	ChunkTime = 20 * time.Millisecond
	// minChunk keeps the overhead of headers small on very slow links.
	minChunk = 1024
	// maxDebt bounds how long immediate traffic beyond the reserve can stop the other traffic.
	maxDebt = time.Second
)

// Event is the input of Step.
//
//sumtype:decl
type Event interface{ event() }

// Send asks to send bytes from one region to another. Traffic inside a region and over a pair without a configured link
// is granted at once.
type Send struct {
	ID        string // unique among unfinished transfers
	From, To  string
	Rank      int  // 0 is the most urgent
	Immediate bool // control traffic and urgent tokens
	Bytes     int64
	Stage     string // what to charge
	Team      string
}

// Cancel drops the rest of a transfer. An unknown id is ignored.
type Cancel struct{ ID string }

// Tick lets time pass.
type Tick struct{}

// SetLinks replaces the links and the number of entry nodes. Transfers that wait stay.
type SetLinks struct {
	Links []fleet.Link
	Nodes int
}

func (Send) event()     {}
func (Cancel) event()   {}
func (Tick) event()     {}
func (SetLinks) event() {}

// Action is the output of Step.
//
//sumtype:decl
type Action interface{ action() }

// Grant allows the sender to send the next bytes of a transfer.
type Grant struct {
	ID    string
	Bytes int64
	Done  bool // these are the last bytes of the transfer
}

func (Grant) action() {}

// Budget is the part of one node in all links.
type Budget struct {
	nodes   int
	pipes   map[direction]*pipe
	order   []*pipe // by region names, so that actions do not depend on map order
	charges map[Account]int64
	actions []Action
}

type direction struct{ from, to string }

type pipe struct {
	direction
	price   int64
	reserve bucket
	shared  bucket
	chunk   int64
	waiting []*transfer // by rank, then in turn
}

type transfer struct {
	send Send
	left int64
}

// bucket is a token bucket in bytes.
type bucket struct {
	rate, burst, tokens float64
	last                time.Time
}

func (b *bucket) refill(now time.Time) {
	if !b.last.IsZero() && now.After(b.last) {
		b.tokens = min(b.tokens+b.rate*now.Sub(b.last).Seconds(), b.burst)
	}
	b.last = now
}

// New returns the budget of one of the given number of entry nodes.
func New(links []fleet.Link, nodes int) *Budget {
	b := &Budget{charges: map[Account]int64{}}
	b.setLinks(links, nodes)
	return b
}

// Step takes one event. Times must not decrease from call to call. The returned slice is valid until the next Step.
func (b *Budget) Step(now time.Time, ev Event) []Action {
	clear(b.actions)
	b.actions = b.actions[:0]
	switch ev := ev.(type) {
	case Send:
		b.send(now, ev)
	case Cancel:
		b.cancel(ev.ID)
	case Tick:
	case SetLinks:
		b.setLinks(ev.Links, ev.Nodes)
	}
	for _, p := range b.order {
		b.serve(now, p)
	}
	return b.actions
}

func (b *Budget) setLinks(links []fleet.Link, nodes int) {
	b.nodes = max(nodes, 1)
	old := b.order
	b.pipes, b.order = map[direction]*pipe{}, nil
	for _, l := range links {
		for _, d := range []direction{{l.RegionA, l.RegionB}, {l.RegionB, l.RegionA}} {
			p := newPipe(d, l, b.nodes)
			if b.pipes[d] == nil {
				b.order = append(b.order, p)
				b.pipes[d] = p
			}
		}
	}
	slices.SortFunc(b.order, func(x, y *pipe) int { return cmp.Or(cmp.Compare(x.from, y.from), cmp.Compare(x.to, y.to)) })
	for _, o := range old {
		p := b.pipes[o.direction]
		if p == nil { // the link is no longer limited
			for _, t := range o.waiting {
				b.grant(t, t.left)
			}
			continue
		}
		p.waiting = o.waiting
		p.shared.tokens, p.shared.last = min(o.shared.tokens, p.shared.burst), o.shared.last
		p.reserve.tokens, p.reserve.last = min(o.reserve.tokens, p.reserve.burst), o.reserve.last
	}
}

func newPipe(d direction, l fleet.Link, nodes int) *pipe {
	const bytesPerKbit = 1000 / 8
	reserve := float64(l.ReservedKbit) * bytesPerKbit / float64(nodes)
	shared := float64(max(l.KbitPerSec-l.ReservedKbit, 0)) * bytesPerKbit / float64(nodes)
	chunk := max(int64(shared*ChunkTime.Seconds()), minChunk)
	return &pipe{
		direction: d, price: l.PricePerGB, chunk: chunk,
		// The burst of the reserve covers a second of urgent tokens; that of the shared bucket is one chunk, so that chunks
		// are spaced out.
		reserve: bucket{rate: reserve, burst: reserve, tokens: reserve},
		shared:  bucket{rate: shared, burst: float64(chunk), tokens: float64(chunk)},
	}
}

func (b *Budget) send(now time.Time, s Send) {
	t := &transfer{send: s, left: max(s.Bytes, 0)}
	p := b.pipes[direction{s.From, s.To}]
	if p == nil || t.left == 0 {
		b.grant(t, t.left)
		return
	}
	if !s.Immediate {
		p.enqueue(t)
		return
	}
	p.reserve.refill(now)
	p.shared.refill(now)
	size := float64(t.left)
	fromReserve := min(size, max(p.reserve.tokens, 0))
	p.reserve.tokens -= fromReserve
	p.shared.tokens = max(p.shared.tokens-(size-fromReserve), -p.shared.rate*maxDebt.Seconds())
	b.grant(t, t.left)
}

// enqueue puts a transfer behind the others of its rank.
func (p *pipe) enqueue(t *transfer) {
	i := len(p.waiting)
	for i > 0 && p.waiting[i-1].send.Rank > t.send.Rank {
		i--
	}
	p.waiting = slices.Insert(p.waiting, i, t)
}

// serve grants chunks while the shared bucket allows. A transfer that is not finished goes behind the others of its rank,
// so that a small one does not wait for a large one.
func (b *Budget) serve(now time.Time, p *pipe) {
	p.shared.refill(now)
	p.reserve.refill(now)
	for len(p.waiting) > 0 && p.ready() {
		t := p.waiting[0]
		p.waiting = slices.Delete(p.waiting, 0, 1)
		n := min(t.left, p.chunk)
		p.shared.tokens -= float64(n)
		b.grant(t, n)
		if t.left > 0 {
			p.enqueue(t)
		}
	}
}

// ready reports whether the next chunk is paid for. Refilled tokens are rounded, hence the tolerance of half a byte.
func (p *pipe) ready() bool {
	return p.shared.tokens+0.5 >= float64(min(p.waiting[0].left, p.chunk))
}

func (b *Budget) grant(t *transfer, n int64) {
	t.left -= n
	b.charges[Account{From: t.send.From, To: t.send.To, Stage: t.send.Stage, Team: t.send.Team}] += n
	b.actions = append(b.actions, Grant{ID: t.send.ID, Bytes: n, Done: t.left == 0})
}

func (b *Budget) cancel(id string) {
	for _, p := range b.order {
		p.waiting = slices.DeleteFunc(p.waiting, func(t *transfer) bool { return t.send.ID == id })
	}
}

// Wake returns the time of the next Tick that grants a chunk; false means that none is needed.
func (b *Budget) Wake() (time.Time, bool) {
	var next time.Time
	for _, p := range b.order {
		if len(p.waiting) == 0 || p.shared.rate <= 0 {
			continue
		}
		missing := float64(min(p.waiting[0].left, p.chunk)) - p.shared.tokens
		at := p.shared.last.Add(time.Duration(max(missing, 0)/p.shared.rate*float64(time.Second)) + 1)
		if next.IsZero() || at.Before(next) {
			next = at
		}
	}
	return next, !next.IsZero()
}
