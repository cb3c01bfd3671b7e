// Package upcon sends HTTP/1.1 requests to upstreams over kept connections and says, for each failure, whether the upstream
// may have run the request.
//
// It exists beside net/http's Transport because that one sends some requests again by itself when a kept connection turns
// out to be closed, does not say whether a byte was written, and hands out an answer without a look at whose it is. Work
// that may run only once needs all three. The parsing of answers is net/http's.
//
// Usage:
//
//	p := upcon.New(upcon.Options{Clock: c, IDHeader: "Request-Id"})
//	resp, err := p.Send(ctx, upcon.Request{Address: "10.0.0.9:80", Method: "POST", Target: "/a?b", Host: "h", ID: id, ...})
//	var failed *upcon.SendError
//	if errors.As(err, &failed) && failed.Outcome == upcon.NotSent { ... }
//	io.Copy(dst, resp.Body)
//	resp.Body.Close()
//
// # Whose answer it is
//
// An answer must repeat the id of its request. Bytes that come without a request, after the end of an answer or under
// another id spoil the connection: it is closed, and no other request sees them. A connection is used again only after a
// whole answer whose length was given, and only if nothing has arrived on it since.
//
// # Early answers
//
// An upstream may answer before it has read the whole body. If the rest has not been written when the answer ends, the
// connection is closed, so that nothing else stands where the rest of the body is due. An answer that only the end of its
// connection ends is whole only if the body could be written: the kernel reports a reset once, and if the write gets that
// error, the read sees an ordinary end. An answer to HEAD never waits for the upload, because it has no body.
//
// # Framing
//
// net/http decides where an answer ends, except that an answer of HTTP/1.0 with a Transfer-Encoding is refused (RFC 9112,
// section 6.1): net/http would ignore that field and hand out the chunks with their sizes.
package upcon

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/berylledge/berylledge/internal/base/clock"
	"github.com/berylledge/berylledge/internal/wire/dial"
	"github.com/berylledge/berylledge/internal/wire/memory"
)

// Outcome says what became of a request that got no answer.
type Outcome uint8

// The outcomes.
const (
	NotSent  Outcome = iota + 1 // no byte reached a connection
	MaybeRan                    // the upstream may have run it, or still run it
)

// String names the outcome for log lines.
func (o Outcome) String() string {
	if o == NotSent {
		return "not_sent"
	}
	return "maybe_ran"
}

// SendError is a request without a usable answer.
type SendError struct {
	Address string
	Outcome Outcome
	Refused bool // the upstream's VM answered that nothing listens there
	Cause   error
}

func (e *SendError) Error() string {
	return fmt.Sprintf("upstream %s, %s: %v", e.Address, e.Outcome, e.Cause)
}

// Unwrap returns the cause.
func (e *SendError) Unwrap() error { return e.Cause }

// Causes of a SendError.
var (
	ErrForeign  = errors.New("the answer does not carry the id of the request")
	ErrAllInUse = errors.New("all connections to the upstream are in use")
	ErrReset    = errors.New("the connection ended before the request was written, so the answer may be truncated")
	ErrStatus   = errors.New("the status of the answer is not between 100 and 599, or changes the protocol")
	ErrStalled  = errors.New("the upstream did not take the body before others needed the memory")
	ErrFraming  = errors.New("the answer has chunks, which its version of the protocol does not have")
)

// Options configure a Pool.
type Options struct {
	Clock       clock.Clock
	IDHeader    string        // header that carries a request's id and is repeated in its answer
	DialTimeout time.Duration // 0 means DefaultDialTimeout
	IdleFor     time.Duration // longest time that a kept connection stays unused; 0 means DefaultIdleFor
	// Account counts the heads of answers with what the process holds besides; nil: no bound for all together.
	Account *memory.Account
}

// Defaults of Options.
const (
	DefaultDialTimeout = time.Second
	DefaultIdleFor     = 4 * time.Second
)

const (
	// keepAliveMargin is how long before the time that the upstream states a connection is given up, so that a request
	// does not cross its close.
	keepAliveMargin = time.Second
	// asideBytes is the size from which a body is written beside the reading of the answer.
	asideBytes = 16 << 10
)

// Pool keeps connections. It is safe for concurrent use.
type Pool struct {
	o      Options
	cancel context.CancelFunc
	wg     sync.WaitGroup

	mu     sync.Mutex
	hosts  map[string]*host
	closed bool
	dialed int64
}

type host struct {
	idle []*conn // last used last
	open int
}

// New returns a pool without connections.
func New(o Options) *Pool {
	if o.DialTimeout == 0 {
		o.DialTimeout = DefaultDialTimeout
	}
	if o.IdleFor == 0 {
		o.IdleFor = DefaultIdleFor
	}
	p := &Pool{o: o, hosts: map[string]*host{}}
	ctx, cancel := context.WithCancel(context.Background())
	p.cancel = cancel
	if o.Account != nil {
		short := make(chan struct{}, 1)
		o.Account.OnShort(func() {
			select {
			case short <- struct{}{}:
			default: // it is being done
			}
		})
		p.wg.Go(func() { p.closeWhenShort(ctx, short) })
	}
	return p
}

// closeWhenShort gives up kept connections when the process needs their descriptors.
func (p *Pool) closeWhenShort(ctx context.Context, short <-chan struct{}) {
	for {
		select {
		case <-short:
			p.closeIdle()
		case <-ctx.Done():
			return
		}
	}
}

// Request is a request to one upstream.
type Request struct {
	Address string
	Method  string
	Target  string // path and query as they are sent
	Host    string
	Header  http.Header
	Body    []byte
	Trailer http.Header // sent after the body, which then goes in chunks
	HasBody bool        // a length is sent even if the body is empty
	ID      string      // must be repeated in the answer; empty: not checked
	Limit   int         // most connections to the address; 0: no limit
	// Hold keeps the connection from other requests until Body is closed, so that an answer whose content shows that it belongs to
	// another request can be refused with Response.Discard.
	Hold bool
	// NewConn lets no kept connection carry the request: one on which it was answered before may bring that answer once more.
	NewConn bool
	// Held is the memory of Body, which yields while the upstream does not take it; nil: it does not yield.
	Held *memory.Reservation
}

// Response is an answer whose head has been read. Body must be closed; it returns io.EOF only after a whole body, and
// ErrReset if the connection was reset although the reads saw no error.
type Response struct {
	Status int
	Header http.Header
	Length int64 // of the body, -1 if not known
	// Unframed is true if only the end of the connection ends the body.
	Unframed bool
	Body     io.ReadCloser
	Reused   bool // it came over a kept connection

	head *http.Response
}

// Discard makes Body.Close close the connection of a request with Hold.
func (r *Response) Discard() { r.Body.(*body).reusable = false }

// Trailer returns the fields that came after the body, once the body has been read whole.
func (r *Response) Trailer() http.Header { return r.head.Trailer }

// Send sends a request and reads the head of its answer. When ctx ends the connection is closed, also while the body is
// being read. Errors: *SendError.
func (p *Pool) Send(ctx context.Context, r Request) (*Response, error) {
	c, reused, err := p.take(ctx, &r)
	if err != nil {
		return nil, &SendError{r.Address, NotSent, errors.Is(err, syscall.ECONNREFUSED), err}
	}
	stop := context.AfterFunc(ctx, c.abort)
	c.stop = stop
	resp, err := c.exchange(r, p.o.IDHeader)
	if err == nil {
		resp.Reused = reused
		return resp, nil
	}
	c.close()
	outcome := MaybeRan
	if !c.wrote {
		outcome = NotSent
	}
	if ctx.Err() != nil {
		err = errors.CombineErrors(ctx.Err(), err)
	}
	return nil, &SendError{r.Address, outcome, false, err}
}

// Close closes the connections that are not in use, and later ones when their requests end.
func (p *Pool) Close() {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	p.cancel()
	p.wg.Wait()
	p.closeIdle()
}

// closeIdle closes the connections that are not in use.
func (p *Pool) closeIdle() {
	p.mu.Lock()
	var all []*conn
	for _, h := range p.hosts {
		all = append(all, h.idle...)
		h.idle = nil
	}
	p.mu.Unlock()
	for _, c := range all {
		c.close()
	}
}

// Sweep closes connections that have been idle for too long.
func (p *Pool) Sweep() {
	now := p.o.Clock.Now()
	p.mu.Lock()
	var old []*conn
	for address, h := range p.hosts {
		kept := h.idle[:0]
		for _, c := range h.idle {
			if now.After(c.until) {
				old = append(old, c)
				continue
			}
			kept = append(kept, c)
		}
		h.idle = kept
		if h.open == 0 {
			delete(p.hosts, address)
		}
	}
	p.mu.Unlock()
	for _, c := range old {
		c.close()
	}
}

// Dialed returns the number of connections made so far.
func (p *Pool) Dialed() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.dialed
}

func (p *Pool) host(address string) *host {
	h := p.hosts[address]
	if h == nil {
		h = &host{}
		p.hosts[address] = h
	}
	return h
}

// take returns a kept connection that is still clean, or a new one.
func (p *Pool) take(ctx context.Context, r *Request) (c *conn, reused bool, err error) {
	if r.NewConn {
		p.makeRoom(r.Address, r.Limit)
	} else if c = p.takeClean(r.Address); c != nil {
		return c, true, nil
	}
	c, err = p.open(ctx, r.Address, r.Limit)
	return c, false, err
}

// makeRoom closes a kept connection if there may be no further one.
func (p *Pool) makeRoom(address string, limit int) {
	p.mu.Lock()
	full := limit > 0 && p.host(address).open >= limit
	p.mu.Unlock()
	if !full {
		return
	}
	if c := p.takeIdle(address); c != nil {
		c.close()
	}
}

// takeClean returns a kept connection that is still clean, or nil.
func (p *Pool) takeClean(address string) *conn {
	for {
		c := p.takeIdle(address)
		if c == nil || p.o.Clock.Now().Before(c.until) && c.clean() {
			return c
		}
		c.close()
	}
}

// open makes a new connection.
func (p *Pool) open(ctx context.Context, address string, limit int) (*conn, error) {
	p.mu.Lock()
	h := p.host(address)
	if limit > 0 && h.open >= limit {
		p.mu.Unlock()
		return nil, ErrAllInUse
	}
	h.open++
	p.dialed++
	p.mu.Unlock()
	p.o.Account.Outgoing(1)
	d := dial.Dialer{Clock: p.o.Clock, Timeout: p.o.DialTimeout, KeepAlive: probes}
	nc, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		p.leave(h)
		return nil, err
	}
	in := &meter{from: nc, left: unlimited, held: p.o.Account.Reserve(memory.Answer, nil)}
	return &conn{pool: p, host: h, address: address, nc: nc, in: in, br: bufio.NewReaderSize(in, readBuffer)}, nil
}

// leave counts the end of a connection.
func (p *Pool) leave(h *host) {
	p.mu.Lock()
	h.open--
	p.mu.Unlock()
	p.o.Account.Outgoing(-1)
}

const readBuffer = 4 << 10

// probes find connections that have gone silent without a reset, within five seconds.
var probes = net.KeepAliveConfig{Enable: true, Idle: 2 * time.Second, Interval: time.Second, Count: 3}

func (p *Pool) takeIdle(address string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	h := p.hosts[address]
	if h == nil || len(h.idle) == 0 {
		return nil
	}
	c := h.idle[len(h.idle)-1]
	h.idle = h.idle[:len(h.idle)-1]
	return c
}
