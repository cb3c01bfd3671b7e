package roster

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/berylledge/berylledge/internal/base/rendez"
)

// fleet returns a registry of entry nodes with these capacities, spread over data centres.
func fleet(dataCentres int, capacities ...int) *Registry {
	b := newTestRegistry()
	for i, c := range capacities {
		b.ReportEntry(start, Entry{
			Node: fmt.Sprintf("e%03d", i), DataCentre: fmt.Sprint("dc", i%dataCentres), Region: "north", Ready: true, ReportSequence: 1, Capacity: c,
		})
	}
	return b
}

// mixed returns the capacities of n nodes, a fifth of which have 3.3 times the capacity of the others.
func mixed(n int) []int {
	out := slices.Repeat([]int{144}, n)
	for i := range n / 5 {
		out[i] = 480
	}
	return out
}

// Guards against small VMs that get as many callers as large ones, also if a data centre has few VMs, and against VMs that get none.
func TestSmallVMsGetTheirShare(t *testing.T) {
	const nodes, callers, small, large = 300, 10_000, 144, 480
	for _, c := range []struct{ dataCentres, callers int }{{1, callers}, {12, callers}, {30, callers}, {12, 1}, {12, 40}} {
		b := fleet(c.dataCentres, mixed(nodes)...)
		rng := rand.New(rand.NewPCG(1, 2))
		picked := map[int]int{}
		byNode := map[string]int{}
		for i := range callers {
			caller := Caller{
				Name: fmt.Sprintf("10.%d.%d.9", i%c.callers/200, i%c.callers%200), DataCentre: fmt.Sprint("dc", rng.IntN(c.dataCentres)), Region: "north",
				Peers: c.callers / c.dataCentres, Query: uint64(i),
			}
			list := b.ReadyEntries(start, caller)
			assert.Assert(t, len(list) >= minNamed && len(list) <= maxNamed, "%d", len(list))
			e := list[rng.IntN(len(list))]
			picked[e.Capacity]++
			byNode[e.Node]++
		}
		want := map[int]float64{}
		for _, capacity := range mixed(nodes) {
			want[capacity] += float64(capacity) / (nodes*4/5*small + nodes/5*large)
		}
		for capacity, share := range want {
			got := float64(picked[capacity]) / callers
			t.Logf("data centres=%d callers=%d capacity=%d: share %.3f, by capacity %.3f", c.dataCentres, c.callers, capacity, got, share)
			assert.Assert(t, got > 0.9*share && got < 1.1*share, "%v: capacity %d has share %v, want %v", c, capacity, got, share)
		}
		assert.Equal(t, len(byNode), nodes, "all nodes get callers")
	}
}

// Guards against answers that change with each query, and against lists that change as a whole when a node joins.
func TestListsOfNodesOfDifferentSizeAreStable(t *testing.T) {
	b := fleet(1, mixed(50)...)
	ask := func(caller int) []string {
		var out []string
		for _, e := range b.ReadyEntries(start, Caller{Name: fmt.Sprint(caller), DataCentre: "dc0", Peers: 500, Query: rand.Uint64()}) {
			out = append(out, e.Node)
		}
		return out
	}
	before := map[int][]string{}
	for i := range 500 {
		before[i] = ask(i)
		assert.DeepEqual(t, ask(i), before[i])
	}
	b.ReportEntry(start, Entry{Node: "new", DataCentre: "dc0", Region: "north", Ready: true, ReportSequence: 1, Capacity: 144})
	kept, all := 0, 0
	for i := range 500 {
		for _, node := range ask(i) {
			all++
			if slices.Contains(before[i], node) {
				kept++
			}
		}
	}
	assert.Assert(t, float64(kept) > 0.93*float64(all), "%d of %d", kept, all)
}

// Guards against answers that differ from those of earlier releases where sizes do not matter, and against nodes of an unknown
// size that are treated as large.
func TestNodesOfEqualOrUnknownSizeAreNamedAsBefore(t *testing.T) {
	for _, capacity := range []int{0, 144} {
		b := fleet(1, slices.Repeat([]int{capacity}, 70)...)
		for i := range 50 {
			caller := fmt.Sprint("10.0.0.", i)
			got := b.ReadyEntries(start, Caller{Name: caller, DataCentre: "dc0", Region: "north", Query: uint64(i)})
			assert.Equal(t, len(got), 70)
			assert.Assert(t, slices.IsSortedFunc(got, func(a, b Entry) int { return rendez.Compare(caller, a.Node, b.Node) }))
		}
	}
	weights, total := capacities([]Entry{{Capacity: 480}, {}, {Capacity: 144}, {Capacity: -1}})
	assert.DeepEqual(t, weights, []float64{480, 144, 144, 144})
	assert.Equal(t, total, 912.0)
	b := fleet(1, 480, 144, 144)
	got := b.ReadyEntries(start, Caller{Name: "c", DataCentre: "dc0"})
	slices.SortFunc(got, func(a, b Entry) int { return cmp.Compare(a.Node, b.Node) })
	assert.Equal(t, len(got), 3, "fewer nodes than a caller needs are all named")
}

// Measures a query of the directory at a large site.
func BenchmarkReadyEntries(b *testing.B) {
	for name, capacities := range map[string][]int{"equal": slices.Repeat([]int{144}, 300), "mixed": mixed(300)} {
		b.Run(name, func(b *testing.B) {
			reg := fleet(6, capacities...)
			b.ReportAllocs()
			for i := range b.N {
				reg.ReadyEntries(start, Caller{Name: strconv.Itoa(i), DataCentre: "dc1", Region: "north", Peers: 1000})
			}
		})
	}
}
