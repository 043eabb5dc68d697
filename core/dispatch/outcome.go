package dispatch

import (
	"math"
	"time"

	"acaciacleat.example/core/evidence"
)

// Outcome is how a request ended at an upstream.
type Outcome uint8

// The outcomes.
const (
	// Served requests were answered.
	Served Outcome = iota
	// Shed requests were refused for lack of room, with proof that they did not run.
	Shed
	// Failed requests were answered wrongly, or with a failure of the upstream's own.
	Failed
	// Abandoned requests were given up for reasons that say nothing of the upstream.
	Abandoned
	// Lost requests got no answer, or one that broke off.
	Lost
	// Unreached requests found nobody at the upstream's address.
	Unreached
	// Misdirected requests found another incarnation at the upstream's address.
	Misdirected
)

// shedPause keeps off an upstream that has no room, for about the time that a place
// needs to come free.
const shedPause = 60 * time.Millisecond

// record takes the outcome of a request that was placed on a unit at asked. Health checks can
// lie either way, to all or to some, and cost a place; outcomes are what callers see.
func (f *Fleet) record(now time.Time, u *unit, outcome Outcome, asked time.Time) {
	switch outcome {
	case Served:
		f.seen(now, u, evidence.Answered, asked)
	case Shed:
		u.health.Pause(now, shedPause)
	case Failed:
		f.seen(now, u, evidence.Erred, asked)
	case Lost:
		f.seen(now, u, evidence.Silent, asked)
	case Unreached:
		f.seen(now, u, evidence.Absent, asked)
	case Misdirected:
		f.seen(now, u, evidence.Replaced, asked)
	}
}

// Observe takes what a call beside those of requests says of an upstream that was asked at the
// given time.
func (f *Fleet) Observe(now time.Time, upstream Upstream, outcome Outcome, asked time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if u := f.living(upstream); u != nil {
		f.record(now, u, outcome, asked)
	}
}

// seen takes evidence of this entry's own and wakes who tells the others.
func (f *Fleet) seen(now time.Time, u *unit, kind evidence.Kind, asked time.Time) {
	f.evidence.Seen(now, u.subject(), &u.health, kind, asked)
	if f.evidence.Pending() {
		f.wakeTeller()
	}
}

func (u *unit) subject() evidence.Subject {
	return evidence.Subject{Tag: uint32(u.tag), Name: u.name}
}

// AtFault reports that an upstream made another one refuse a prompt that both were to read, after
// it was asked at the given time. What a life that has ended is at fault for says nothing of the
// next.
//
// What goes wrong without it: the one that refused is taken for full, and every further set
// has the one at fault again, until the registry tells that it is gone. While the registry
// is away, that is as long as it stays away.
func (f *Fleet) AtFault(now time.Time, upstream Upstream, asked time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if u := f.living(upstream); u != nil {
		f.seen(now, u, u.fault(now, asked), asked)
	}
}

// refusesWithin is the time within which an engine says that another one won't read a part. What
// takes longer is an engine that waits for one that is silent, to it at least.
const refusesWithin = 500 * time.Millisecond

// fault is what it says of an engine if it doesn't read its part: it is gone or leaves, where it
// answered so at once and has places for parts.
func (u *unit) fault(now, asked time.Time) evidence.Kind {
	helps := 0
	for _, l := range u.loads {
		if l.helper && !l.work.begun {
			helps++
		}
	}
	if now.Sub(asked) < refusesWithin && helps < u.Slots {
		return evidence.Leaving
	}
	return evidence.Silent
}

// askFrom is the chance that one of a set is gone from which it is worth a round trip to ask.
const askFrom = 0.05

// chanceGone returns the chance that one of a plan's engines has gone and nobody knows it yet:
// engines that go together are found one after the other.
func (f *Fleet) chanceGone(now time.Time, p *plan) float64 {
	if len(p.helpers) == 0 {
		return 0
	}
	known := len(f.services[p.first.Service])
	each := min(f.evidence.Losses(now)/float64(known), 1)
	return 1 - math.Pow(1-each, float64(len(p.helpers)))
}

// Reports returns what other entries are to be told of upstreams since the last call.
func (f *Fleet) Reports(now time.Time) []evidence.Report {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.evidence.Reports(now)
}

// HeardReports takes what the entry with the given origin tells of upstreams.
func (f *Fleet) HeardReports(now time.Time, origin uint64, reports []evidence.Report) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, told := range f.evidence.Check(reports) {
		u := f.tags[Tag(told.Tag)]
		if u == nil {
			f.evidence.Drop(evidence.Unknown, 1)
			continue
		}
		f.evidence.Heard(now, origin, u.subject(), &u.health, told, len(f.services[u.Service]))
	}
}

// Verdicts returns which upstreams were left out or taken back since the last call.
func (f *Fleet) Verdicts() []evidence.Verdict {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.evidence.Verdicts()
}

// LeftOut returns the number of upstreams that are left out for what is held against them.
func (f *Fleet) LeftOut(now time.Time) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, u := range f.units {
		if u.health.Out(now) {
			n++
		}
	}
	return n
}

// DroppedReports returns how many reports of other entries were not taken up for a reason.
func (f *Fleet) DroppedReports(why evidence.Dropped) uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.evidence.Dropped(why)
}
