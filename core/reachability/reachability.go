// Package reachability tracks which availability zones can't reach each other, from the connections that
// an entry dials and from what other entries report. It does no I/O.
//
// Evidence on single upstreams finds a cut between two zones only one upstream after the other, at the
// price of a dial that times out for each of them. Here the first dials that stay unanswered make the
// entry check the zone at once, and the entries of a zone tell each other.
package reachability

import (
	"cmp"
	"slices"
	"time"
)

const (
	// SuspectAfter is how long a dial may take before its zone is checked: many round trips between
	// zones.
	SuspectAfter = 100 * time.Millisecond
	// CheckTimeout bounds one dial of a check.
	CheckTimeout = 150 * time.Millisecond
	// CheckSize is the number of upstreams that a check dials in the zone, and in other ones beside. If only
	// others answer, the zone counts as cut off.
	CheckSize = 3
	// CheckInterval is the least time between two checks of a zone. A zone that is cut off is checked, and
	// reported to the other entries, at this interval.
	CheckInterval = 300 * time.Millisecond
	// maxCheckTime is how long a check may take. One that took longer proves nothing: the process was
	// frozen, and its dials may have timed out meanwhile.
	maxCheckTime = 2 * CheckTimeout
	// reportTTL is how long another entry's report holds unless it is repeated.
	reportTTL = time.Second
	// maxZones bounds the zones that are tracked, maxReports the reports that are kept.
	maxZones   = 64
	maxReports = 1024
)

// Pair is two zones, the second of which the entries of the first can't reach.
type Pair struct{ From, To string }

// report is one entry's report on a pair.
type report struct {
	pair   Pair
	origin uint64
}

// Tracker tracks the cuts that concern one entry. It is not safe for concurrent use.
type Tracker struct {
	zone  string
	zones map[string]*zoneState
	// reports are those of other entries, with the time until which each holds.
	reports map[report]time.Time
}

// zoneState is what this entry itself knows of another zone.
type zoneState struct {
	cut bool
	// answeredAt is when an upstream of the zone last answered; checkedAt is when the last check began.
	answeredAt time.Time
	checkedAt  time.Time
}

// New returns the Tracker of an entry in a zone.
func New(zone string) *Tracker {
	return &Tracker{zone: zone, zones: make(map[string]*zoneState), reports: make(map[report]time.Time)}
}

func (t *Tracker) state(zone string) *zoneState {
	s := t.zones[zone]
	if s == nil {
		s = &zoneState{}
		if len(t.zones) < maxZones {
			t.zones[zone] = s
		}
	}
	return s
}

// Answered records that an upstream of a zone has answered. It reports whether the zone was cut off.
func (t *Tracker) Answered(now time.Time, zone string) (returned bool) {
	s := t.state(zone)
	s.answeredAt = now
	returned = s.cut
	s.cut = false
	return returned
}

// Cut reports whether this entry can't reach a zone.
func (t *Tracker) Cut(zone string) bool {
	s := t.zones[zone]
	return s != nil && s.cut
}

// BeginCheck reports whether a zone is to be checked because a dial there has been unanswered since a
// time. It returns false if the zone has answered since, or has just been checked.
func (t *Tracker) BeginCheck(now time.Time, zone string, unansweredSince time.Time) bool {
	s := t.state(zone)
	if zone == t.zone || s.answeredAt.After(unansweredSince) || now.Sub(s.checkedAt) < CheckInterval {
		return false
	}
	s.checkedAt = now
	return true
}

// EndCheck records the end of a check that began at a time, and whether an upstream of the zone answered.
// It reports whether the zone has become, or is no longer, cut off.
func (t *Tracker) EndCheck(now, began time.Time, zone string, answered bool) (changed bool) {
	if answered {
		return t.Answered(now, zone)
	}
	s := t.state(zone)
	if s.cut || s.answeredAt.After(began) || now.Sub(began) > maxCheckTime || !t.othersAnswer(began, zone) {
		return false
	}
	s.cut = true
	return true
}

// othersAnswer reports whether a zone other than the given one has answered since a time. If none has, this
// entry's own VM may be at fault, and no zone is better than another.
func (t *Tracker) othersAnswer(since time.Time, zone string) bool {
	for name, s := range t.zones {
		if name != zone && !s.answeredAt.Before(since) {
			return true
		}
	}
	return false
}

// Own returns the cuts that this entry itself sees.
func (t *Tracker) Own() []Pair {
	var pairs []Pair
	for zone, s := range t.zones {
		if s.cut {
			pairs = append(pairs, Pair{t.zone, zone})
		}
	}
	slices.SortFunc(pairs, comparePairs)
	return pairs
}

// Report records another entry's report. It reports whether this entry should check the zone itself: the
// report is of its own zone, and it can still reach the other one.
func (t *Tracker) Report(now time.Time, origin uint64, pair Pair) (check bool) {
	t.expire(now)
	key := report{pair, origin}
	if _, known := t.reports[key]; known || len(t.reports) < maxReports {
		t.reports[key] = now.Add(reportTTL)
	}
	return pair.From == t.zone && !t.Cut(pair.To)
}

// Pairs returns the cuts that this entry sees or other entries report, each once.
func (t *Tracker) Pairs(now time.Time) []Pair {
	t.expire(now)
	pairs := t.Own()
	for r := range t.reports {
		pairs = append(pairs, r.pair)
	}
	slices.SortFunc(pairs, comparePairs)
	return slices.Compact(pairs)
}

func (t *Tracker) expire(now time.Time) {
	for r, until := range t.reports {
		if !now.Before(until) {
			delete(t.reports, r)
		}
	}
}

func comparePairs(a, b Pair) int { return cmp.Or(cmp.Compare(a.From, b.From), cmp.Compare(a.To, b.To)) }
