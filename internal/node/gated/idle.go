package gated

import (
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/berylledge/berylledge/internal/base/clock"
)

// idle closes callers' connections that have been unused for the time of the present configuration. http.Server takes one
// fixed time.
type idle struct {
	clock clock.Clock
	limit func() time.Duration // 0: no limit

	mu     sync.Mutex
	timers map[net.Conn]clock.Timer
}

func newIdle(c clock.Clock, limit func() time.Duration) *idle {
	return &idle{clock: c, limit: limit, timers: map[net.Conn]clock.Timer{}}
}

// state is the hook of http.Server.
func (i *idle) state(c net.Conn, s http.ConnState) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if t := i.timers[c]; t != nil {
		t.Stop()
		delete(i.timers, c)
	}
	if s != http.StateIdle {
		return
	}
	if limit := i.limit(); limit > 0 {
		i.timers[c] = i.clock.AfterFunc(limit, func() {
			i.mu.Lock()
			_, still := i.timers[c]
			delete(i.timers, c)
			i.mu.Unlock()
			if still {
				_ = c.Close()
			}
		})
	}
}

func itoa(n int) string { return strconv.Itoa(n) }
