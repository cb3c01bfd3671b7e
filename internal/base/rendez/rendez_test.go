package rendez

import (
	"fmt"
	"slices"
	"testing"

	"gotest.tools/v3/assert"
)

// owner returns the node with the highest score for a key.
func owner(key string, nodes []string) string {
	return slices.MinFunc(nodes, func(a, b string) int { return Compare(key, a, b) })
}

// Guards against an uneven distribution of keys, and against keys that move although their node was not removed.
func TestKeysAreDistributedEvenlyAndStable(t *testing.T) {
	nodes := []string{"e1", "e2", "e3", "e4"}
	count := map[string]int{}
	for i := range 4000 {
		key := fmt.Sprint("key", i)
		first := owner(key, nodes)
		count[first]++
		if first != "e4" {
			assert.Equal(t, owner(key, nodes[:3]), first)
		}
	}
	for _, n := range nodes {
		assert.Assert(t, count[n] > 850 && count[n] < 1150, "%v", count)
	}
}

// Guards against weights that, if equal, change the owner of a key.
func TestEqualWeightsKeepTheOrder(t *testing.T) {
	for i := range 1000 {
		key := fmt.Sprint(i)
		a := WeightedScore(key, WeightedNode{"a", 2})
		b := WeightedScore(key, WeightedNode{"b", 2})
		assert.Equal(t, a > b, Compare(key, "a", "b") < 0)
	}
}
