package upcon

import (
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// body reads an answer and gives the connection back at its end.
type body struct {
	c        *conn
	in       io.ReadCloser
	reusable bool
	unframed bool // the end of the connection ends it
	keep     time.Duration
	hold     bool // the connection is given back by Close
	ended    bool
	failed   error // of a read; net/http reports an ordinary end to a read after some errors
}

func (b *body) Read(p []byte) (int, error) {
	switch {
	case b.failed != nil:
		return 0, b.failed
	case b.ended:
		return 0, io.EOF
	}
	n, err := b.in.Read(p)
	if errors.Is(err, io.EOF) && b.unframed && !b.requestWritten() {
		err = ErrReset
	}
	if !errors.Is(err, io.EOF) {
		b.failed = err
		return n, err
	}
	b.ended = true
	if !b.hold {
		b.finish()
	}
	return n, io.EOF
}

// requestWritten waits for the end of the request's write, which ends at the latest with the request's context, and reports whether
// it succeeded.
func (b *body) requestWritten() bool {
	err := <-b.c.written
	b.c.written <- err
	return err == nil
}

// Close gives up the rest of the answer, and the connection with it.
func (b *body) Close() error {
	switch {
	case !b.ended:
		b.ended = true
		b.c.stop()
		b.c.close()
	case b.hold:
		b.finish()
	}
	b.hold = false
	return nil
}

func (b *body) finish() {
	c := b.c
	stopped := c.stop()
	select {
	case err := <-c.written:
		b.reusable = b.reusable && err == nil
	default:
		b.reusable = false
	}
	if !stopped || !b.reusable || b.keep <= 0 || c.br.Buffered() > 0 {
		c.close()
		return
	}
	c.in.release()
	p := c.pool
	c.until = p.o.Clock.Now().Add(b.keep)
	p.mu.Lock()
	closed := p.closed
	if !closed {
		c.host.idle = append(c.host.idle, c)
	}
	p.mu.Unlock()
	if closed {
		c.close()
	}
}

// keepFor returns how long a connection may stay idle after an answer.
func keepFor(h http.Header, most time.Duration) time.Duration {
	for _, part := range strings.Split(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if seconds, err := strconv.Atoi(value); err == nil && strings.EqualFold(name, "timeout") {
			most = min(most, time.Duration(seconds)*time.Second-keepAliveMargin)
		}
	}
	return most
}
