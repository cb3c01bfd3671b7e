package shaper

import (
	"cmp"
	"slices"
	"time"
)

// Account is what traffic is charged to.
type Account struct{ From, To, Stage, Team string }

// Charge is the traffic of one account since the start.
type Charge struct {
	Account
	Bytes int64
	Price float64 // by the present price of the link, in the unit of fleet.Link.PricePerGB
}

const bytesPerGB = 1e9

// Charges returns all accounts, ordered by their names.
func (b *Budget) Charges() []Charge {
	out := make([]Charge, 0, len(b.charges))
	for a, n := range b.charges {
		c := Charge{Account: a, Bytes: n}
		if p := b.pipes[direction{a.From, a.To}]; p != nil {
			c.Price = price(p, n)
		}
		out = append(out, c)
	}
	slices.SortFunc(out, func(x, y Charge) int {
		return cmp.Or(cmp.Compare(x.From, y.From), cmp.Compare(x.To, y.To), cmp.Compare(x.Stage, y.Stage), cmp.Compare(x.Team, y.Team))
	})
	return out
}

func price(p *pipe, bytes int64) float64 { return float64(bytes) / bytesPerGB * float64(p.price) }

// Question asks whether to move a KV cache to another region or to recompute it there.
type Question struct {
	From, To       string
	Rank           int
	Bytes          int64
	Recompute      time.Duration // time to recompute, with its queueing
	RecomputePrice float64       // in the unit of fleet.Link.PricePerGB
	Rest           time.Duration // time of what follows
	Deadline       time.Time
}

// Answer is the decision and what it was taken from.
type Answer struct {
	Move     bool
	MoveTime time.Duration // expected, behind the transfers that already wait
	Price    float64
}

// Move decides by the deadline first and the price second: a way that misses the deadline is not taken if the other one
// meets it; if both meet it the cheaper one is taken, at equal prices the faster one. If neither meets it the cache is not
// moved, since that would use the link for an answer that is late anyway.
func (b *Budget) Move(now time.Time, q Question) Answer {
	a := Answer{}
	if p := b.pipes[direction{q.From, q.To}]; p != nil {
		a.Price = price(p, q.Bytes)
		a.MoveTime = p.moveTime(now, q)
	}
	left := q.Deadline.Sub(now) - q.Rest
	moves, recomputes := a.MoveTime <= left, q.Recompute <= left
	switch {
	case !moves:
	case !recomputes:
		a.Move = true
	default:
		a.Move = a.Price < q.RecomputePrice || a.Price == q.RecomputePrice && a.MoveTime < q.Recompute
	}
	return a
}

// moveTime is the time to send what waits at the same or a more urgent rank and then the cache itself. Transfers of the
// same rank take turns, so at most as much of each as the cache's own size comes before its end.
func (p *pipe) moveTime(now time.Time, q Question) time.Duration {
	if p.shared.rate <= 0 {
		return 1<<63 - 1
	}
	bytes := float64(q.Bytes)
	for _, t := range p.waiting {
		switch {
		case t.send.Rank < q.Rank:
			bytes += float64(t.left)
		case t.send.Rank == q.Rank:
			bytes += float64(min(t.left, q.Bytes))
		}
	}
	p.shared.refill(now)
	bytes = max(bytes-p.shared.tokens, 0)
	const longest = 24 * time.Hour // keeps the conversion in range
	return time.Duration(min(bytes/p.shared.rate, longest.Seconds()) * float64(time.Second))
}
