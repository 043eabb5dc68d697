package routing

import (
	"math"
	"time"

	"acaciacleat.example/core/decay"
)

const (
	// maxTrackedPrefixes bounds the prefixes whose load is tracked. A prefix that loses its
	// slot starts again without load. 4,096 slots of 32 bytes are 128 KB.
	maxTrackedPrefixes = 4096
	// loadTimeConstant is the time constant of the decaying load sums, a half-life of 20 s:
	// a few rounds of queueing and prefill.
	loadTimeConstant = 28_854 * time.Millisecond
	// loadPerHome is the load of one prefix, as a share of a replica's fair load, above
	// which a second home is worth a second copy of the prefix. The fair load is the total
	// divided by the number of replicas.
	loadPerHome = 0.5
	// mergeThreshold is the part of the load for the present number of homes below which one
	// of them is given up. It is below 1 so that a load near the edge does not add and
	// remove a home again and again.
	mergeThreshold = 0.6
	// minTotalLoad is the total of tokens below which every prefix has one home.
	minTotalLoad = 200_000
)

// prefixLoads tracks the load in prompt tokens of each prefix, as decaying sums. An entry
// sees only some of the requests: a prefix's share of this entry's total estimates its share
// of all load.
type prefixLoads struct {
	slots []prefixLoad
	total decay.Sum
}

// prefixLoad is the load and the number of homes of one prefix.
type prefixLoad struct {
	key   uint64
	load  decay.Sum
	homes int
}

func newPrefixLoads() *prefixLoads {
	return &prefixLoads{slots: make([]prefixLoad, maxTrackedPrefixes)}
}

func (l *prefixLoads) add(key uint64, tokens int, now time.Time) {
	l.total.Add(now, float64(tokens), loadTimeConstant)
	slot := &l.slots[key%maxTrackedPrefixes]
	load := slot.load.Value(now, loadTimeConstant)
	if slot.key != key {
		// Of two prefixes that share a slot the one with more load keeps it, as in the
		// space-saving algorithm.
		if load > float64(tokens) {
			return
		}
		*slot = prefixLoad{key: key, homes: 1}
	}
	slot.load.Add(now, float64(tokens), loadTimeConstant)
}

// homes returns the number of replicas that should be homes of the prefix: one for each
// loadPerHome of a replica's fair load, at most maxHomes. The number falls only once the load is
// below mergeThreshold.
func (l *prefixLoads) homes(key uint64, replicas int, now time.Time) int {
	slot := &l.slots[key%maxTrackedPrefixes]
	total := l.total.Value(now, loadTimeConstant)
	if slot.key != key || total < minTotalLoad {
		return 1
	}
	target := slot.load.Value(now, loadTimeConstant) / total * float64(replicas) / loadPerHome
	if target > float64(slot.homes) {
		slot.homes = int(math.Ceil(target))
	}
	for slot.homes > 1 && target < mergeThreshold*float64(slot.homes) {
		slot.homes--
	}
	slot.homes = min(slot.homes, maxHomes, replicas)
	return slot.homes
}
