package roster

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var start = time.Unix(1_000_000, 0)

func board() *Registry {
	return boardOf("a")
}

// boardOf returns the board of a control node.
func boardOf(self string) *Registry {
	return New(Config{
		Self: self, Epoch: 1, SilentAfter: 4 * time.Second, ForgetAfter: 30 * time.Second, EntryTimeout: 2 * time.Second,
		OwnerGrace: 2 * time.Second,
	})
}

func up(id string, born, sequence int64, state State) Upstream {
	return Upstream{ID: id, Service: "s", Address: "10.0.0.1:80", DataCentre: "a", State: state, StartedMs: born, Sequence: sequence}
}

func state(b *Registry, id string) State {
	u, _ := b.Find(id)
	return u.State
}

// Guards against a delayed heartbeat that makes a draining or gone upstream ready again.
func TestOlderHeartbeatChangesNothing(t *testing.T) {
	b := board()
	assert.Assert(t, b.Heartbeat(start, up("r", 10, 3, Ready)))
	assert.Assert(t, b.Heartbeat(start, up("r", 10, 5, Draining)))
	assert.Assert(t, !b.Heartbeat(start, up("r", 10, 4, Ready)))
	assert.Equal(t, state(b, "r"), Draining)
	_, ok := b.Leave(start, "r")
	assert.Assert(t, ok)
	assert.Assert(t, !b.Heartbeat(start, up("r", 10, 6, Ready)))
	assert.Equal(t, state(b, "r"), Gone)
	assert.Assert(t, b.Heartbeat(start, up("r", 20, 1, Ready)), "a new start under the same id")
	assert.Equal(t, state(b, "r"), Ready)
}

// Guards against work for a crashed upstream whose delayed heartbeat arrives after another one took its address.
func TestAddressBelongsToTheLatestStart(t *testing.T) {
	b := board()
	b.Heartbeat(start, up("old", 10, 1, Ready))
	b.Heartbeat(start, up("new", 50, 1, Ready))
	assert.Equal(t, state(b, "old"), Gone)
	b.Heartbeat(start, up("late", 30, 9, Ready))
	_, known := b.Find("late")
	assert.Assert(t, !known)
	assert.Equal(t, state(b, "new"), Ready)
}

// Guards against control nodes that differ for good after messages in another order or twice.
func TestMergeOrderDoesNotMatter(t *testing.T) {
	batches := []Batch{
		{Upstreams: []Upstream{up("r", 10, 1, Ready)}},
		{Upstreams: []Upstream{up("r", 10, 7, Draining)}},
		{Upstreams: []Upstream{up("r", 10, 0, Gone)}},
	}
	for _, order := range [][]int{{0, 1, 2}, {2, 1, 0}, {1, 2, 0, 1}, {2, 0, 1, 2}} {
		b := board()
		for _, i := range order {
			b.Merge(start, "b", batches[i])
		}
		assert.Equal(t, state(b, "r"), Gone, "%v", order)
	}
}

const anyNumber = 1 << 30

// Guards against readers that miss a change or keep a removed record, and against one removed record that makes all readers read
// all records again.
func TestSinceTellsChangesAndRemovals(t *testing.T) {
	b := board()
	b.Heartbeat(start, up("r", 10, 1, Ready))
	d := b.ChangesSince(start, 0, anyNumber)
	assert.Assert(t, d.Full)
	assert.Equal(t, len(d.Upstreams), 1)
	b.Heartbeat(start.Add(time.Second), up("r", 10, 2, Ready))
	assert.Equal(t, len(b.ChangesSince(start, d.Version, anyNumber).Upstreams), 0, "a plain renewal is no change")
	b.Tick(start.Add(6 * time.Second))
	silent := b.ChangesSince(start, d.Version, anyNumber)
	assert.Equal(t, len(silent.Upstreams), 1)
	assert.Assert(t, silent.Upstreams[0].Silent)
	b.Tick(start.Add(time.Minute))
	gone := b.ChangesSince(start, d.Version, anyNumber)
	assert.Assert(t, gone.Full, "the reader does not know that the record fell silent before it was removed")
	assert.Equal(t, len(gone.Upstreams), 0)
	known := b.ChangesSince(start, silent.Version, anyNumber)
	assert.Assert(t, !known.Full, "the reader knows that it is silent, and forgets it by itself")
	assert.Equal(t, len(known.Upstreams), 0)
}

// Guards against a node with a slow link that waits for all records in one message: "3,000 upstreams at a start".
func TestRecordsComeInPages(t *testing.T) {
	b := board()
	for i := range 1000 {
		u := up(fmt.Sprint("r", i), 10, 1, Ready)
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

// Guards against callers that are sent to a node that stops or has fallen silent, and against an empty answer while other
// data centres serve.
func TestServingPrefersTheCallersDataCentre(t *testing.T) {
	b := board()
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
	assert.DeepEqual(t, names(b.ReadyEntries(start, "caller", "a", "north")), []string{"a1", "a2"})
	report("a2", "a", "north", false, 2)
	assert.DeepEqual(t, names(b.ReadyEntries(start, "caller", "a", "north")), []string{"a1", "b1"})
	assert.DeepEqual(t, names(b.ReadyEntries(start.Add(3*time.Second), "caller", "a", "north")), []string(nil))
}

// Guards against ready entry nodes that no caller ever hears of: "100 in one data centre, and an answer holds 64".
func TestEachEntryNodeIsGivenToSomeCaller(t *testing.T) {
	const nodes, room, callers = 100, 64, 40
	b := board()
	for i := range nodes {
		b.ReportEntry(start, Entry{Node: fmt.Sprint("e", i), DataCentre: "a", Region: "north", Ready: true, ReportSequence: 1})
	}
	given := map[string]int{}
	for i := range callers {
		caller := fmt.Sprint("10.9.0.", i)
		first := b.ReadyEntries(start, caller, "a", "north")[:room]
		for _, e := range first {
			given[e.Node]++
		}
		assert.DeepEqual(t, b.ReadyEntries(start, caller, "a", "north")[:room], first) // it keeps its connections
	}
	assert.Equal(t, len(given), nodes)
	for node, n := range given {
		assert.Assert(t, n > callers/4, "%s is given to %d of %d callers", node, n, callers)
	}
}
