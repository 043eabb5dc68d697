// Package rendezvous chooses nodes for a key by rendezvous hashing. Every process that sees the
// same nodes makes the same choice, and adding or removing a node moves only the keys that it
// gains or loses.
package rendezvous

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Hash returns the hash of a key or a node's name.
func Hash(name string) uint64 { return xxhash.Sum64String(name) }

// Score returns the weight of a node for a key, from their hashes; the highest wins. It applies
// the finalizer of splitmix64 to both, so that each bit of either affects every bit of the score.
func Score(key, node uint64) uint64 {
	x := key ^ (node * 0x9e3779b97f4a7c15)
	x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9
	x = (x ^ (x >> 27)) * 0x94d049bb133111eb
	return x ^ (x >> 31)
}

// Ranked returns the indices of the nodes by falling score for a key. Equal scores are ordered
// by the nodes' names, so that the order of nodes does not matter.
func Ranked(key string, nodes []string) []int {
	hash := Hash(key)
	scores := make([]uint64, len(nodes))
	order := make([]int, len(nodes))
	for i, node := range nodes {
		scores[i] = Score(hash, Hash(node))
		order[i] = i
	}
	slices.SortFunc(order, func(a, b int) int {
		return cmp.Or(cmp.Compare(scores[b], scores[a]), cmp.Compare(nodes[a], nodes[b]))
	})
	return order
}
