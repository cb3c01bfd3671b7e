package memory

import (
	"time"
)

// share is the part of the account that a kind may have at most, so that no kind shuts out the others.
func (a *Account) share(k Kind) int64 {
	switch k {
	case Answer:
		return a.o.Bytes / 2
	case Body, Upstream, Message: // the smallest VM can read the largest message, of 16 MiB
		return a.o.Bytes - a.o.Bytes/4
	case Connection, kinds:
	}
	return a.o.Bytes
}

// sharePool returns the kind whose share a kind uses: bodies that became whole stay in that of bodies.
func sharePool(k Kind) Kind {
	if k == Upstream {
		return Body
	}
	return k
}

// used returns what the kinds with the share of this one have.
func (a *Account) used(k Kind) (n int64) {
	for other := range kinds {
		if sharePool(other) == sharePool(k) {
			n += a.byKind[other]
		}
	}
	return n
}

// makeRoom cuts holders until r may have n more bytes. It returns false if r itself is the one that should yield.
func (a *Account) makeRoom(r *Reservation, n int64) bool {
	if a.o.Bytes <= 0 {
		return true
	}
	limit := a.o.Bytes
	large := r.bytes+n >= largeBytes
	if large {
		limit -= limit / smallPart
	}
	now := a.o.Clock.Now()
	for {
		tooMuch := a.held+n > limit
		ofKind := large && a.used(r.kind)+n > a.share(r.kind)
		if !tooMuch && !ofKind {
			return true
		}
		// The end of one that holds nothing makes no room.
		v, weight := a.weakest(func(v *Reservation) bool {
			return v != r && v.bytes > 0 && (tooMuch || sharePool(v.kind) == sharePool(r.kind))
		})
		if v == nil || large && a.cutting > 0 && a.cutting+v.bytes > a.o.Bytes/cuttingPart {
			return false
		}
		if _, yields := a.yielding[r]; yields && weight < weigh(r.bytes+n, r.since, now) {
			return false
		}
		a.end(v)
	}
}

// weigh returns how soon a holder yields: the bytes that it holds times the seconds since it has last grown. A caller that is still
// sending is not cut for those that stand still.
func weigh(bytes int64, since, now time.Time) float64 {
	return float64(bytes) * (1 + max(now.Sub(since).Seconds(), 0))
}

// weakest returns the holder that yields first, of those that fit.
func (a *Account) weakest(fits func(*Reservation) bool) (*Reservation, float64) {
	now := a.o.Clock.Now()
	var found *Reservation
	var most float64
	for r := range a.yielding {
		w := weigh(r.bytes, r.since, now)
		// Equal weights are ordered by age, so that the choice does not depend on the order of the map.
		if !r.since.After(now) && fits(r) && (found == nil || w > most || w == most && r.since.Before(found.since)) {
			found, most = r, w
		}
	}
	return found, most
}

// end cuts a holder.
func (a *Account) end(r *Reservation) {
	delete(a.yielding, r)
	r.wasCut = true
	a.cuts[r.kind]++
	a.held -= r.bytes
	a.byKind[r.kind] -= r.bytes
	a.cutting += r.bytes
	if r.counted {
		a.open--
	}
	r.cut()
}
