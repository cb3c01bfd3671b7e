// Package dial opens TCP connections over networks that lose packets, and to machines that are just starting.
//
// The operating system repeats a lost first packet after a second only, which is longer than most requests may take. A
// Dialer starts another attempt beside the first one earlier, and keeps the connection that is made first.
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

// againAfter is the time without an answer after which another attempt starts. It is above the round trip between regions.
const againAfter = 250 * time.Millisecond

// Dialer opens connections. It is plain data and may be used from any goroutine.
type Dialer struct {
	Clock     clock.Clock
	Timeout   time.Duration // of all attempts together
	KeepAlive net.KeepAliveConfig

	dial func(ctx context.Context, network, address string) (net.Conn, error) // nil: net.Dialer
}

type result struct {
	conn net.Conn
	err  error
}

// DialContext opens a connection. It ends with the first attempt that gets an answer; that may be a refusal.
func (d Dialer) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, d.Timeout)
	defer cancel() // ends the other attempts
	var mu sync.Mutex
	ended := false
	results := make(chan result, 1)
	dialOnce := d.dial
	if dialOnce == nil {
		dialOnce = (&net.Dialer{KeepAliveConfig: d.KeepAlive}).DialContext
	}
	attempt := func() {
		conn, err := dialOnce(ctx, network, address)
		mu.Lock()
		defer mu.Unlock()
		if !ended {
			ended = true
			results <- result{conn, err}
		} else if err == nil {
			_ = conn.Close() // never used
		}
	}
	go attempt()
	again := d.Clock.NewTimer(againAfter)
	defer again.Stop()
	for {
		select {
		case r := <-results:
			return r.conn, r.err
		case <-again.C():
			go attempt()
			again.Reset(againAfter)
		}
	}
}
