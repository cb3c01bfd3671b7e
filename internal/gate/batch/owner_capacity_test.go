package batch

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/berylledge/berylledge/internal/base/rendez"
	"github.com/berylledge/berylledge/internal/gate/roster"
)

// Guards against queues and placers that small nodes own as often as large ones, and against nodes that choose different owners because
// only some of them report their capacity.
func TestOwnersFollowCapacity(t *testing.T) {
	const queues = 5000
	var entries []roster.Entry
	for i := range 10 {
		entries = append(entries, roster.Entry{Node: fmt.Sprint("e", i), Region: "n", Ready: true, Capacity: 144 + i/8*336})
	}
	others := []roster.Entry{{Node: "other region", Region: "s", Ready: true}, {Node: "not ready", Region: "n"}}
	any := func(roster.Entry) bool { return true }
	large := func(list []roster.Entry) float64 {
		n := 0
		for i := range queues {
			e := queueKey{fmt.Sprint("s", i), "n"}.ownerAmong(append(list, others...), any)
			assert.Equal(t, e.Region, "n")
			if e.Capacity > 144 {
				n++
			}
		}
		return float64(n) / queues
	}
	got, want := large(entries), 960.0/(960+8*144)
	assert.Assert(t, got > 0.93*want && got < 1.07*want, "%v, want %v", got, want)

	entries[0].Capacity = 0 // of an earlier release
	for i := range queues {
		key := queueKey{fmt.Sprint("s", i), "n"}
		best := entries[0].Node
		for _, e := range entries {
			if rendez.Compare(key.service, e.Node, best) < 0 {
				best = e.Node
			}
		}
		assert.Equal(t, key.ownerAmong(entries, any).Node, best)
	}
}
