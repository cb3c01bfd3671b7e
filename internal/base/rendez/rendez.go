// Package rendez implements rendezvous hashing (highest random weight): each node has a score for a key, and the node with the
// highest score owns the key. All processes with the same list of nodes compute the same owner without communication, and
// adding or removing a node moves only the keys of that node.
//
// Usage:
//
//	slices.SortFunc(nodes, func(a, b Node) int { return rendez.Compare(key, a.ID, b.ID) }) // highest score first
package rendez

import (
	"cmp"
	"math"

	"github.com/cespare/xxhash/v2"
)

// Score returns the unweighted score of a node for a key.
func Score(key, node string) uint64 { return xxhash.Sum64String(key + "\x00" + node) }

// Compare orders nodes by descending score for a key, and nodes with equal scores by name.
func Compare(key, a, b string) int {
	return cmp.Or(cmp.Compare(Score(key, b), Score(key, a)), cmp.Compare(a, b))
}

// WeightedNode is a node that owns a fraction of the keys in proportion to its weight.
type WeightedNode struct {
	Name   string
	Weight float64 // a node with weight 0 owns no keys
}

// WeightedScore returns the score of a node with a positive weight for a key. With equal weights, nodes are in the order of Score.
func WeightedScore(key string, n WeightedNode) float64 {
	uniform := (float64(Score(key, n.Name)) + 0.5) / (1 << 64)
	return -n.Weight / math.Log(uniform)
}

// Pick returns the name of the node that owns a key by weighted rendezvous hashing, or "" if no node has a positive weight. A
// change of one node's weight moves keys only to or from that node.
func Pick(key string, nodes []WeightedNode) string {
	best, bestScore := "", 0.0
	for _, n := range nodes {
		if n.Weight <= 0 {
			continue
		}
		score := WeightedScore(key, n)
		if best == "" || score > bestScore || score == bestScore && n.Name < best {
			best, bestScore = n.Name, score
		}
	}
	return best
}
