// Package memory keeps one account of the memory that a process holds for others: connections, heads, bodies, answers and what waits
// for an upstream. Each holder takes a reservation. When the account is full, unfinished holders yield to it: they are told to end
// by their cut function, the largest and longest idle first.
//
// The account is a plain structure with a lock. It starts no goroutine and knows no socket.
//
// Usage:
//
//	a := memory.New(memory.Options{Clock: clock.Real(), Bytes: memory.Bound(144_000_000), Descriptors: 3075})
//	r, err := a.Reserve(memory.Body, func() { conn.SetReadDeadline(past) })
//	defer r.Release()
//	body, err := r.ReadAll(in, length) // ErrFull, or the error of in after the cut
//	r.Finish(memory.Upstream)          // it no longer yields
//
// A nil *Account and a nil *Reservation have no bound.
package memory

import (
	"errors"
	"os"
	"runtime/debug"
	"sync"
	"time"

	"github.com/berylledge/berylledge/internal/base/clock"
)

// Kind is what memory is held for.
type Kind int

// Kinds of holders.
const (
	Connection Kind = iota // of callers, operators and other processes, with the head of the present request
	Body                   // of a request, unfinished
	Upstream               // body of a request that waits for an upstream or is sent to one
	Answer                 // of an upstream
	Message                // of another process
	kinds
)

var kindNames = [kinds]string{"connection", "body", "upstream", "answer", "message"}

func (k Kind) String() string { return kindNames[k] }

// Kinds returns all kinds.
func Kinds() []Kind { return []Kind{Connection, Body, Upstream, Answer, Message} }

const (
	// baseBytes is what a process holds without any load: 29 MB measured for an entry node and a control node, and the tables of a
	// large fleet.
	baseBytes = 40_000_000
	// runtimeBytes is resident memory that the runtime's own limit does not cover, mapped code and thread stacks, and by how much a burst
	// of large bodies outruns the collector: with 24 MB a crowd of 100 bodies reached 98 MB of 96 MB.
	runtimeBytes = 32_000_000
	// countedPart of what is left beside the base may be reserved. The rest is for garbage between two collections and for what is not
	// counted; with half of it the same crowd reached 98 MB of 96 MB.
	countedPart = 0.4
	// FreeBytes is what a holder may use without a reservation, because the charge for its connection includes it.
	FreeBytes = 4 << 10
	// IdleBytes is charged for a connection: its goroutine and the buffers of net/http.
	IdleBytes = 16 << 10
	// BusyBytes is charged for a connection with a request, with the buffers of the exchange with an upstream.
	BusyBytes = 48 << 10
	// headLineBytes and headByteFactor are what a head takes: net/http needs some 200 bytes for a line of four.
	headLineBytes  = 300
	headByteFactor = 2
	// largeBytes is the size from which a holder may not use the last eighth of the account, so that ordinary requests are served
	// beside a crowd of large ones.
	largeBytes = 64 << 10
	smallPart  = 8
	// cuttingPart is the part of the account that holders which were told to end may still have, beyond its bound. One that is larger may
	// end alone.
	cuttingPart = 4
)

// Bound returns the bytes of an account for a process with that much memory.
func Bound(machine int64) int64 {
	return max(int64(float64(machine-baseBytes)*countedPart), machine/8)
}

// RuntimeLimit returns the limit for debug.SetMemoryLimit.
func RuntimeLimit(machine int64) int64 { return max(machine-runtimeBytes, machine/2) }

// OfRuntimeLimit returns the memory for which RuntimeLimit returns a limit.
func OfRuntimeLimit(limit int64) int64 { return min(limit+runtimeBytes, 2*limit) }

// LimitRuntime makes the collector work harder before the memory of the machine is used up. It changes nothing if that is not known or the
// environment sets GOMEMLIMIT.
func LimitRuntime(machine int64) {
	if machine > 0 && os.Getenv("GOMEMLIMIT") == "" {
		debug.SetMemoryLimit(RuntimeLimit(machine))
	}
}

// HeadCost returns what a head takes once it is parsed: its lines as strings and entries of a map, and their copy for the other side.
func HeadCost(bytes, lines int) int64 { return int64(bytes*headByteFactor + lines*headLineBytes) }

// ErrFull says that the account has no room for a holder.
var ErrFull = errors.New("the memory for requests is in use")

// Options configure an Account.
type Options struct {
	Clock       clock.Clock
	Bytes       int64 // 0: no bound
	Descriptors int   // 0: no bound
}

// Account counts reservations. It is safe for concurrent use.
type Account struct {
	o Options

	mu       sync.Mutex
	held     int64 // by all that were not cut
	cutting  int64 // by those that were cut and have not released it yet
	byKind   [kinds]int64
	open     int // connections
	busy     int // of which with a request
	sending  int // of which of callers; each may need a connection to an upstream
	outgoing int // connections to upstreams, with those that are kept
	short    func()
	yielding map[*Reservation]bool
	cuts     [kinds]int64
	refusals [kinds]int64
}

// New returns an empty account.
func New(o Options) *Account { return &Account{o: o, yielding: map[*Reservation]bool{}} }

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

// Usage is the state of an account.
type Usage struct {
	Held, Bound int64
	Open, Busy  int // connections
	Outgoing    int // connections to upstreams
	Kinds       []KindUsage
}

// KindUsage is the part of one kind.
type KindUsage struct {
	Kind     Kind
	Bytes    int64
	Cuts     int64 // holders that were told to end
	Refusals int64 // holders for which there was no room
}

// Usage returns the present state; of no account, zero values.
func (a *Account) Usage() Usage {
	if a == nil {
		return Usage{}
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	u := Usage{Held: a.held + a.cutting, Bound: a.o.Bytes, Open: a.open, Busy: a.busy, Outgoing: a.outgoing}
	for _, k := range Kinds() {
		u.Kinds = append(u.Kinds, KindUsage{k, a.byKind[k], a.cuts[k], a.refusals[k]})
	}
	return u
}
