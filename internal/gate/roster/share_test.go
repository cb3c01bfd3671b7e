package roster

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// testCluster is a set of registries that send sync messages to each other.
type testCluster struct {
	names         []string
	registries    map[string]*Registry
	syncedVersion map[string]uint64
	dropMessage   func(from, to string) bool
	sentRecords   int // records sent so far
}

func newTestCluster(n int) *testCluster {
	x := &testCluster{
		registries: map[string]*Registry{}, syncedVersion: map[string]uint64{},
		dropMessage: func(string, string) bool { return false },
	}
	for i := range n {
		name := fmt.Sprint("c", i)
		x.names = append(x.names, name)
		x.registries[name] = newTestRegistryFor(name)
	}
	return x
}

// syncRound runs one synchronization: each node sends its changes to the others and calls Tick.
func (x *testCluster) syncRound(now time.Time) {
	for _, from := range x.names {
		b := x.registries[from]
		if b == nil {
			continue
		}
		s := b.SyncSince(now, x.syncedVersion[from])
		x.syncedVersion[from] = s.Version
		for _, to := range x.names {
			if to == from || x.registries[to] == nil || x.dropMessage(from, to) {
				continue
			}
			x.sentRecords += len(s.Upstreams) + len(s.Entries)
			if x.registries[to].ApplySync(now, s) {
				whole := b.SyncSince(now, 0)
				x.sentRecords += len(whole.Upstreams) + len(whole.Entries)
				x.registries[to].ApplySync(now, whole)
			}
		}
		b.Tick(now)
	}
}

func (x *testCluster) heartbeat(now time.Time, node string, id int, sequence int64) {
	u := testUpstream(fmt.Sprint("r", id), 10, sequence, Ready)
	u.Address = fmt.Sprint("10.0.0.1:", id)
	x.registries[node].Heartbeat(now, u)
}

func (x *testCluster) countSilent(node string) int {
	n := 0
	for _, u := range x.registries[node].upstreams {
		if u.Silent {
			n++
		}
	}
	return n
}

// Control nodes must not forward every heartbeat. With 3,000 upstreams that renew each second, the traffic grew with the number
// of upstreams times the number of control nodes and overloaded a node.
func TestRenewalsAreNotSynced(t *testing.T) {
	const upstreams = 3000
	x := newTestCluster(9)
	for second := range 20 {
		now := start.Add(time.Duration(second) * time.Second)
		for id := range upstreams {
			x.heartbeat(now, x.names[id%9], id, int64(second+1))
		}
		x.syncRound(now)
		if second == 1 {
			x.sentRecords = 0
		}
	}
	assert.Equal(t, x.sentRecords, 0, "records sent although nothing changed")
	for _, name := range x.names {
		assert.Equal(t, len(x.registries[name].upstreams), upstreams)
		assert.Equal(t, x.countSilent(name), 0)
	}
}

// A crashed upstream must not receive requests because its owner continues to renew all records that it owns.
func TestUpstreamLostByOwnerIsSilentEverywhere(t *testing.T) {
	x := newTestCluster(3)
	for second := range 10 {
		now := start.Add(time.Duration(second) * time.Second)
		if second < 3 {
			x.heartbeat(now, "c0", 1, int64(second+1))
		}
		x.heartbeat(now, "c0", 2, int64(second+1))
		x.syncRound(now)
	}
	for _, name := range x.names {
		assert.Equal(t, x.countSilent(name), 1, name)
	}
}

// After a control node fails, silent upstreams that it owned must not count as heard, nor heard ones as silent.
func TestUpstreamsMoveToNewOwner(t *testing.T) {
	x := newTestCluster(3)
	for second := range 12 {
		now := start.Add(time.Duration(second) * time.Second)
		if second == 4 {
			delete(x.registries, "c0")
		}
		switch {
		case second < 4:
			x.heartbeat(now, "c0", 1, int64(second+1))
			x.heartbeat(now, "c0", 2, int64(second+1))
		case second > 5:
			x.heartbeat(now, "c1", 1, int64(second+1))
		}
		x.syncRound(now)
		if second == 6 {
			assert.Equal(t, x.countSilent("c2"), 0, "SilentAfter has not passed yet")
		}
	}
	assert.Equal(t, x.countSilent("c1"), 1)
	assert.Equal(t, x.countSilent("c2"), 1)
	u, _ := x.registries["c2"].Find("r1")
	assert.Assert(t, !u.Silent)
}

// A lost sync message must not leave a control node without a record, or with an obsolete one, permanently.
func TestFullSyncAfterLostMessage(t *testing.T) {
	x := newTestCluster(3)
	x.syncRound(start)
	x.dropMessage = func(from, to string) bool { return from == "c0" && to == "c2" }
	x.heartbeat(start, "c0", 1, 1)
	x.syncRound(start)
	_, known := x.registries["c2"].Find("r1")
	assert.Assert(t, !known)
	x.dropMessage = func(string, string) bool { return false }
	x.heartbeat(start, "c0", 1, 2)
	x.syncRound(start.Add(time.Second))
	_, known = x.registries["c2"].Find("r1")
	assert.Assert(t, known)
}

// An upstream must not count as silent because a heartbeat delayed by a network partition reaches another control node, which
// then claims ownership.
func TestDelayedHeartbeatDoesNotChangeOwner(t *testing.T) {
	x := newTestCluster(3)
	for second := range 20 {
		now := start.Add(time.Duration(second) * time.Second)
		x.heartbeat(now, "c0", 1, int64(second+10))
		if second == 5 {
			x.heartbeat(now, "c1", 1, 11)
		}
		x.syncRound(now)
		for _, name := range x.names {
			assert.Equal(t, x.countSilent(name), 0, "%s, second %d", name, second)
		}
	}
}

// After the owner of an entry node fails, the entry node must stay available for the grace period, and not longer.
func TestEntryNodeOfLostOwnerStaysForGracePeriod(t *testing.T) {
	x := newTestCluster(2)
	x.registries["c0"].ReportEntry(start, Entry{Node: "e", Region: "north", Ready: true, ReportSequence: 1})
	x.syncRound(start)
	x.syncRound(start)
	delete(x.registries, "c0")
	b := x.registries["c1"]
	for ms, want := range map[int]int{1000: 1, 3900: 1, 4100: 0} {
		now := start.Add(time.Duration(ms) * time.Millisecond)
		assert.Equal(t, len(b.ReadyEntries(now, Caller{Name: "caller", DataCentre: "a", Region: "north"})), want, "after %d ms", ms)
	}
	b.Tick(start.Add(5 * time.Second))
	assert.Equal(t, len(b.ReadyEntries(start.Add(5*time.Second), Caller{Name: "caller", DataCentre: "a", Region: "north"})), 0)
	b.ReportEntry(start.Add(6*time.Second), Entry{Node: "e", Region: "north", Ready: true, ReportSequence: 2})
	assert.Equal(t, len(b.ReadyEntries(start.Add(6*time.Second), Caller{Name: "caller", DataCentre: "a", Region: "north"})), 1)
}

// During a partition a reader must be able to request only the records that the other control nodes changed.
func TestUnreachablePeersReportSyncPosition(t *testing.T) {
	x := newTestCluster(3)
	x.heartbeat(start, "c1", 1, 1)
	x.syncRound(start)
	x.syncRound(start)
	x.dropMessage = func(from, _ string) bool { return from == "c1" }
	x.heartbeat(start, "c1", 2, 1)
	x.syncRound(start.Add(3 * time.Second))
	now := start.Add(3 * time.Second)
	apart := x.registries["c0"].UnreachablePeers(now, []string{"c1", "c2"}, 2*time.Second)
	assert.Equal(t, len(apart), 1)
	assert.Equal(t, apart[0].Address, "c1")
	d := x.registries["c1"].OwnedChangesSince(now, apart[0].Version, unlimited)
	assert.Equal(t, len(d.Upstreams), 1)
	assert.Equal(t, d.Upstreams[0].ID, "r2")
}

// During a partition, an upstream that switches to this control node must be included in its owned changes.
func TestOwnedChangesIncludeNewlyOwnedUpstream(t *testing.T) {
	x := newTestCluster(2)
	x.heartbeat(start, "c0", 1, 1)
	x.syncRound(start)
	x.syncRound(start)
	known := x.registries["c1"].Version()
	x.heartbeat(start.Add(time.Second), "c1", 1, 2)
	d := x.registries["c1"].OwnedChangesSince(start.Add(time.Second), known, unlimited)
	assert.Equal(t, len(d.Upstreams), 1)
	x.registries["c1"].Tick(start.Add(7 * time.Second))
	d = x.registries["c1"].OwnedChangesSince(start.Add(7*time.Second), d.Version, unlimited)
	assert.Equal(t, len(d.Upstreams), 1)
	assert.Assert(t, d.Upstreams[0].Silent, "last heard by this node, now silent")
}

// Guards against an upstream that stays silent for good in the view of a control node which got a sync message of the owner late: later
// ones hold no record that has not changed.
func TestUpstreamIsHeardAgainAfterALateSync(t *testing.T) {
	x := newTestCluster(2)
	for second := range 3 {
		now := start.Add(time.Duration(second) * time.Second)
		x.heartbeat(now, "c0", 1, int64(second+1))
		x.syncRound(now)
	}
	late := start.Add(9 * time.Second)
	x.registries["c1"].Tick(late)
	assert.Equal(t, x.countSilent("c1"), 1)
	known := x.registries["c1"].Version()
	x.heartbeat(late, "c0", 1, 4)
	x.syncRound(late)
	assert.Equal(t, x.countSilent("c1"), 0)
	assert.Equal(t, len(x.registries["c1"].ChangesSince(late, known, unlimited).Upstreams), 1, "entry nodes learn of it")
}

// Guards against upstreams with short heartbeats that count as silent between two sync messages of their owner.
func TestUpstreamIsNotSilentBetweenTwoSyncs(t *testing.T) {
	x := newTestCluster(2)
	for _, r := range x.registries {
		r.cfg.SilentAfter = time.Second
	}
	for n := range 8 {
		now := start.Add(time.Duration(n) * 1100 * time.Millisecond)
		x.registries["c1"].Tick(now) // just before the message
		assert.Equal(t, x.countSilent("c1"), 0)
		x.heartbeat(now, "c0", 1, int64(n+1))
		x.syncRound(now)
	}
}
