package memory

import (
	"time"
)

// Reservation is the part of one holder. Its methods may be called by several goroutines.
type Reservation struct {
	a       *Account
	kind    Kind
	side    Side
	bytes   int64
	since   time.Time // of the last growth
	cut     func()
	wasCut  bool
	ended   bool
	isBusy  bool
	counted bool // as a connection
}

// Reserve returns an empty reservation that yields when the account is full: cut is then called, once, under the lock of the account. It
// must make the holder release the reservation soon, must not block and must not call the account. With cut nil it does not yield.
func (a *Account) Reserve(kind Kind, cut func()) *Reservation {
	if a == nil {
		return nil
	}
	r := &Reservation{a: a, kind: kind, cut: cut, since: a.o.Clock.Now()}
	if cut != nil {
		a.mu.Lock()
		a.yielding[r] = true
		a.mu.Unlock()
	}
	return r
}

// Connect returns the reservation of a new connection, or ErrFull. Idle connections yield to it.
func (a *Account) Connect(side Side, cut func()) (*Reservation, error) {
	if a == nil {
		return nil, nil
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	r := &Reservation{a: a, kind: Connection, side: side, cut: cut, since: a.o.Clock.Now()}
	if !a.makeFiles(a.files(side)-1) || !a.makeRoom(r, IdleBytes) {
		a.refusals[Connection]++
		return nil, ErrFull
	}
	a.add(r, IdleBytes)
	a.open++
	r.counted = true
	a.yielding[r] = true
	return r, nil
}

// Busy says that the connection has a request, which makes it keep what it holds, or is idle again.
func (r *Reservation) Busy(on bool) {
	if r == nil {
		return
	}
	a := r.a
	a.mu.Lock()
	defer a.mu.Unlock()
	if r.ended || r.wasCut || r.isBusy == on {
		return
	}
	r.isBusy = on
	r.since = a.o.Clock.Now()
	if !on {
		a.endBusy(r)
		a.add(r, IdleBytes-r.bytes)
		a.yielding[r] = true
		return
	}
	delete(a.yielding, r)
	a.busy++
	// A request that has arrived is not refused for these; others yield instead.
	if r.side == Callers {
		a.sending++
		_ = a.makeFiles(a.files(Operators))
	}
	_ = a.makeRoom(r, BusyBytes-IdleBytes)
	a.add(r, BusyBytes-IdleBytes)
}

// Cover reserves up to n bytes in all and reports whether the account had them and the holder was not cut.
func (r *Reservation) Cover(n int64) bool {
	if r == nil {
		return true
	}
	a := r.a
	a.mu.Lock()
	defer a.mu.Unlock()
	if r.wasCut || r.ended {
		return false
	}
	need := n - r.bytes
	if need <= 0 {
		return true
	}
	if !a.makeRoom(r, need) {
		a.refusals[r.kind]++
		return false
	}
	a.add(r, need)
	r.since = a.o.Clock.Now()
	return true
}

// Grow reserves n more bytes.
func (r *Reservation) Grow(n int64) bool { return r == nil || r.Cover(r.Held()+n) }

// Held returns the bytes of the reservation.
func (r *Reservation) Held() int64 {
	if r == nil {
		return 0
	}
	r.a.mu.Lock()
	defer r.a.mu.Unlock()
	return r.bytes
}

// WasCut reports whether the holder was told to end.
func (r *Reservation) WasCut() bool {
	if r == nil {
		return false
	}
	r.a.mu.Lock()
	defer r.a.mu.Unlock()
	return r.wasCut
}

// Finish says that what is held is whole: it no longer yields and counts under another kind. It returns false if it was cut before.
func (r *Reservation) Finish(kind Kind) bool {
	if r == nil {
		return true
	}
	a := r.a
	a.mu.Lock()
	defer a.mu.Unlock()
	if r.wasCut || r.ended {
		return false
	}
	delete(a.yielding, r)
	a.byKind[r.kind] -= r.bytes
	a.byKind[kind] += r.bytes
	r.kind = kind
	return true
}

// Keep says that what is held is no longer in use and kept only in case that somebody asks for it: it yields from now on, with cut as in
// Reserve.
func (r *Reservation) Keep(cut func()) {
	if r == nil {
		return
	}
	a := r.a
	a.mu.Lock()
	defer a.mu.Unlock()
	r.cut = cut
	r.yieldFrom(a.o.Clock.Now())
}

// Shrink gives back all but n bytes.
func (r *Reservation) Shrink(n int64) {
	if r == nil {
		return
	}
	r.a.mu.Lock()
	defer r.a.mu.Unlock()
	if !r.ended && !r.wasCut && r.bytes > n {
		r.a.add(r, n-r.bytes)
	}
}

// Release ends the reservation. Later calls have no effect.
func (r *Reservation) Release() {
	if r == nil {
		return
	}
	a := r.a
	a.mu.Lock()
	defer a.mu.Unlock()
	if r.ended {
		return
	}
	r.ended = true
	delete(a.yielding, r)
	if r.wasCut {
		a.cutting -= r.bytes
	} else {
		a.add(r, -r.bytes)
	}
	if r.counted && !r.wasCut {
		a.open--
	}
	if r.isBusy {
		a.endBusy(r)
	}
}

func (a *Account) endBusy(r *Reservation) {
	a.busy--
	if r.side == Callers {
		a.sending--
	}
}

func (a *Account) add(r *Reservation, n int64) {
	r.bytes += n
	a.held += n
	a.byKind[r.kind] += n
}
