// Package rendez is rendezvous hashing: each of several nodes has a weight for a key, and the node with the highest weight has
// the key. All who know the same nodes agree without talking, and a node that comes or goes moves its own keys only.
//
// Usage:
//
//	slices.SortFunc(nodes, func(a, b Node) int { return rendez.Compare(key, a.ID, b.ID) }) // highest weight first
package rendez

import (
	"cmp"
	"math"

	"github.com/cespare/xxhash/v2"
)

// Score returns the weight of a node for a key.
func Score(key, node string) uint64 { return xxhash.Sum64String(key + "\x00" + node) }

// Compare orders nodes by falling weight, and nodes with equal weight by name.
func Compare(key, a, b string) int {
	return cmp.Or(cmp.Compare(Score(key, b), Score(key, a)), cmp.Compare(a, b))
}

// WeightedNode is a node that gets keys in proportion to a size.
type WeightedNode struct {
	Name   string
	Weight float64 // 0: it gets no keys
}

// Pick returns the node that has a key, "" if none has a size. A node whose size changes gains or loses its own keys only.
func Pick(key string, nodes []WeightedNode) string {
	best, most := "", 0.0
	for _, n := range nodes {
		if n.Weight <= 0 {
			continue
		}
		uniform := (float64(Score(key, n.Name)) + 0.5) / (1 << 64)
		score := -n.Weight / math.Log(uniform)
		if best == "" || score > most || score == most && n.Name < best {
			best, most = n.Name, score
		}
	}
	return best
}
