package proxy

import (
	"strings"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/berylledge/berylledge/internal/base/event"
	"github.com/berylledge/berylledge/internal/test/rawup"
)

// Guards against buffering without limit: incomplete events are kept in memory, so an upstream that never ends
// an event could exhaust it.
func TestAnEventWithoutEndIsGivenUp(t *testing.T) {
	const tooMuch = 16 << 20 // bytes; exceeds the limit plus the buffers of two sockets
	var count atomic.Int64
	up := rawup.New(t, func(c *rawup.Conn, r *rawup.Request) {
		c.WriteString(streamHead(r.Header.Get("Berylledge-Request")) + chunk(events(1, 1)))
		part := chunk(strings.Repeat("a", 64<<10))
		for count.Load() < tooMuch {
			n, err := c.Write([]byte(part))
			count.Add(int64(n))
			if err != nil {
				break
			}
		}
		c.End()
	})
	s := newTestProxy(t, streamRoute(false), up)
	got := s.do(s.request("/x/", "id1"))
	assert.Assert(t, got.err != nil, "the stream must not look complete")
	assert.Equal(t, got.body, events(1, 1))
	assert.Assert(t, count.Load() < tooMuch, "%d bytes were taken", count.Load())
	broken := s.events.Select(event.Filter{Request: "id1", Name: "forward_retried"})
	assert.Equal(t, len(broken), 1)
	assert.Assert(t, strings.Contains(broken[0].Get("reason"), errEventTooLarge.Error()), "%s", broken[0].Get("reason"))
}
