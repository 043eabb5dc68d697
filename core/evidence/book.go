package evidence

import (
	"math/rand/v2"
	"time"

	"acaciacleat.example/core/decay"
)

// Dropped says why a report of another entry was dropped.
type Dropped uint8

// The reasons.
const (
	// Malformed reports have an unknown kind, or an age that is negative or too high.
	Malformed Dropped = iota
	// Excess reports exceed the number that one message may have.
	Excess
	// Unknown reports name an incarnation that isn't known here.
	Unknown
	// Overruled reports are older than an answer that this entry has received.
	Overruled
	// Distrusted reports come from an entry that accuses too many upstreams, or wrongly.
	Distrusted
	reasonCount
)

// String returns the reason's name for logs and metrics.
func (d Dropped) String() string {
	return [...]string{"malformed", "excess", "unknown", "overruled", "distrusted"}[d]
}

// Reasons returns all reasons.
func Reasons() []Dropped {
	all := make([]Dropped, reasonCount)
	for i := range all {
		all[i] = Dropped(i)
	}
	return all
}

const (
	// MostReports bounds the reports in one message.
	MostReports = 64
	// maxReportAge bounds the age of a report that is applied: an incarnation that did not
	// answer long ago may answer by now.
	maxReportAge = 5 * time.Second
	// reportsPerSecond bounds the reports that one entry sends.
	reportsPerSecond = 100
	// maxVerdicts bounds the verdicts waiting to be logged.
	maxVerdicts = 256
)

// Book records evidence on incarnations from this entry and others, and queues the reports to
// send. It is not safe for concurrent use.
type Book struct {
	random     *rand.Rand
	reporters  map[uint64]*reporter
	reports    []pendingReport
	reportRate decay.Sum
	losses     decay.Sum
	verdicts   []Verdict
	dropped    [reasonCount]uint64
}

// pendingReport is a Report that was not sent yet, with a time instead of an age.
type pendingReport struct {
	tag  uint32
	kind Kind
	at   time.Time
}

// NewBook returns an empty Book. The random source spreads the times at which entries retry
// excluded incarnations.
func NewBook(random *rand.Rand) *Book {
	return &Book{random: random, reporters: make(map[uint64]*reporter)}
}

// Seen records this entry's own evidence on an incarnation, from a request sent at asked.
func (b *Book) Seen(now time.Time, subject Subject, r *Record, kind Kind, sentAt time.Time) {
	if kind == Answered {
		r.answeredSentAt = latest(r.answeredSentAt, sentAt)
		if r.hasEvidence() && r.outweighs(sentAt) {
			b.readmit(now, now, subject, r, 0)
		}
		return
	}
	if kind.proof() && r.kind.proof() && r.Out(now) && r.accuser == 0 {
		return // Other requests in flight there fail too; this is nothing new.
	}
	length := r.exclusionTime(kind)
	b.exclude(now, now, subject, r, kind, 0, length)
	r.accuser = 0
	if kind != Erred {
		b.queueReport(now, subject, r, kind)
	}
}

// exclude excludes an incarnation for a time.
func (b *Book) exclude(now, at time.Time, subject Subject, r *Record, kind Kind, origin uint64, duration time.Duration) {
	if kind != Erred && !r.Out(now) {
		b.losses.Add(now, 1, lossWindow)
	}
	r.failures++
	r.excludedUntil = latest(r.excludedUntil, now.Add(duration))
	if kind.proof() || !r.kind.proof() {
		r.kind, r.evidenceAt = kind, latest(r.evidenceAt, at) // A later failure does not weaken proof.
	}
	b.recordVerdict(Verdict{Name: subject.Name, Kind: kind, By: origin, Age: now.Sub(at), At: now, For: duration})
}

// lossWindow is the averaging time of Losses: failures with a common cause are found within
// seconds.
const lossWindow = 3 * time.Second

// Losses returns the number of incarnations that were recently found not to answer.
func (b *Book) Losses(now time.Time) float64 { return b.losses.Value(now, lossWindow) }

// readmit ends the exclusion of an incarnation that answered at the given time.
func (b *Book) readmit(now, at time.Time, subject Subject, r *Record, origin uint64) {
	if r.accuser != 0 && now.Sub(r.lastProofAt) < contradictionWindow {
		b.reporter(now, r.accuser).contradict(now)
	}
	shared := r.shared
	r.clear()
	b.recordVerdict(Verdict{Name: subject.Name, Kind: Answered, By: origin, Age: now.Sub(at), At: now})
	if shared && origin == 0 {
		b.queueReport(now, subject, r, Answered)
		r.shared = false
	}
}

// queueReport queues evidence for the other entries, within the rate limit.
func (b *Book) queueReport(now time.Time, subject Subject, r *Record, kind Kind) {
	if len(b.reports) >= MostReports || b.reportRate.Value(now, time.Second) >= reportsPerSecond {
		return
	}
	b.reportRate.Add(now, 1, time.Second)
	b.reports = append(b.reports, pendingReport{tag: subject.Tag, kind: kind, at: now})
	r.shared = true
}

// Reports returns the reports to send since the last call.
func (b *Book) Reports(now time.Time) []Report {
	if len(b.reports) == 0 {
		return nil
	}
	reports := make([]Report, len(b.reports))
	for i, r := range b.reports {
		reports[i] = Report{Tag: r.tag, Kind: r.kind, AgeMs: now.Sub(r.at).Milliseconds()}
	}
	b.reports = b.reports[:0]
	return reports
}

// Pending reports whether there are reports to send.
func (b *Book) Pending() bool { return len(b.reports) > 0 }

// Verdicts returns the decisions since the last call, for the log. Beyond a bound, the first
// ones are kept.
func (b *Book) Verdicts() []Verdict {
	verdicts := b.verdicts
	b.verdicts = nil
	return verdicts
}

func (b *Book) recordVerdict(v Verdict) {
	if len(b.verdicts) < maxVerdicts {
		b.verdicts = append(b.verdicts, v)
	}
}

// Drop counts dropped reports.
func (b *Book) Drop(reason Dropped, n int) { b.dropped[reason] += uint64(n) }

// Dropped returns the number of reports dropped for a reason.
func (b *Book) Dropped(reason Dropped) uint64 { return b.dropped[reason] }
