// Package rendez is rendezvous hashing: each of several nodes has a weight for a key, and the node with the highest weight has
// the key. All who know the same nodes agree without talking, and a node that comes or goes moves its own keys only.
//
// Usage:
//
//	slices.SortFunc(nodes, func(a, b Node) int { return rendez.Compare(key, a.ID, b.ID) }) // highest weight first
package rendez

import (
	"cmp"

	"github.com/cespare/xxhash/v2"
)

// Weight returns the weight of a node for a key.
func Weight(key, node string) uint64 { return xxhash.Sum64String(key + "\x00" + node) }

// Compare orders nodes by falling weight, and nodes with equal weight by name.
func Compare(key, a, b string) int {
	return cmp.Or(cmp.Compare(Weight(key, b), Weight(key, a)), cmp.Compare(a, b))
}
