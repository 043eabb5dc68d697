package dispatch

import "math"

// An entry that doesn't see what most others place can't join them on the engines that they pack: it
// would fill these beyond their slots while others are idle. That is so after a start of all entries at
// once, until their links are up, and behind a partition.

// SetLinked sets the number of other entries whose placements this entry receives.
func (f *Fleet) SetLinked(n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.linked = n
}

// hasPartialView reports whether this entry receives the placements of less than half of the other entries.
func (f *Fleet) hasPartialView() bool { return 2*f.linked < len(f.entries)-1 }

// equalCost is the difference in cost up to which engines count as equal: less than the cost of one stream
// more.
const equalCost = 0.01

// spreadSingle returns a random engine among those that cost as much as the cheapest by what is known here.
// Where others pack their requests doesn't count.
func (s *search) spreadSingle() plan {
	least, found := math.Inf(1), 0
	var picked *upstreamState
	for _, cheapestOnly := range []bool{true, false} {
		for _, u := range s.candidates {
			if !s.singleUsable(u) {
				continue
			}
			cost := s.singleCost(u)
			switch {
			case cheapestOnly && cost < least:
				picked, least = u, cost
			case !cheapestOnly && cost <= least+equalCost:
				found++
				if s.random.IntN(found) == 0 {
					picked = u
				}
			}
		}
	}
	s.leastCost = least
	return plan{primary: picked, partTime: s.prefillTime}
}

// packingRank returns the rank of an engine in the order in which short prompts are packed. The orders of
// entries that don't see each other differ.
func (s *search) packingRank(u *upstreamState) int {
	if !s.partialView {
		return u.position
	}
	n := len(s.fleet.services[u.Service])
	return (u.position + int(s.fleet.settings.Origin%uint64(n))) % n
}
