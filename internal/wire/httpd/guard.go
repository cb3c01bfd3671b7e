package httpd

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/berylledge/berylledge/internal/base/clock"
	"github.com/berylledge/berylledge/internal/wire/memory"
)

// Limits of a head. Within them net/http reads lines for as long as the account has memory for them.
const (
	// sentFactor and headSlack leave room for what the configured size does not count: colons, white space and line ends. The shortest
	// line, a name of one letter, is sent as four bytes.
	sentFactor = 4
	headSlack  = 8 << 10
	// maxHeadLines bounds a head where no account of memory exists.
	maxHeadLines = 1000
	// maxEmptyBytes is how much of the line ends before the first request of a connection is passed over: RFC 9112, section 2.2, asks for
	// one at least. net/http refuses what follows.
	maxEmptyBytes = 8
)

// Names of limits in log lines and metrics.
const (
	LimitHeadLines   = "head_lines"
	LimitHeadBytes   = "head_bytes"
	LimitHeads       = "heads"       // the memory for heads is in use, or the head yielded
	LimitConnections = "connections" // no descriptor or memory for a connection
	LimitIdle        = "idle"        // an idle connection yielded
	LimitBodies      = "bodies"      // the memory for bodies is in use
	LimitBody        = "body_cut"    // an unfinished body yielded
	LimitPieces      = "pieces"      // the memory for pieces of stages is in use
)

// Refusal is a peer that was refused or cut because of a limit.
type Refusal struct {
	Limit string
	Peer  string
	Held  int64 // bytes
}

// Guard bounds what connections hold before a handler sees their requests: the size of each head, and, with an account, the
// connections, all heads together as they take memory once they are parsed, and the wait for bodies.
type Guard struct {
	Clock   clock.Clock // real, since the kernel measures the deadlines
	Account *memory.Account
	// Side is who connects; zero: callers.
	Side memory.Side
	// HeadBytes returns the limit of a head as a configuration counts it, names and values; 0: no limit.
	HeadBytes func() int
	// WriteTimeout bounds each write of writePiece to a side that does not read, give or take a half; 0: the handler bounds its writes.
	WriteTimeout time.Duration
	// BodyFactor is what a byte of a body takes while its handler decodes it; 0 means wholeFactor.
	BodyFactor int64
	// Refused is told each refusal; nil: nobody is. It must not block.
	Refused func(Refusal)
}

// Report tells a refusal.
func (g *Guard) Report(limit, peer string, held int64) {
	if g.Refused != nil {
		g.Refused(Refusal{limit, peer, held})
	}
}

// Listen returns a listener whose connections are bounded. ConnState must be the hook of the server.
func (g *Guard) Listen(l net.Listener) net.Listener { return &guardListener{l, g} }

type guardListener struct {
	net.Listener
	guard *Guard
}

// Accept waits for a connection for which there is room.
func (l *guardListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		g := &guardedConn{Conn: c, guard: l.guard}
		g.held, err = l.guard.Account.Connect(l.guard.Side, g.yield)
		if err == nil {
			return g, nil
		}
		_ = c.Close() // before any answer: nothing has run
		l.guard.Report(LimitConnections, c.RemoteAddr().String(), 0)
	}
}

// phase is what a connection is used for.
type phase int32

const (
	inHead    phase = iota // idle, or a head arrives
	inRequest              // a handler has the request; its body may still arrive
	hijacked               // no longer HTTP
)

// guardedConn counts the head of each request on a connection.
type guardedConn struct {
	net.Conn
	guard *Guard
	held  *memory.Reservation
	once  sync.Once
	phase atomic.Int32 // yield reads it under the lock of the account

	writeBy time.Time // deadline of writes; net/http writes from one goroutine at a time

	mu    sync.Mutex
	begun bool // a byte of the first request was read
	empty int  // line ends that were passed over
	bytes int  // of the present head
	lines int
}

var errHeadRefused = errors.New("the head is refused")

// yield makes the connection end. A handler that waits for a body sees that its time is up, and can still answer.
func (c *guardedConn) yield() {
	if phase(c.phase.Load()) == inRequest {
		_ = c.SetReadDeadline(past)
		return
	}
	_ = c.Conn.Close()
}

// writePiece is written at a time under one deadline, so that a slow reader of a large document is not cut.
const writePiece = 64 << 10

// Write ends the connection of a side that does not read.
func (c *guardedConn) Write(b []byte) (int, error) {
	if c.guard.WriteTimeout <= 0 || phase(c.phase.Load()) == hijacked {
		return c.Conn.Write(b)
	}
	total := 0
	for {
		if now := c.guard.Clock.Now(); c.writeBy.Sub(now) < c.guard.WriteTimeout/2 { // not for each, since it changes a timer of the runtime
			c.writeBy = now.Add(c.guard.WriteTimeout)
			_ = c.SetWriteDeadline(c.writeBy) // if it fails, the connection has ended
		}
		n, err := c.Conn.Write(b[total:min(len(b), total+writePiece)])
		total += n
		if err != nil || total == len(b) {
			return total, err
		}
	}
}

// past is a deadline that makes a read return.
var past = time.Unix(1, 0)

// Read reads for net/http, and counts what belongs to a head.
func (c *guardedConn) Read(b []byte) (int, error) {
	switch phase(c.phase.Load()) {
	case inHead:
		return c.readHead(b)
	case inRequest:
		// net/http reads a single byte to see whether the caller leaves. All other reads wait for the body.
		if len(b) > 1 {
			return c.readBody(b)
		}
	case hijacked:
	}
	return c.Conn.Read(b)
}

// readBody lets the connection yield while it waits.
func (c *guardedConn) readBody(b []byte) (int, error) {
	c.held.Await()
	n, err := c.Conn.Read(b)
	if !c.held.Arrived() {
		c.report(LimitBody)
		return 0, os.ErrDeadlineExceeded // also if the last bytes have just arrived: the deadline would end the handler's context
	}
	return n, err
}

// readHead counts a head. net/http reads only when it has used up what it had, so all bytes before a read in a head are part of that head,
// while the bytes that a read returns may go beyond it.
func (c *guardedConn) readHead(b []byte) (int, error) {
	c.mu.Lock()
	limit := c.exceeded()
	c.mu.Unlock()
	if limit != "" {
		return 0, c.refuse(limit)
	}
	n, err := c.readPastEmpty(b)
	c.mu.Lock()
	begun := c.bytes > 0
	fits := c.count(b[:n])
	c.mu.Unlock()
	switch {
	case err != nil && c.held.WasCut():
		limit = LimitIdle
		if begun {
			limit = LimitHeads
		}
		c.report(limit)
	case !fits:
		return 0, c.refuse(LimitHeads)
	}
	return n, err
}

// readPastEmpty leaves out a few line ends before the first request. Later ones cannot be told from the end of a head of which net/http
// has read the beginning ahead.
func (c *guardedConn) readPastEmpty(b []byte) (int, error) {
	for {
		n, err := c.Conn.Read(b)
		if c.begun || n == 0 {
			return n, err
		}
		skip := n - len(bytes.TrimLeft(b[:n], "\r\n"))
		skip = min(skip, maxEmptyBytes-c.empty)
		c.empty += skip
		n = copy(b, b[skip:n])
		if n > 0 || err != nil {
			c.begun = n > 0
			return n, err
		}
	}
}

func (c *guardedConn) report(limit string) {
	c.once.Do(func() { c.guard.Report(limit, c.RemoteAddr().String(), c.held.Held()) })
}

// exceeded returns the limit that the present head is over. The lock is held.
func (c *guardedConn) exceeded() string {
	if c.guard.Account == nil && c.lines > maxHeadLines {
		return LimitHeadLines
	}
	if c.guard.HeadBytes != nil {
		if most := c.guard.HeadBytes(); most > 0 && c.bytes > sentFactor*most+headSlack {
			return LimitHeadBytes
		}
	}
	return ""
}

var headEnd = []byte("\r\n\r\n")

// count adds bytes to the head and reserves what they take once they are parsed. It reports whether the account had that. The lock is held.
func (c *guardedConn) count(read []byte) bool {
	head := bytes.TrimLeft(read, "\r\n") // net/http may pass over empty lines before a request
	if i := bytes.Index(head, headEnd); i >= 0 {
		head = head[:i]
	}
	c.bytes += len(read)
	c.lines += bytes.Count(head, []byte{'\n'})
	charge := memory.HeadCost(c.bytes, c.lines)
	return charge <= memory.FreeBytes || c.held.Cover(memory.IdleBytes+charge)
}

// refuseTime bounds the write of a refusal to a caller that may not read.
const refuseTime = 100 * time.Millisecond

// refuse answers in place of net/http and closes the connection. The error is of a kind that net/http passes over.
func (c *guardedConn) refuse(limit string) error {
	c.once.Do(func() {
		if !c.held.WasCut() {
			text := "HTTP/1.1 431 Request Header Fields Too Large\r\n"
			if limit == LimitHeads {
				text = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: " + RetryAfter + "\r\n"
			}
			_ = c.SetWriteDeadline(c.guard.Clock.Now().Add(refuseTime))
			_, _ = io.WriteString(c.Conn, text+"Connection: close\r\nContent-Length: 0\r\n\r\n")
		}
		c.guard.Report(limit, c.RemoteAddr().String(), c.held.Held())
	})
	_ = c.Close()
	return &net.OpError{Op: "read", Net: "tcp", Err: errHeadRefused}
}

// RetryAfter is sent with refusals for want of memory: a second, in which bodies that arrive are whole.
const RetryAfter = "1"

// Close ends the connection and gives back what it held.
func (c *guardedConn) Close() error {
	err := c.Conn.Close()
	c.held.Release()
	return err
}

// ConnState is the hook of http.Server. A connection is active from the end of a request's head on.
func (g *Guard) ConnState(conn net.Conn, s http.ConnState) {
	c, ok := conn.(*guardedConn)
	if !ok {
		return
	}
	switch s {
	case http.StateIdle:
		c.mu.Lock()
		c.bytes, c.lines = 0, 0
		c.mu.Unlock()
		c.writeBy = time.Time{}      // net/http takes the deadline of the last answer off
		c.phase.Store(int32(inHead)) // before the connection yields
		c.held.Busy(false)
	case http.StateActive:
		c.held.Busy(true)
		c.phase.Store(int32(inRequest))
	case http.StateHijacked:
		c.held.Busy(true)
		c.phase.Store(int32(hijacked))
	case http.StateNew, http.StateClosed:
	}
}
