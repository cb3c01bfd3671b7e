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
	"sync"

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
	// baseBytes is what a process holds without any load, with the tables of a large fleet.
	baseBytes = 40_000_000
	// runtimeBytes is resident memory that the runtime's own limit does not cover, mapped code and thread stacks, and by how much a burst
	// of large bodies outruns the collector.
	runtimeBytes = 32_000_000
	// countedPart of what is left beside the base may be reserved. The rest is for garbage between two collections and for what is not
	// counted.
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
