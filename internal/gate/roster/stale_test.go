package roster

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func newStaleCluster(n int) *testCluster {
	x := newQuickCluster(n)
	for _, r := range x.registries {
		r.cfg.SilentAfter, r.cfg.StaleAfter, r.cfg.LateAfter = 5*time.Second, 600*time.Millisecond, 1500*time.Millisecond
	}
	return x
}

// stale updates the set of a control node and returns it.
func (x *testCluster) stale(now time.Time, node string) []string {
	x.registries[node].UpdateStale(now)
	return x.registries[node].Stale().IDs
}

// Guards against a control node that vouches for the last word of an upstream while the control node that hears it cannot be reached, and
// against one that takes its own upstreams for stale as well.
func TestUpstreamsOfAControlNodeThatIsNotHeardAreStale(t *testing.T) {
	x := newStaleCluster(3)
	x.heartbeat(start, "c1", 1, 1)
	x.heartbeat(start, "c0", 2, 1)
	x.syncRound(start)
	x.syncRound(start)
	x.dropMessage = func(from, to string) bool { return from == "c1" || to == "c1" }
	now := start.Add(500 * time.Millisecond)
	x.syncRound(now)
	assert.Equal(t, len(x.stale(now, "c0")), 0)
	now = start.Add(700 * time.Millisecond)
	x.heartbeat(now, "c0", 2, 2)
	x.syncRound(now)
	assert.DeepEqual(t, x.stale(now, "c0"), []string{"r1"})
	assert.DeepEqual(t, x.stale(now, "c2"), []string{"r1"})
	assert.DeepEqual(t, x.stale(now, "c1"), []string{"r2"})
	version := x.registries["c0"].Stale().Version

	x.heartbeat(now, "c2", 1, 2)
	x.syncRound(now)
	now = now.Add(staleScanInterval)
	x.syncRound(now)
	assert.Equal(t, len(x.stale(now, "c0")), 0, "another control node hears it")
	assert.Assert(t, x.registries["c0"].Stale().Version > version)
}

// Guards against messages of a control node that count although one before them was lost, in which an upstream may have turned cold.
func TestUpstreamsStayStaleUntilAllChangesAreKnown(t *testing.T) {
	x := newStaleCluster(2)
	x.heartbeat(start, "c1", 1, 1)
	x.syncRound(start)
	x.syncRound(start)
	now := start.Add(time.Second)
	x.heartbeat(now, "c1", 1, 2)
	b := x.registries["c1"]
	b.markChanged(&b.upstreams["r1"].recordMeta)
	lost := b.SyncSince(now, x.syncedVersion["c1"])
	next := b.SyncSince(now, lost.Version)
	assert.Assert(t, x.registries["c0"].ApplySync(now, next), "all records are requested")
	assert.DeepEqual(t, x.stale(now, "c0"), []string{"r1"})
	x.registries["c0"].ApplySync(now, b.SyncSince(now, 0))
	assert.Equal(t, len(x.stale(now.Add(staleScanInterval), "c0")), 0)
}

// Guards against an upstream that has moved to a control node which is cut off, while the one that it reported to before still vouches for
// it; the others know from that node that its heartbeat is late.
func TestUpstreamWithALateHeartbeatIsStale(t *testing.T) {
	x := newStaleCluster(2)
	x.heartbeat(start, "c1", 1, 1)
	x.syncRound(start)
	for step := range 8 {
		now := start.Add(time.Duration(step) * 250 * time.Millisecond)
		x.syncRound(now)
		late := now.Sub(start) > 1500*time.Millisecond
		for _, name := range x.names {
			assert.Equal(t, slices.Equal(x.stale(now, name), []string{"r1"}), late, "%s after %s", name, now.Sub(start))
		}
	}
}
