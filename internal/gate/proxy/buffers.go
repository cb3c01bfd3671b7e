package proxy

import (
	"bytes"
	"io"
	"sync/atomic"

	"github.com/cockroachdb/errors"

	"github.com/berylledge/berylledge/internal/wire/memory"
)

// Limits of the unfinished answers in memory. Upstreams in trouble may send bytes without end on all connections at the same
// time, and the process is ended when its VM has no memory left.
const (
	maxBufferedBytes  = 1 << 20  // of one body; a longer one is forwarded as it arrives and cannot be retried
	maxEventBytes     = 1 << 20  // of one incomplete event
	ownBufferBytes    = 64 << 10 // that each request may hold without a reservation
	bufferStepBytes   = 64 << 10 // that are reserved at a time
	sharedBufferBytes = 16 << 20 // that all requests of a node may reserve together
)

var errBuffersInUse = errors.New("other unfinished answers hold the memory for this event")

// bufferBudget counts the reserved bytes of all requests of a node that does not know the memory of its machine.
type bufferBudget struct{ reserved atomic.Int64 }

// reservation is the share of one request. It belongs to one goroutine. On a machine of known size the bytes are part of the account of
// the process, and only memory.FreeBytes need no reservation.
type reservation struct {
	budget  *bufferBudget
	account *memory.Account // nil: the size is not known
	held    *memory.Reservation
	bytes   int64
}

// own returns the bytes that need no reservation.
func (r *reservation) own() int64 {
	if r.account != nil {
		return memory.FreeBytes
	}
	return ownBufferBytes
}

// grow reserves one more step and reports whether there was room for it.
func (r *reservation) grow() bool {
	if r.account != nil {
		return r.growAccount(bufferStepBytes)
	}
	if r.budget.reserved.Add(bufferStepBytes) > sharedBufferBytes {
		r.budget.reserved.Add(-bufferStepBytes)
		return false
	}
	r.bytes += bufferStepBytes
	return true
}

func (r *reservation) growAccount(n int64) bool {
	if r.held == nil {
		r.held = r.account.Reserve(memory.Answer, nil)
	}
	if !r.held.Cover(r.bytes + n) {
		return false
	}
	r.bytes += n
	return true
}

// cover reserves what a buffer of n bytes needs and reports whether there was room for it.
func (r *reservation) cover(n int) bool {
	for int64(n) > r.own()+r.bytes {
		if !r.grow() {
			return false
		}
	}
	return true
}

// release gives back all reserved bytes.
func (r *reservation) release() {
	if r.account != nil {
		r.held.Release()
		r.held, r.bytes = nil, 0
		return
	}
	r.budget.reserved.Add(-r.bytes)
	r.bytes = 0
}

// readBody reads the body of a response as far as it may be held in memory. If there is more, whole is false.
func (r *reservation) readBody(resp *response) (body []byte, whole bool, err error) {
	var b bytes.Buffer
	held := r.own()
	if small := min(resp.Length, ownBufferBytes); r.account != nil && small > held {
		// A known length is reserved at once.
		if !r.growAccount(small - held) {
			return nil, false, nil
		}
		held = small
	}
	if resp.Length > 0 {
		b.Grow(int(min(resp.Length, held)) + bytes.MinRead)
	}
	for {
		_, err = io.CopyN(&b, resp.Body, held-int64(b.Len()))
		if errors.Is(err, io.EOF) {
			return b.Bytes(), true, nil
		}
		if err != nil || held >= maxBufferedBytes || !r.grow() {
			return b.Bytes(), false, err
		}
		held += bufferStepBytes
	}
}
