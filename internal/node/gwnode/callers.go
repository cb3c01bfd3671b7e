package gwnode

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/berylledge/berylledge/internal/base/clock"
	"github.com/berylledge/berylledge/internal/gate/conf"
	"github.com/berylledge/berylledge/internal/wire/httpd"
)

// callerListener accepts callers' connections and closes those that are unused for too long or whose request's head does not
// arrive, by the limits of the present configuration. http.Server takes fixed times.
type callerListener struct {
	net.Listener
	clock  clock.Clock
	limits func() conf.Limits // 0: no limit
	open   atomic.Int64       // connections
	guard  *httpd.Guard       // of Listener; nil in tests of the times alone
}

// Accept waits for a connection.
func (l *callerListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &callerConn{Conn: c, listener: l}, nil
}

// callerConn is a caller's connection. Its timer runs while no request is being served.
type callerConn struct {
	net.Conn
	listener *callerListener

	mu    sync.Mutex
	busy  bool // a request is being served
	begun bool // a part of the next request's head has arrived
	timer clock.Timer
}

// Read begins the time for a head with its first byte.
func (c *callerConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.mu.Lock()
		if !c.busy && !c.begun {
			c.begun = true
			c.closeAfter(c.listener.limits().HeaderTime.Duration())
		}
		c.mu.Unlock()
	}
	return n, err
}

// closeAfter replaces the timer. The lock is held.
func (c *callerConn) closeAfter(d time.Duration) {
	if c.timer != nil {
		c.timer.Stop()
		c.timer = nil
	}
	if d <= 0 {
		return
	}
	var own clock.Timer
	own = c.listener.clock.AfterFunc(d, func() {
		c.mu.Lock()
		still := c.timer == own
		c.mu.Unlock()
		if still {
			_ = c.Close()
		}
	})
	c.timer = own
}

// awaitClosed returns when all connections are closed, or after the end of the context.
func (l *callerListener) awaitClosed(ctx context.Context) {
	for l.open.Load() > 0 && clock.Sleep(ctx, l.clock, closedInterval) == nil {
		continue
	}
}

const closedInterval = 20 * time.Millisecond

// connState is the hook of http.Server. A connection is active from the end of a request's head on.
func (l *callerListener) connState(conn net.Conn, s http.ConnState) {
	c, ok := conn.(*callerConn)
	if !ok {
		return
	}
	if l.guard != nil {
		l.guard.ConnState(c.Conn, s)
	}
	switch s {
	case http.StateNew:
		l.open.Add(1)
	case http.StateHijacked, http.StateClosed:
		l.open.Add(-1)
	case http.StateActive, http.StateIdle:
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.busy, c.begun = s == http.StateActive, false
	switch s {
	case http.StateNew, http.StateIdle:
		_ = c.SetWriteDeadline(time.Time{}) // that of the last answer; if it fails, the connection has ended
		c.closeAfter(c.listener.limits().IdleTime.Duration())
	case http.StateActive, http.StateHijacked, http.StateClosed:
		c.closeAfter(0)
	}
}
