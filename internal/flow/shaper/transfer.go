package shaper

import (
	"cmp"
	"slices"
	"time"
)

// Account identifies what traffic is charged to.
type Account struct{ From, To, Stage, Team string }

// Charge is the total traffic of one account since the start.
type Charge struct {
	Account
	Bytes int64
	Price float64 // at the current price of the link, in the unit of fleet.Link.PricePerGB
}

const bytesPerGB = 1e9

// Charges returns the charges of all accounts, sorted by account.
func (s *Shaper) Charges() []Charge {
	out := make([]Charge, 0, len(s.chargedBytes))
	for a, n := range s.chargedBytes {
		c := Charge{Account: a, Bytes: n}
		if l := s.links[direction{a.From, a.To}]; l != nil {
			c.Price = priceOf(l, n)
		}
		out = append(out, c)
	}
	slices.SortFunc(out, func(x, y Charge) int {
		return cmp.Or(cmp.Compare(x.From, y.From), cmp.Compare(x.To, y.To), cmp.Compare(x.Stage, y.Stage), cmp.Compare(x.Team, y.Team))
	})
	return out
}

func priceOf(l *linkState, bytes int64) float64 {
	return float64(bytes) / bytesPerGB * float64(l.pricePerGB)
}

// MoveQuery describes a KV cache that can be moved to another region or recomputed there.
type MoveQuery struct {
	From, To       string
	Rank           int
	Bytes          int64
	Recompute      time.Duration // time to recompute, including queueing
	RecomputePrice float64       // in the unit of fleet.Link.PricePerGB
	TimeAfter      time.Duration // time of the work that follows
	Deadline       time.Time
}

// MoveDecision is the decision and the estimates behind it.
type MoveDecision struct {
	Move     bool
	MoveTime time.Duration // expected, including the transfers that already wait
	Price    float64
}

// DecideMove decides whether to move a cache rather than recompute it. If only one option meets the deadline, it is chosen.
// If both do, the cheaper one is chosen, at equal prices the faster one. If neither does, the cache is not
// moved, since that would use the link for a response that is late anyway.
func (s *Shaper) DecideMove(now time.Time, q MoveQuery) MoveDecision {
	d := MoveDecision{}
	if l := s.links[direction{q.From, q.To}]; l != nil {
		d.Price = priceOf(l, q.Bytes)
		d.MoveTime = l.moveTime(now, q)
	}
	left := q.Deadline.Sub(now) - q.TimeAfter
	moveInTime, recomputeInTime := d.MoveTime <= left, q.Recompute <= left
	switch {
	case !moveInTime:
	case !recomputeInTime:
		d.Move = true
	default:
		d.Move = d.Price < q.RecomputePrice || d.Price == q.RecomputePrice && d.MoveTime < q.Recompute
	}
	return d
}

// moveTime returns the time to send the waiting transfers of the same or a more urgent rank and then the cache. Transfers of
// the same rank alternate, so at most the cache's own size of each is sent before it completes.
func (l *linkState) moveTime(now time.Time, q MoveQuery) time.Duration {
	if l.shared.rate <= 0 {
		return 1<<63 - 1
	}
	bytes := float64(q.Bytes)
	for _, t := range l.queue {
		switch {
		case t.request.Rank < q.Rank:
			bytes += float64(t.bytesLeft)
		case t.request.Rank == q.Rank:
			bytes += float64(min(t.bytesLeft, q.Bytes))
		}
	}
	l.shared.refill(now)
	bytes = max(bytes-l.shared.tokens, 0)
	const maxMoveTime = 24 * time.Hour // avoids overflow in the conversion
	return time.Duration(min(bytes/l.shared.rate, maxMoveTime.Seconds()) * float64(time.Second))
}
