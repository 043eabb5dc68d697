package evidence

import (
	"math/rand/v2"
	"time"

	"acaciacleat.example/core/decay"
)

// DropReason says why a report of another entry was dropped.
type DropReason uint8

const (
	// Malformed reports have an unknown kind, or an age that is negative or too high.
	Malformed DropReason = iota
	// Excess reports exceed the number that one message may have.
	Excess
	// Unknown reports name an incarnation that isn't known here.
	Unknown
	// Overruled reports are older than an answer that this entry has received.
	Overruled
	// Distrusted reports come from an entry that reports too many upstreams as down, or whose
	// proofs were contradicted too often.
	Distrusted
	reasonCount
)

// String returns the reason's name for logs and metrics.
func (d DropReason) String() string {
	return [...]string{"malformed", "excess", "unknown", "overruled", "distrusted"}[d]
}

// DropReasons returns all reasons.
func DropReasons() []DropReason {
	all := make([]DropReason, reasonCount)
	for i := range all {
		all[i] = DropReason(i)
	}
	return all
}

const (
	// MaxReports bounds the reports in one message.
	MaxReports = 64
	// maxReportAge bounds the age of a report that is applied: after that time the incarnation
	// may be answering again.
	maxReportAge = 5 * time.Second
	// reportsPerSecond bounds the reports that one entry sends.
	reportsPerSecond = 100
	// maxVerdicts bounds the verdicts waiting to be logged.
	maxVerdicts = 256
)

// Tracker records evidence on incarnations from this entry and others, and queues the reports
// to send. It is not safe for concurrent use.
type Tracker struct {
	random       *rand.Rand
	reporters    map[uint64]*reporter
	reports      []pendingReport
	reportRate   decay.Sum
	recentlyDown decay.Sum
	verdicts     []Verdict
	dropped      [reasonCount]uint64
}

// pendingReport is a Report that was not sent yet, with a time instead of an age.
type pendingReport struct {
	tag  uint32
	kind Kind
	at   time.Time
}

// NewTracker returns an empty Tracker. The random source spreads the times at which entries
// retry excluded incarnations.
func NewTracker(random *rand.Rand) *Tracker {
	return &Tracker{random: random, reporters: make(map[uint64]*reporter)}
}

// Observe records this entry's own evidence on an incarnation, from a request sent at
// sentAt.
func (t *Tracker) Observe(now time.Time, subject Subject, r *Record, kind Kind, sentAt time.Time) {
	if kind == Answered {
		r.answeredSentAt = latest(r.answeredSentAt, sentAt)
		if r.hasEvidence() && r.outweighs(sentAt) {
			t.readmit(now, now, subject, r, 0)
		}
		return
	}
	if kind.proof() && r.kind.proof() && r.Excluded(now) && r.unconfirmedReporter == 0 {
		return // The request may have been in flight when the recorded proof arrived.
	}
	duration := r.exclusionTime(kind)
	t.exclude(now, now, subject, r, kind, 0, duration)
	r.unconfirmedReporter = 0
	if kind != Erred {
		t.queueReport(now, subject, r, kind)
	}
}

// exclude excludes an incarnation for a time, on evidence that was observed at the given time by
// the entry origin; zero is this entry.
func (t *Tracker) exclude(now, at time.Time, subject Subject, r *Record, kind Kind, origin uint64, duration time.Duration) {
	if kind != Erred && kind != Announced && !r.Excluded(now) {
		t.recentlyDown.Add(now, 1, recentlyDownWindow)
	}
	r.failures++
	r.excludedUntil = latest(r.excludedUntil, now.Add(duration))
	if kind.proof() || !r.kind.proof() {
		r.kind, r.evidenceAt = kind, latest(r.evidenceAt, at) // A later failure does not weaken proof.
	}
	t.recordVerdict(Verdict{Name: subject.Name, Kind: kind, Origin: origin, Age: now.Sub(at), At: now, Duration: duration})
}

// recentlyDownWindow is the averaging time of RecentlyDown: failures with a common cause are
// found within seconds.
const recentlyDownWindow = 3 * time.Second

// RecentlyDown returns the decaying number of incarnations that were recently found not to
// answer.
func (t *Tracker) RecentlyDown(now time.Time) float64 {
	return t.recentlyDown.Value(now, recentlyDownWindow)
}

// readmit ends the exclusion of an incarnation that answered the entry origin at the given time;
// zero is this entry.
func (t *Tracker) readmit(now, at time.Time, subject Subject, r *Record, origin uint64) {
	if r.unconfirmedReporter != 0 && now.Sub(r.lastProofAt) < contradictionWindow {
		t.reporter(now, r.unconfirmedReporter).contradict(now)
	}
	shared := r.shared
	r.clear()
	t.recordVerdict(Verdict{Name: subject.Name, Kind: Answered, Origin: origin, Age: now.Sub(at), At: now})
	if shared && origin == 0 {
		t.queueReport(now, subject, r, Answered)
		r.shared = false
	}
}

// Announce reports to the other entries that an incarnation has said that it is draining.
func (t *Tracker) Announce(now time.Time, subject Subject, r *Record) {
	t.queueReport(now, subject, r, Announced)
}

// queueReport queues evidence for the other entries, within the rate limit.
func (t *Tracker) queueReport(now time.Time, subject Subject, r *Record, kind Kind) {
	if len(t.reports) >= MaxReports || t.reportRate.Value(now, time.Second) >= reportsPerSecond {
		return
	}
	t.reportRate.Add(now, 1, time.Second)
	t.reports = append(t.reports, pendingReport{tag: subject.Tag, kind: kind, at: now})
	r.shared = true
}

// TakeReports returns the reports to send since the last call.
func (t *Tracker) TakeReports(now time.Time) []Report {
	if len(t.reports) == 0 {
		return nil
	}
	reports := make([]Report, len(t.reports))
	for i, r := range t.reports {
		reports[i] = Report{Tag: r.tag, Kind: r.kind, AgeMs: now.Sub(r.at).Milliseconds()}
	}
	t.reports = t.reports[:0]
	return reports
}

// Pending reports whether there are reports to send.
func (t *Tracker) Pending() bool { return len(t.reports) > 0 }

// TakeVerdicts returns the decisions since the last call, for the log: at most the first
// maxVerdicts.
func (t *Tracker) TakeVerdicts() []Verdict {
	verdicts := t.verdicts
	t.verdicts = nil
	return verdicts
}

func (t *Tracker) recordVerdict(v Verdict) {
	if len(t.verdicts) < maxVerdicts {
		t.verdicts = append(t.verdicts, v)
	}
}

// CountDropped counts dropped reports.
func (t *Tracker) CountDropped(reason DropReason, n int) { t.dropped[reason] += uint64(n) }

// Dropped returns the number of reports dropped for a reason.
func (t *Tracker) Dropped(reason DropReason) uint64 { return t.dropped[reason] }
