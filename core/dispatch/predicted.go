package dispatch

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"acaciacleat.example/core/enginemodel"
)

// The predicted rule weighs each choice by what it costs in late requests: the request's
// own, and those that its reading makes late on the engines that it uses. Costs are in
// the worth of a request, see weight.
//
// Two things pull apart. A long prompt on one engine misses its aim; on many engines it
// stretches the pauses of every stream that they write. So short streams are packed onto
// as few engines as keep their aims, from the front of a fixed order that all entries
// share, and long prompts are read by many engines from its back.
const (
	// lateLoss is the part of a request's worth that is lost when it is late.
	lateLoss = 0.75
	// easyShare is the share of an aim up to which a predicted time is surely in time; from
	// there to the whole aim the chance of being late rises to one. Predictions don't know
	// of requests that other entries place in the same moment.
	easyShare = 0.6
	// easyGap is the same for pauses by parts of long prompts, which come out as predicted.
	// Beside streams with a good pause of 250 ms long prompts are then read in parts of up to
	// 180 ms; with 0.6, at twice the usual load, they were refused for lack of engines and
	// earned half as much.
	easyGap = 0.9
	// orderCost is what one place in the order costs, in worth: enough to decide between
	// engines that are alike, too little to make a request late.
	orderCost = 0.004
	// partCost is what each further engine costs a long prompt: its passes end unevenly.
	partCost = 0.004
	// networkDelay is the time of a request's way to an upstream and of its first event's
	// way back.
	networkDelay = 4 * time.Millisecond
)

// partCounts are the numbers of engines that are tried for a long prompt.
var partCounts = [...]int{2, 3, 4, 5, 6, 8, 10, 12, 14, 17}

const (
	// partedFrom is the reading time from which more than one engine is tried. Under it, the
	// parts' passes cost more than they gain.
	partedFrom = 150 * time.Millisecond
	// waitCost is what a second of waiting on one of several engines costs in the order in
	// which they are taken: the last of them decides when the prompt is read.
	waitCost = 1.0
	// considered is the number of engines that are weighed for a set: some more than a set
	// has at the most, so that the cost of a choice doesn't grow with the deployment.
	considered = 40
)

// search looks for the cheapest place for one request. It keeps its slices from one
// request to the next, so that a choice allocates nothing.
type search struct {
	now     time.Time
	request *Request
	spec    *enginemodel.Spec
	units   []*unit
	fleet   *Fleet
	// keep is the only engine that the request may go to; nil for any.
	keep *unit
	// self is the request as one of those that wait, and queued what waits before it.
	self   waiter
	queued queue
	// usable engines can read a part of it without making streams pause for too long, and idle
	// ones of them have nothing to read; backlog is what all engines have to read of parts.
	usable  int
	idle    int
	backlog time.Duration
	// sure says that long prompts are kept off engines that were proved to be gone.
	sure bool
	// unseen is the number of choices that others have made and this entry hasn't heard of.
	unseen float64
	// taken are the chances that others take a slot first, by the number of slots left.
	taken []float64
	// opening is what it costs long prompts to put the request beside none of its like.
	opening float64
	random  *rand.Rand
	// whole is its reading time on one engine.
	whole   time.Duration
	least   float64
	offers  []offer
	near    []offer
	freed   []time.Duration
	helpers []*unit
	tickets []int
}

// offer is what one engine costs as a part of a set.
type offer struct {
	unit *unit
	cost float64
}

// predicted places a request on one engine, or on several that each read a part.
func (s *search) predicted(now time.Time, request *Request, spec *enginemodel.Spec) plan {
	s.now, s.request, s.spec = now, request, spec
	s.whole = spec.Read(request.PromptTokens)
	for _, u := range s.units {
		u.drain(now)
		for _, l := range u.loads {
			l.work.done, l.work.trial = 0, 0
		}
	}
	s.backlog = 0
	s.sure = s.whole >= partedFrom && s.mostlyAlive()
	for _, u := range s.units {
		u.foresee()
		s.foreseeEnds(u)
		s.backlog += u.ahead
	}
	s.unseen = s.fleet.unseen(now)
	s.taken = chancesTaken(s.taken[:0], s.unseen/bestShared, spec.Slots)
	s.queued = queue{}
	if s.held() {
		s.survey()
		s.queued = s.fleet.standing(now, s.waiter(), s.backlog, s.usable)
	}
	best := s.alone()
	if s.whole >= partedFrom {
		best = s.parted(best)
	}
	load := s.load()
	turn := s.turn(&best, s.first(&best))
	best.hold, best.next = turn.hold, turn.next
	best.refused = turn.tooLate || !request.Committed && (s.hopeless(turn.first) || s.crowded(&best, turn.first))
	best.urgency = urgency(request)
	best.why = Why{Cost: s.least, First: turn.first, Read: s.whole, Load: load}
	if best.refused {
		best.why.Clear = s.clear()
	}
	return best
}

// mostlyAlive tells whether most engines have nothing proved against them.
func (s *search) mostlyAlive() bool {
	alive := 0
	for _, u := range s.units {
		if !u.health.Proved() {
			alive++
		}
	}
	return 2*alive > len(s.units)
}

// avoids tells whether the request keeps off an engine that was proved to be gone. It is left to
// short requests to find out whether it is back.
//
// What goes wrong without it: a set that many engines read meets first what one of a few entries
// knows, and fails as a whole, at each entry once more.
func (s *search) avoids(u *unit) bool { return s.sure && u != s.keep && u.health.Proved() }

// crowded tells whether the request would wait for a slot until it is late, and hold up those
// behind it. An engine with a free slot is passed over only where the request's reading would
// cost the streams there more than it brings.
//
// What goes wrong without it: beyond what the slots bear, each short request waits in an
// engine's queue until it is late, takes a slot all the same, and makes those behind it late:
// goodput falls to half. One that is sent back leaves the slot to one that is in time.
func (s *search) crowded(p *plan, first time.Duration) bool {
	return p.first != nil && p.first.streams >= s.spec.Slots && first > s.request.Aim
}

// load returns the mean of what the engines have to read.
func (s *search) load() time.Duration {
	var sum time.Duration
	for _, u := range s.units {
		sum += u.backlog
	}
	return sum / time.Duration(len(s.units))
}

// first returns when a plan's first event is expected: when the last of its engines has
// read its part. A plan without an engine has none.
func (s *search) first(p *plan) time.Duration {
	if p.first == nil {
		return 0
	}
	if len(p.helpers) == 0 {
		return s.wait(p.first) + s.slotWait(p.first.streams) + p.left
	}
	last := s.pass(p.first)
	for _, u := range p.helpers {
		last = max(last, s.pass(u))
	}
	return last + p.left
}

// alone returns the best single engine.
func (s *search) alone() plan {
	if s.whole >= partedFrom {
		return s.cheapest(1)
	}
	count := min(1+int(math.Ceil(s.unseen*spreadOver)), mostSpread)
	s.opening = s.openingCost()
	best := s.cheapest(count)
	if s.opening > 0 && s.crowded(&best, s.first(&best)) {
		// Long prompts wait for their turn; a short one would be sent back.
		s.opening = 0
		best = s.cheapest(count)
	}
	return best
}

const (
	// newsAge is what news of a choice take to all other entries: the wait for a batch, two
	// links, and the handling at each end.
	newsAge = 7 * time.Millisecond
	// placementsOver is the time over which others' choices are counted: short against a rush.
	placementsOver = time.Second
	// assumedUnseen is assumed where hardly any choice of others is heard of, fewer than hardlyAny
	// in newsAge: at a start, or behind a cut, there are others all the same.
	assumedUnseen = 0.5
	hardlyAny     = 0.05
	// spreadOver is the number of engines to choose from for each choice that isn't known yet.
	spreadOver = 4
	// mostSpread bounds them, so that the cost of a choice doesn't grow with the deployment.
	mostSpread = 16
)

// unseen returns how many choices others have made, as is expected, that are not known here yet.
func (f *Fleet) unseen(now time.Time) float64 {
	unseen := newsAge.Seconds() * f.placements.PerSecond(now, placementsOver)
	if unseen < hardlyAny {
		return assumedUnseen
	}
	return unseen
}

// cheapest returns the cheapest single engine, or one of the cheapest so many that cost hardly
// more.
//
// What goes wrong with the cheapest alone: it is the same one for all entries, and the more
// entries there are, the more of them take its last slots before they hear of each other. One
// sees first events late by a stream's length on a fleet that is nearly idle.
func (s *search) cheapest(count int) plan {
	s.near = s.near[:0]
	for _, u := range s.units {
		if s.keep != nil && u != s.keep || s.held() && !u.free() || s.avoids(u) {
			continue
		}
		cost := s.own(s.wait(u)+s.whole) + s.gaps(u, s.whole) + s.room(u) + s.order(u) + u.health.Doubt(s.now)
		s.near = keepLeast(s.near, offer{unit: u, cost: cost}, count, byCost)
	}
	if len(s.near) == 0 {
		s.least = math.Inf(1)
		return plan{left: s.whole}
	}
	s.least = s.near[0].cost
	return plan{first: s.oneOf(s.near), left: s.whole}
}

// keepLeast adds a value to the least ones that are kept in order, of which there are so many at the
// most; of those that are alike the earlier ones stay.
func keepLeast[T any](kept []T, value T, most int, compare func(a, b T) int) []T {
	if len(kept) == most {
		if compare(value, kept[most-1]) >= 0 {
			return kept
		}
		kept = kept[:most-1]
	}
	i, _ := slices.BinarySearchFunc(kept, value, compare)
	return slices.Insert(kept, i, value)
}

// oneOf draws one of the offers that cost no more than meeting others at the first of them
// would, neither on a full engine nor on one that long prompts would miss.
func (s *search) oneOf(offers []offer) *unit {
	best := offers[0]
	kept := 1
	for _, o := range offers[1:] {
		dear := o.cost > best.cost+s.unseen*fullCost
		if dear || o.unit.streams >= s.spec.Slots || s.opens(o.unit) && !s.opens(best.unit) {
			continue
		}
		offers[kept] = o
		kept++
	}
	if kept == 1 {
		return best.unit
	}
	return offers[s.random.IntN(kept)].unit
}

// wait returns the time until an engine begins to read the request alone: after all else.
func (s *search) wait(u *unit) time.Duration { return s.pass(u) + u.backlog }

// pass returns the time until an engine turns to a part of a prompt, which it reads ahead
// of all else, and tells of it.
func (s *search) pass(u *unit) time.Duration {
	if u.streams == 0 {
		return networkDelay
	}
	// The pass in hand ends first, and the first event comes with the end of the pass in
	// which the prompt is read. On engines that write nothing, it comes at once. Observed
	// first events of short prompts came 68 ms later at the median than predicted without
	// the second pass.
	return networkDelay + s.spec.Pause(u.streams, u.context)*3/2
}
