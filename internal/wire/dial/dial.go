// Package dial opens TCP connections over networks that lose packets, and to machines that are just starting.
//
// The operating system retransmits a lost SYN only after one second, which is longer than most requests may take. A Dialer
// starts concurrent attempts after shorter delays and keeps the connection that is established first.
//
// Usage:
//
//	d := dial.Dialer{Clock: clk, Timeout: time.Second}
//	conn, err := d.DialContext(ctx, "tcp", address) // also as http.Transport.DialContext
package dial

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/berylledge/berylledge/internal/base/clock"
)

// attemptDelay is the time without a response after which another attempt starts. It exceeds the round-trip time between regions.
const attemptDelay = 250 * time.Millisecond

// Dialer opens connections. It has no mutable state and is safe for concurrent use.
type Dialer struct {
	Clock     clock.Clock
	Timeout   time.Duration // for all attempts together
	KeepAlive net.KeepAliveConfig

	dial func(ctx context.Context, network, address string) (net.Conn, error) // nil selects net.Dialer
}

// attemptResult is the outcome of the first attempt that finished.
type attemptResult struct {
	conn net.Conn
	err  error
}

// DialContext opens a connection. It returns the result of the first attempt that finishes, even if that is an error such as a
// refused connection.
func (d Dialer) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, d.Timeout)
	defer cancel() // cancels the remaining attempts
	var mu sync.Mutex
	finished := false
	results := make(chan attemptResult, 1)
	dialOnce := d.dial
	if dialOnce == nil {
		dialOnce = (&net.Dialer{KeepAliveConfig: d.KeepAlive}).DialContext
	}
	attempt := func() {
		conn, err := dialOnce(ctx, network, address)
		mu.Lock()
		defer mu.Unlock()
		if !finished {
			finished = true
			results <- attemptResult{conn, err}
		} else if err == nil {
			_ = conn.Close() // another attempt finished first
		}
	}
	go attempt()
	timer := d.Clock.NewTimer(attemptDelay)
	defer timer.Stop()
	for {
		select {
		case r := <-results:
			return r.conn, r.err
		case <-timer.C():
			go attempt()
			timer.Reset(attemptDelay)
		}
	}
}
