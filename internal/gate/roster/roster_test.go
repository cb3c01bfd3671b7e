package roster

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/berylledge/berylledge/internal/gate/region"
)

var start = time.Unix(1_000_000, 0)

func newTestRegistry() *Registry {
	return newTestRegistryFor("a")
}

// newTestRegistryFor returns the registry of the control node with the given address.
func newTestRegistryFor(self string) *Registry {
	return New(Config{
		Self: self, Epoch: 1, SilentAfter: 4 * time.Second, ForgetAfter: 30 * time.Second, EntryTimeout: 2 * time.Second,
		OwnerGrace: 2 * time.Second,
	})
}

func testUpstream(id string, born, sequence int64, state State) Upstream {
	return Upstream{ID: id, Service: "s", Address: "10.0.0.1:80", DataCentre: "a", State: state, StartedMs: born, Sequence: sequence}
}

func stateOf(b *Registry, id string) State {
	u, _ := b.Find(id)
	return u.State
}

// A delayed heartbeat must not make a draining or gone upstream ready again.
func TestStaleHeartbeatIsIgnored(t *testing.T) {
	b := newTestRegistry()
	assert.Assert(t, b.Heartbeat(start, testUpstream("r", 10, 3, Ready)))
	assert.Assert(t, b.Heartbeat(start, testUpstream("r", 10, 5, Draining)))
	assert.Assert(t, !b.Heartbeat(start, testUpstream("r", 10, 4, Ready)))
	assert.Equal(t, stateOf(b, "r"), Draining)
	_, ok := b.Leave(start, "r")
	assert.Assert(t, ok)
	assert.Assert(t, !b.Heartbeat(start, testUpstream("r", 10, 6, Ready)))
	assert.Equal(t, stateOf(b, "r"), Gone)
	assert.Assert(t, b.Heartbeat(start, testUpstream("r", 20, 1, Ready)), "a new start under the same id")
	assert.Equal(t, stateOf(b, "r"), Ready)
}

// A crashed upstream must not receive requests because its delayed heartbeat arrives after its address was reused.
func TestLatestStartOwnsAddress(t *testing.T) {
	b := newTestRegistry()
	b.Heartbeat(start, testUpstream("old", 10, 1, Ready))
	b.Heartbeat(start, testUpstream("new", 50, 1, Ready))
	assert.Equal(t, stateOf(b, "old"), Gone)
	b.Heartbeat(start, testUpstream("late", 30, 9, Ready))
	_, known := b.Find("late")
	assert.Assert(t, !known)
	assert.Equal(t, stateOf(b, "new"), Ready)
}

// Control nodes must not diverge permanently if messages are reordered or duplicated.
func TestMergeIsOrderIndependent(t *testing.T) {
	batches := []Batch{
		{Upstreams: []Upstream{testUpstream("r", 10, 1, Ready)}},
		{Upstreams: []Upstream{testUpstream("r", 10, 7, Draining)}},
		{Upstreams: []Upstream{testUpstream("r", 10, 0, Gone)}},
	}
	for _, order := range [][]int{{0, 1, 2}, {2, 1, 0}, {1, 2, 0, 1}, {2, 0, 1, 2}} {
		b := newTestRegistry()
		for _, i := range order {
			b.Merge(start, "b", batches[i])
		}
		assert.Equal(t, stateOf(b, "r"), Gone, "%v", order)
	}
}

const unlimited = 1 << 30

// A reader must not miss a change or keep a removed record, and a removed record must not make up-to-date readers read all
// records again.
func TestChangesSinceReportsChangesAndRemovals(t *testing.T) {
	b := newTestRegistry()
	b.Heartbeat(start, testUpstream("r", 10, 1, Ready))
	d := b.ChangesSince(start, 0, unlimited)
	assert.Assert(t, d.Full)
	assert.Equal(t, len(d.Upstreams), 1)
	b.Heartbeat(start.Add(time.Second), testUpstream("r", 10, 2, Ready))
	assert.Equal(t, len(b.ChangesSince(start, d.Version, unlimited).Upstreams), 0, "a renewal is not a change")
	b.Tick(start.Add(6 * time.Second))
	silent := b.ChangesSince(start, d.Version, unlimited)
	assert.Equal(t, len(silent.Upstreams), 1)
	assert.Assert(t, silent.Upstreams[0].Silent)
	b.Tick(start.Add(time.Minute))
	gone := b.ChangesSince(start, d.Version, unlimited)
	assert.Assert(t, gone.Full, "the reader missed that the upstream fell silent before it was removed")
	assert.Equal(t, len(gone.Upstreams), 0)
	known := b.ChangesSince(start, silent.Version, unlimited)
	assert.Assert(t, !known.Full, "the reader knows that the upstream is silent and removes it itself")
	assert.Equal(t, len(known.Upstreams), 0)
}

// A node with a slow link must not wait for all records in one message, for example 3,000 upstreams at startup.
func TestChangesSincePaginates(t *testing.T) {
	b := newTestRegistry()
	for i := range 1000 {
		u := testUpstream(fmt.Sprint("r", i), 10, 1, Ready)
		u.Address = fmt.Sprint("10.0.0.1:", i)
		b.Heartbeat(start, u)
	}
	seen, version, pages := map[string]bool{}, uint64(0), 0
	for {
		d := b.ChangesSince(start, version, 256)
		assert.Assert(t, len(d.Upstreams) <= 256)
		for _, u := range d.Upstreams {
			seen[u.ID] = true
		}
		version, pages = d.Version, pages+1
		if !d.More {
			break
		}
	}
	assert.Equal(t, len(seen), 1000)
	assert.Equal(t, pages, 4)
	assert.Equal(t, version, b.Version())
}

// Callers must not be sent to an entry node that is stopping or silent, and must not get an empty response while other data
// centres have ready entry nodes.
func TestReadyEntriesPreferCallersDataCentre(t *testing.T) {
	b := newTestRegistry()
	report := func(node, dc, region string, ready bool, n int64) {
		b.ReportEntry(start, Entry{Node: node, Address: node + ":1", DataCentre: dc, Region: region, Ready: ready, ReportSequence: n})
	}
	names := func(entries []Entry) []string {
		var out []string
		for _, e := range entries {
			out = append(out, e.Node)
		}
		return out
	}
	report("a1", "a", "north", true, 1)
	report("a2", "a", "north", true, 1)
	report("b1", "b", "north", true, 1)
	report("c1", "c", "south", true, 1)
	assert.DeepEqual(t, names(b.ReadyEntries(start, Caller{Name: "caller", DataCentre: "a", Region: "north"})), []string{"a1", "a2"})
	report("a2", "a", "north", false, 2)
	assert.DeepEqual(t, names(b.ReadyEntries(start, Caller{Name: "caller", DataCentre: "a", Region: "north"})), []string{"a1", "b1"})
	assert.DeepEqual(t, names(b.ReadyEntries(start.Add(3*time.Second), Caller{Name: "caller", DataCentre: "a", Region: "north"})), []string(nil))
}

// Callers of a restricted host must not be sent to an entry node outside its regions and their own, unless no other one is left. Most
// of their requests would cross regions twice.
func TestReadyEntriesStayInAllowedRegions(t *testing.T) {
	b := newTestRegistry()
	for _, e := range []Entry{
		{Node: "a1", DataCentre: "a", Region: "north"},
		{Node: "b1", DataCentre: "b", Region: "north"},
		{Node: "c1", DataCentre: "c", Region: "south"},
		{Node: "d1", DataCentre: "d", Region: "west"},
	} {
		e.Ready, e.ReportSequence = true, 1
		b.ReportEntry(start, e)
	}
	for _, c := range []struct {
		dataCentre, region string
		allowed            []string
		want               string
	}{
		{"a", "north", []string{"south"}, "a1 b1"},
		{"c", "south", nil, "a1 b1 c1 d1"},
		{"c", "south", []string{"south"}, "c1"},
		{"c", "south", []string{"west"}, "c1 d1"},
		{"c", "south", []string{"none"}, "c1"},
		{"e", "east", []string{"west"}, "d1"},
		{"", "", []string{"north"}, "a1 b1"},
		{"e", "east", []string{"none"}, "a1 b1 c1 d1"},
	} {
		var names []string
		for _, e := range b.ReadyEntries(start, Caller{Name: "caller", DataCentre: c.dataCentre, Region: c.region, Allowed: region.Of(c.allowed)}) {
			names = append(names, e.Node)
		}
		slices.Sort(names)
		assert.Equal(t, strings.Join(names, " "), c.want, "%v", c)
	}
}

// Every ready entry node must be returned to some callers, even if a data centre has 100 of them and a response holds 64.
func TestReadyEntriesCoverAllNodes(t *testing.T) {
	const nodes, room, callers = 100, 64, 40
	b := newTestRegistry()
	for i := range nodes {
		b.ReportEntry(start, Entry{Node: fmt.Sprint("e", i), DataCentre: "a", Region: "north", Ready: true, ReportSequence: 1})
	}
	given := map[string]int{}
	for i := range callers {
		caller := fmt.Sprint("10.9.0.", i)
		first := b.ReadyEntries(start, Caller{Name: caller, DataCentre: "a", Region: "north"})[:room]
		for _, e := range first {
			given[e.Node]++
		}
		assert.DeepEqual(t, b.ReadyEntries(start, Caller{Name: caller, DataCentre: "a", Region: "north"})[:room], first) // a stable order lets the caller keep its connections
	}
	assert.Equal(t, len(given), nodes)
	for node, n := range given {
		assert.Assert(t, n > callers/4, "%s is returned to %d of %d callers", node, n, callers)
	}
}

// Guards against an entry node that counts as gone although it reports: a report to another control node arrives there a moment before
// one to its owner, whose record does not change, so that the others wait for word of the other one.
func TestOwnerCorrectsAnOldReport(t *testing.T) {
	owner, other, third := newTestRegistryFor("a"), newTestRegistryFor("b"), newTestRegistryFor("c")
	all := []*Registry{owner, other, third}
	shared := map[*Registry]uint64{}
	share := func(now time.Time) {
		for _, from := range all {
			from.Tick(now)
			m := from.SyncSince(now, shared[from])
			shared[from] = m.Version
			for _, to := range all {
				if to != from {
					to.ApplySync(now, m)
				}
			}
		}
	}
	sequence := int64(0)
	report := func(now time.Time, to *Registry) {
		sequence++
		to.ReportEntry(now, Entry{Node: "e", DataCentre: "x", Region: "r", Ready: true, ReportSequence: sequence})
	}
	report(start, owner)
	share(start)
	report(start, other)
	for i := range 8 {
		now := start.Add(time.Duration(i) * time.Second)
		report(now, owner)
		share(now)
		for _, reg := range all {
			assert.Equal(t, len(reg.ReadyEntries(now, Caller{DataCentre: "x", Region: "r"})), 1, "%s after %d s", reg.cfg.Self, i)
		}
	}
}
