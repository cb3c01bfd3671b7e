package httpd

import (
	"io"
	"net/http"
	"os"

	"github.com/cockroachdb/errors"

	"github.com/berylledge/berylledge/internal/wire/memory"
)

// countedBody reserves memory for a body while a handler reads and decodes it.
type countedBody struct {
	io.ReadCloser
	guard *Guard
	held  *memory.Reservation
	w     http.ResponseWriter
	peer  string
	bytes int64
	ended bool
}

const (
	// wholeFactor is what a byte takes that is read whole and then decoded.
	wholeFactor = 2
	// JSONFactor is what a byte takes that ReadJSON decodes: its decoder doubles a buffer until it holds the whole value, beside the one
	// before and the decoded value.
	JSONFactor = 4
	bodyStep   = 64 << 10
)

// Read refuses the request when the account has no room, which the handler sees as an error of the body.
func (b *countedBody) Read(p []byte) (int, error) {
	if b.ended {
		return 0, memory.ErrFull
	}
	n, err := b.ReadCloser.Read(p)
	b.bytes += int64(n)
	steps := (b.bytes*b.guard.bodyFactor() + bodyStep - 1) / bodyStep
	late := errors.Is(err, os.ErrDeadlineExceeded) // or the connection yields
	if !late && (b.bytes <= memory.FreeBytes || b.held.Cover(steps*bodyStep)) {
		whole := errors.Is(err, io.EOF) && b.held.Finish(memory.Body)
		if err == nil || whole || !b.held.WasCut() {
			return n, err
		}
	}
	b.ended = true
	limit, status := LimitBodies, http.StatusServiceUnavailable
	if late || b.held.WasCut() {
		limit, status = LimitBody, http.StatusRequestTimeout
	}
	// Written here, since handlers answer bodies that they cannot read with statuses that say something else.
	b.w.Header().Set("Connection", "close")
	b.w.Header().Set("Retry-After", RetryAfter)
	b.w.Header().Set("Content-Length", "0")
	b.w.WriteHeader(status)
	b.guard.Report(limit, b.peer, b.held.Held())
	return 0, memory.ErrFull
}

func (g *Guard) bodyFactor() int64 {
	if g.BodyFactor > 0 {
		return g.BodyFactor
	}
	return wholeFactor
}

// ReleaseBody gives back the memory of a body that its handler has decoded, of a request that goes on.
func ReleaseBody(r *http.Request) {
	if b, ok := r.Body.(*countedBody); ok {
		b.held.Release()
	}
}

// withBody returns a copy of the request with another body. The request of net/http keeps its own, by whose state it decides whether the
// connection may go on: what follows a malformed trailer must not be taken for the next request.
func withBody(r *http.Request, body io.ReadCloser) *http.Request {
	other := *r
	other.Body = body
	return &other
}

// countBody returns the request with a body that yields to others.
func (g *Guard) countBody(w http.ResponseWriter, r *http.Request) (counted *http.Request, release func()) {
	if g.Account == nil || r.Body == nil || r.Body == http.NoBody {
		return r, func() {}
	}
	control := http.NewResponseController(w)
	held := g.Account.Reserve(memory.Body, func() { _ = control.SetReadDeadline(past) })
	return withBody(r, &countedBody{ReadCloser: r.Body, guard: g, held: held, w: w, peer: r.RemoteAddr}), held.Release
}
