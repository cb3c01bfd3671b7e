package gwnode

import (
	"encoding/json"
	"math"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a VM that reports a capacity other than its processor time, or one although it does not know its size.
func TestCapacityIsTheProcessorTime(t *testing.T) {
	for _, c := range []struct {
		limits Limits
		want   int
	}{
		{Limits{}, 0},
		{Limits{CPUShare: 0.048, Cores: 3}, 144},
		{Limits{CPUShare: 0.16, Cores: 3}, 480},
		{Limits{CPUShare: 0.5}, 0},
		{Limits{Cores: 4}, 0},
		{Limits{CPUShare: 1e-9, Cores: 1}, 1},
		{Limits{CPUShare: 1e300, Cores: 1e300}, maxCapacity},
		{Limits{CPUShare: math.NaN(), Cores: 1}, 0},
	} {
		assert.Equal(t, c.limits.capacity(), c.want, "%v", c.limits)
	}
}

// Guards against capacities that do not reach the directory or the other entry nodes: of nodes of different size, each caller is
// told some.
func TestDirectoryKnowsTheSizeOfEntryNodes(t *testing.T) {
	f := newFleet(t, 78)
	f.sizes = map[int]Limits{11: {CPUShare: 0.16, Cores: 3}}
	for node := 12; node <= 15; node++ {
		f.sizes[node] = Limits{CPUShare: 0.048, Cores: 3}
	}
	first := f.startSmallest()
	for node := 12; node <= 15; node++ {
		f.start(node, true)
	}
	f.eventually("an entry node knows the capacities of all", func() bool {
		total := 0
		for _, e := range first.poller.View().Entries {
			total += e.Capacity
		}
		return total == 480+4*144
	})
	named := map[string]bool{}
	f.eventually("four of the five entry nodes are named, not always the same", func() bool {
		status, text := f.do("GET", "http://"+f.at(1, directoryPort)+"/v1/traffic/entries?data_centre=a&region=north", nil)
		var reply struct{ Addresses []string }
		if status != 200 || json.Unmarshal([]byte(text), &reply) != nil || len(reply.Addresses) != 4 {
			return false
		}
		for _, a := range reply.Addresses {
			named[a] = true
		}
		return len(named) == 5
	})
}
