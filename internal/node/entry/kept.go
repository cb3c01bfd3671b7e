package entry

import (
	"context"
	"net/http"
	"slices"
	"sync/atomic"
	"time"

	"github.com/berylledge/berylledge/internal/wire/memory"
)

// kept is the memory of an answer: its events while they are made, while callers read them, and while they are kept for callers that
// resume. The mutex of the node guards it, but for yields.
type kept struct {
	held    *memory.Reservation
	yields  atomic.Bool // the account needs the memory
	dropped bool
	readers []*http.ResponseController // callers that the answer is being sent to
}

const (
	// requestBytes is what a request takes beside its input.
	requestBytes = 4 << 10
	// inputFactor is what a byte of the input takes: itself, and the call of an upstream that holds it.
	inputFactor = 2
	// memoryRetry is what callers are told that were refused for want of memory: a second, in which others end.
	memoryRetry = time.Second
)

// reserve takes the memory of a request and its answer from the account and reports whether there was room.
func (n *Node) reserve(r *request) bool {
	r.input = n.o.Account.Reserve(memory.Upstream, nil)
	if !r.input.Cover(requestBytes + inputFactor*int64(len(r.run.Input))) {
		r.input.Release()
		return false
	}
	r.held = n.o.Account.Reserve(memory.Answer, nil)
	r.run.Held = r.held
	return true
}

// keepAnswer lets the memory of a finished answer yield. n.mu is held.
func (n *Node) keepAnswer(r *request) {
	_, bytes := r.run.Out.Len()
	most := int64(bytes) + requestBytes
	drop := func() { // under the lock of the account
		r.yields.Store(true)
		select {
		case n.yielded <- struct{}{}:
		default: // dropYielded looks at all answers
		}
	}
	r.held.Shrink(most)
	if !r.held.Cover(most) { // small answers were not counted before
		drop()
		return
	}
	r.held.Keep(drop)
}

// dropYielded forgets the answers whose memory others need, and ends the connections of callers that do not read them.
func (n *Node) dropYielded(ctx context.Context) {
	for {
		select {
		case <-n.yielded:
		case <-ctx.Done():
			return
		}
		n.mu.Lock()
		n.done = slices.DeleteFunc(n.done, func(r *request) bool {
			if !r.yields.Load() {
				return false
			}
			n.move(r, eventWindow)
			for _, c := range r.readers {
				_ = c.SetWriteDeadline(time.Unix(1, 0)) // if deadlines are not supported, the caller's own time ends it
			}
			return true
		})
		n.mu.Unlock()
	}
}

// dropAnswer gives the memory back once no caller reads the answer. n.mu is held.
func (n *Node) dropAnswer(r *request) {
	r.dropped = true
	if len(r.readers) == 0 {
		r.held.Release()
	}
}

// read keeps the memory of an answer while it is sent to a caller.
func (n *Node) read(r *request, w http.ResponseWriter) (done func()) {
	c := http.NewResponseController(w)
	n.mu.Lock()
	defer n.mu.Unlock()
	r.readers = append(r.readers, c)
	return func() {
		n.mu.Lock()
		defer n.mu.Unlock()
		r.readers = slices.DeleteFunc(r.readers, func(have *http.ResponseController) bool { return have == c })
		if r.dropped {
			n.dropAnswer(r)
		}
	}
}
