package roster

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func newQuickCluster(n int) *testCluster {
	x := newTestCluster(n)
	for _, r := range x.registries {
		r.cfg.SilentAfter, r.cfg.OwnerTimeout = time.Second, 2500*time.Millisecond
	}
	return x
}

// Heartbeats every 250 ms make an upstream silent after a second, and sync messages come a little less often than that. Guards against a
// control node that takes the upstreams of another one for silent between two messages, and passes that on to entry nodes.
func TestSyncIntervalIsNoSilence(t *testing.T) {
	x := newQuickCluster(3)
	for round := range 20 {
		now := start.Add(time.Duration(round) * 1004 * time.Millisecond)
		x.heartbeat(now, "c2", 1, int64(round+1))
		x.syncRound(now)
		for _, name := range x.names {
			assert.Equal(t, x.countSilent(name), 0, "%s, round %d", name, round)
		}
	}
}

// A link that is held and healed loses no message. Guards against upstreams that stay silent until their next change, because renewals
// are empty messages.
func TestRenewalEndsSilence(t *testing.T) {
	x := newQuickCluster(2)
	x.heartbeat(start, "c1", 1, 1)
	x.syncRound(start)
	x.syncRound(start)
	x.registries["c0"].Tick(start.Add(4 * time.Second))
	assert.Equal(t, x.countSilent("c0"), 1)
	seen := x.registries["c0"].Version()
	now := start.Add(5 * time.Second)
	x.heartbeat(now, "c1", 1, 2)
	x.syncRound(now)
	x.syncRound(now)
	assert.Equal(t, x.countSilent("c0"), 0)
	d := x.registries["c0"].ChangesSince(now, seen, unlimited)
	assert.Equal(t, len(d.Upstreams), 1, "entry nodes are told")
	assert.Assert(t, !d.Upstreams[0].Silent)
}
