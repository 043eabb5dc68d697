package dispatch

import "time"

// Outcome is how a request ended at an upstream.
type Outcome uint8

// The outcomes.
const (
	// Served requests were answered.
	Served Outcome = iota
	// Shed requests were refused for lack of room, with proof that they did not run.
	Shed
	// Failed requests were not answered, or wrongly: the upstream or the way to it is ill.
	Failed
	// Abandoned requests were given up for reasons that say nothing of the upstream.
	Abandoned
)

// health is what the outcomes of real requests say of an upstream. Health checks can lie
// either way, to all or to some, and cost a place; outcomes are what callers see.
type health struct {
	strikes int
	until   time.Time
}

const (
	// ejectFirst is the first ejection's length; each further failure in a row doubles it.
	ejectFirst = 400 * time.Millisecond
	// ejectMost bounds it: an upstream that was mended is found again in this time.
	ejectMost = 6 * time.Second
	// shedPause keeps off an upstream that has no room, for about the time that a place
	// needs to come free.
	shedPause = 60 * time.Millisecond
	// strikeDoubt is added to the load of an upstream for each failure in a row.
	strikeDoubt = 0.3
)

func (h *health) ejected(now time.Time) bool { return now.Before(h.until) }

// doubt returns what failures in a row add to the load, as a share of the slots.
func (h *health) doubt() float64 { return strikeDoubt * float64(min(h.strikes, 5)) }

func (h *health) record(now time.Time, outcome Outcome) {
	switch outcome {
	case Served:
		h.strikes = 0
		h.until = time.Time{}
	case Failed:
		length := min(ejectFirst<<min(h.strikes, 8), ejectMost)
		h.strikes++
		h.until = later(h.until, now.Add(length))
	case Shed:
		h.until = later(h.until, now.Add(shedPause))
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
