package peer

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against pings between all pairs of processes that grow with the square of the fleet, and against messages that go into a
// connection that fell silent while nothing was sent.
func TestOnlyUsedConnectionsAreChecked(t *testing.T) {
	now := time.Unix(1000, 0)
	l := liveness{used: now}
	pings := 0
	for range 60 {
		now = now.Add(pingEvery)
		ping, readBy := l.tick(now)
		if ping {
			pings++
			assert.Assert(t, readBy.IsZero(), "each sign of life sets the deadline")
		} else {
			assert.Assert(t, readBy.Sub(now) > idleTimeout, "an idle connection must not end for want of a sign of life")
		}
	}
	assert.Equal(t, pings, int(quietAfter/pingEvery), "pings of a connection that nobody uses")
	l.used = now
	now = now.Add(pingEvery)
	ping, readBy := l.tick(now)
	assert.Assert(t, ping && readBy.Equal(now.Add(silentAfter)), "it must answer like one that was never idle")
	ping, readBy = l.tick(now.Add(pingEvery))
	assert.Assert(t, ping && readBy.IsZero())
}
