package pace

import (
	"math"
	"time"

	"acaciacleat.example/core/decay"
)

// Report is an entry's estimate of an incarnation's pace, as sent to other entries.
type Report struct {
	Tag  uint32
	Pace float64
	// Observations is the number of observations behind it.
	Observations int
	// AgeMs is the age of the latest observation in milliseconds. It replaces a time because the
	// clocks of entries differ.
	AgeMs int64
}

// valid reports whether a correct entry would send the report.
func (r *Report) valid() bool {
	inBounds := r.Pace >= Fastest && r.Pace <= Slowest && !math.IsNaN(r.Pace)
	return inBounds && r.Observations >= minObservations && r.AgeMs >= 0 && r.AgeMs < forgottenAfter.Milliseconds()
}

// Change says that an upstream has become slow, or is no longer.
type Change struct {
	Name string
	Slow bool
	Pace float64
	At   time.Time
}

const (
	// slowFrom is the pace from which an upstream is called slow, until it is below slowBelow.
	slowFrom  = 1.75
	slowBelow = 1.4
	// reportedDifference is the change of a pace, as a factor, of which other entries get a report.
	// reportInterval is the least time between two reports on an upstream, and repeatInterval the
	// time after which one is repeated, so that it isn't forgotten.
	reportedDifference = 1.2
	reportInterval     = 100 * time.Millisecond
	repeatInterval     = 700 * time.Millisecond
	// MaxReports bounds the reports in one message, reportsPerSecond those that an entry sends.
	MaxReports       = 64
	reportsPerSecond = 100
	// maxChanges bounds the changes that wait to be logged.
	maxChanges = 256
)

// Subject is an incarnation with its estimate. Tag identifies it in reports, Name in logs.
type Subject struct {
	Tag      uint32
	Name     string
	Estimate *Estimate
}

// Tracker queues the reports for other entries and the changes for the log. The zero value is ready.
type Tracker struct {
	reports    []pendingReport
	reportRate decay.Sum
	changes    []Change
	dropped    uint64
}

type pendingReport struct {
	report Report
	at     time.Time
}

// Observe records an observation of this entry that counts as often as times says.
func (t *Tracker) Observe(now time.Time, s Subject, b Bounds, times int) {
	s.Estimate.observe(now, b, times)
	t.tell(now, s)
	t.Check(now, s)
}

// tell queues a report if other entries should learn of the estimate: it has changed, is about to be
// forgotten there, or contradicts theirs.
func (t *Tracker) tell(now time.Time, s Subject) {
	e := s.Estimate
	own, weight := e.ownPace(now)
	own = rounded(own)
	reported := e.reported
	if reported == 0 {
		reported = 1
	}
	since := now.Sub(e.reportedAt)
	changed := deviation(own/reported) > reportedDifference && since >= reportInterval
	repeat := (own != 1 || rounded(e.othersPace(now)) != 1) && since >= repeatInterval
	if weight < 1 || !changed && !repeat {
		return
	}
	if len(t.reports) >= MaxReports || t.reportRate.Value(now, time.Second) >= reportsPerSecond {
		return
	}
	t.reportRate.Add(now, 1, time.Second)
	e.reported, e.reportedAt = own, now
	t.reports = append(t.reports, pendingReport{report: Report{Tag: s.Tag, Pace: own, Observations: e.count}, at: now})
}

// Check records a change for the log if the upstream has become slow or is no longer.
func (t *Tracker) Check(now time.Time, s Subject) {
	pace := s.Estimate.Factor(now)
	slow := pace >= slowFrom || s.Estimate.slow && pace >= slowBelow
	if slow == s.Estimate.slow {
		return
	}
	s.Estimate.slow = slow
	if len(t.changes) < maxChanges {
		t.changes = append(t.changes, Change{Name: s.Name, Slow: slow, Pace: pace, At: now})
	}
}

// Slow reports whether the upstream is called slow.
func (e *Estimate) Slow() bool { return e.slow }

// Pending reports whether there are reports to send.
func (t *Tracker) Pending() bool { return len(t.reports) > 0 }

// TakeReports returns the reports to send since the last call.
func (t *Tracker) TakeReports(now time.Time) []Report {
	if len(t.reports) == 0 {
		return nil
	}
	reports := make([]Report, len(t.reports))
	for i, r := range t.reports {
		reports[i] = r.report
		reports[i].AgeMs = max(now.Sub(r.at), 0).Milliseconds()
	}
	t.reports = t.reports[:0]
	return reports
}

// Current returns the report that an entry whose link opens should get; ok is false for none.
func Current(now time.Time, s Subject) (report Report, ok bool) {
	e := s.Estimate
	own, weight := e.ownPace(now)
	if rounded(own) == 1 || weight == 0 {
		return Report{}, false
	}
	return Report{Tag: s.Tag, Pace: e.own, Observations: e.count, AgeMs: max(now.Sub(e.observedAt), 0).Milliseconds()}, true
}

// Valid returns the reports that a correct entry would send, and counts the others.
func (t *Tracker) Valid(reports []Report) []Report {
	kept := make([]Report, 0, min(len(reports), MaxReports))
	for _, r := range reports {
		if len(kept) == MaxReports || !r.valid() {
			t.dropped++
			continue
		}
		kept = append(kept, r)
	}
	return kept
}

// Apply applies a valid report of another entry.
func (t *Tracker) Apply(now time.Time, origin uint64, s Subject, r Report) {
	if origin == 0 {
		t.dropped++
		return
	}
	s.Estimate.addClaim(claim{origin: origin, pace: r.Pace, at: now.Add(-time.Duration(r.AgeMs) * time.Millisecond)})
	t.Check(now, s)
}

// Dropped returns the number of reports that were dropped.
func (t *Tracker) Dropped() uint64 { return t.dropped }

// TakeChanges returns the changes since the last call, for the log.
func (t *Tracker) TakeChanges() []Change {
	changes := t.changes
	t.changes = nil
	return changes
}
