package routing

import (
	"math"
	"time"

	"acaciacleat.example/core/decay"
)

const (
	// heatSlots bounds the prefixes whose load is followed; a prefix that loses its slot
	// starts again as cold. 4,096 slots of 32 bytes are 128 KB.
	heatSlots = 4096
	// heatOver is the time constant by which load is forgotten, half of it in 20 s: a few rounds
	// of queueing and prefill.
	heatOver = 28_854 * time.Millisecond
	// homeShare is the share of one replica's fair load that a home should carry for one
	// prefix before a second home is worth a second copy of it (evaluator).
	homeShare = 0.5
	// shrinkShare is the part of the load for the present homes below which one is given
	// up; the gap to 1 keeps a load near the edge from splitting and merging in turn.
	shrinkShare = 0.6
	// minHeat is the total of tokens below which no prefix is called hot.
	minHeat = 200_000
)

// heat follows the load in prompt tokens that each prefix brings, as sums that decay.
// The reader sees a part of all requests only; shares of its own total stand for the whole.
type heat struct {
	slots []heatSlot
	total decay.Sum
}

type heatSlot struct {
	key   uint64
	load  decay.Sum
	homes int
}

func newHeat() *heat { return &heat{slots: make([]heatSlot, heatSlots)} }

func (h *heat) add(key uint64, tokens int, now time.Time) {
	h.total.Add(now, float64(tokens), heatOver)
	s := &h.slots[key%heatSlots]
	load := s.load.Value(now, heatOver)
	if s.key != key {
		// The heavier of two prefixes in one slot keeps it, as in a space-saving sketch.
		if load > float64(tokens) {
			return
		}
		*s = heatSlot{key: key, homes: 1}
	}
	s.load.Add(now, float64(tokens), heatOver)
}

// homes returns how many of the replicas should be homes of the prefix: one for each
// homeShare of a replica's fair load.
func (h *heat) homes(key uint64, replicas int, now time.Time) int {
	s := &h.slots[key%heatSlots]
	total := h.total.Value(now, heatOver)
	if s.key != key || total < minHeat {
		return 1
	}
	wanted := s.load.Value(now, heatOver) / total * float64(replicas) / homeShare
	if wanted > float64(s.homes) {
		s.homes = int(math.Ceil(wanted))
	}
	for s.homes > 1 && wanted < shrinkShare*float64(s.homes) {
		s.homes--
	}
	s.homes = min(s.homes, maxHomes, replicas)
	return s.homes
}
