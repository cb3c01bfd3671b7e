package roster

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func coldUpstream(sequence, coldMs int64) Upstream {
	u := testUpstream("r", 10, sequence, Ready)
	u.ColdMs = coldMs
	return u
}

// Guards against a cold time that follows the clock of another VM, or starts anew at each node that hears of it: each node must
// get the time that is left.
func TestColdTimeIsPassedOnAsTimeLeft(t *testing.T) {
	a, b := newTestRegistryFor("a"), newTestRegistryFor("b")
	a.Heartbeat(start, coldUpstream(1, 8000))
	ahead := start.Add(time.Hour) // the clock of the other control node
	assert.Assert(t, !b.ApplySync(ahead, a.SyncSince(start.Add(2*time.Second), 0)))
	d := b.ChangesSince(ahead.Add(time.Second), 0, 10)
	assert.Equal(t, d.Upstreams[0].ColdMs, int64(5000))
	assert.Assert(t, d.Upstreams[0].ColdUntil.IsZero())
	u := d.Upstreams[0].Received(start)
	assert.Equal(t, u.ColdUntil, start.Add(5*time.Second))
	assert.Equal(t, b.ChangesSince(ahead.Add(time.Minute), 0, 10).Upstreams[0].ColdMs, int64(0))
}

// Guards against entry nodes that do not learn that an upstream has become cold, and against a change for each heartbeat of a
// cold upstream, which all entry nodes would fetch.
func TestOnlyChangesOfTheColdTimeArePassedOn(t *testing.T) {
	r := newTestRegistry()
	r.Heartbeat(start, coldUpstream(1, 0))
	next := func(after time.Duration, sequence, coldMs int64) bool {
		return r.Heartbeat(start.Add(after), coldUpstream(sequence, coldMs))
	}
	assert.Assert(t, next(time.Second, 2, 9000), "it became cold")
	assert.Assert(t, !next(2*time.Second, 3, 8000))
	assert.Assert(t, !next(3*time.Second, 4, 7200), "the heartbeat was late")
	assert.Assert(t, !next(4*time.Second, 5, 5900))
	assert.Assert(t, next(5*time.Second, 6, 5400), "small shifts add up")
	assert.Assert(t, !next(6*time.Second, 7, 4000), "the end was taken as later before")
	assert.Assert(t, next(7*time.Second, 8, 0), "it ended early")
	assert.Assert(t, !next(8*time.Second, 9, 0))
}
