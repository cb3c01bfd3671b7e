package memory

import "time"

// Await says that a connection with a request waits for its peer to send the rest of the body. Until Arrived it yields with all that it
// holds, the head too: a body that never arrives must not keep them.
func (r *Reservation) Await() {
	if r == nil {
		return
	}
	r.a.mu.Lock()
	defer r.a.mu.Unlock()
	if r.isBusy {
		r.yieldFrom(r.a.o.Clock.Now())
	}
}

// Stall says that what is held waits for its peer to take it. Until Arrived it yields once that has taken the given time. cut is as in
// Reserve.
func (r *Reservation) Stall(after time.Duration, cut func()) {
	if r == nil {
		return
	}
	r.a.mu.Lock()
	defer r.a.mu.Unlock()
	r.cut = cut
	r.yieldFrom(r.a.o.Clock.Now().Add(after))
}

// yieldFrom lets a holder yield from a time on. The lock is held.
func (r *Reservation) yieldFrom(at time.Time) {
	if !r.ended && !r.wasCut {
		r.since = at
		r.a.yielding[r] = true
	}
}

// Arrived ends an Await or a Stall. It returns false if the holder was cut.
func (r *Reservation) Arrived() bool {
	if r == nil {
		return true
	}
	r.a.mu.Lock()
	defer r.a.mu.Unlock()
	if r.isBusy || !r.counted {
		delete(r.a.yielding, r)
	}
	return !r.wasCut
}
