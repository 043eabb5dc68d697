package quarantine

import (
	"strconv"
	"time"

	"acaciacleat.example/core/fingerprint"
)

// Kind is the kind of a Report.
type Kind uint8

const (
	// CrashReport reports that an upstream crashed with the request in flight.
	CrashReport Kind = iota + 1
	// RepeatedCrashReport reports the same for a request that was sent there after another upstream
	// had crashed while running it.
	RepeatedCrashReport
	// AnswerReport reports that an upstream has answered the request, so that it is not the cause of
	// crashes.
	AnswerReport
	// HoldReport reports that the request is held back.
	HoldReport
	// SegmentHoldReport reports that requests with the segment are held back. AnswerReport is of a request or
	// a segment.
	SegmentHoldReport
	// TrialReport reports that the entry tries a request or a segment whose hold has ended, so that the others
	// wait for the outcome. It isn't for the Ledger.
	TrialReport
)

// String returns the kind's name for logs.
func (k Kind) String() string {
	names := [...]string{"", "struck", "struck again", "answered", "held", "segment held", "tried"}
	if k < CrashReport || int(k) >= len(names) {
		return "kind " + strconv.Itoa(int(k))
	}
	return names[k]
}

// Report is a report on a request or a segment, sent by one entry to the others.
type Report struct {
	Kind  Kind
	Print fingerprint.Print
	// Upstream is the tag of the incarnation that crashed, and AgeMs how long ago it crashed, in
	// milliseconds; set for crashes. It is an age and not a time because the entries' clocks differ.
	Upstream uint32
	AgeMs    int64
	// Begun is Crash.Begun, and Segments are the request's segments; set for crashes.
	Begun    bool
	Segments []Segment
	// LeftMs is how much longer the request is held back, in milliseconds, and Times how many times
	// in a row it has been; set for holds.
	LeftMs int64
	Times  int
}

// MaxReports bounds the reports of one message.
const MaxReports = 1024

// MaxHoldTimes bounds how many times in a row a request can have been held back. The length of a hold
// reaches its maximum long before.
const MaxHoldTimes = 100

// Check returns the valid reports, and the number of invalid ones.
func Check(reports []Report) (kept []Report, dropped int) {
	for _, r := range reports[:min(len(reports), MaxReports)] {
		if r.valid() {
			kept = append(kept, r)
		}
	}
	return kept, len(reports) - len(kept)
}

func (r *Report) valid() bool {
	return r.Kind >= CrashReport && r.Kind <= TrialReport && len(r.Segments) <= MaxSegments &&
		r.AgeMs >= 0 && r.AgeMs <= Retention.Milliseconds() &&
		r.LeftMs >= 0 && r.LeftMs <= MaxHold.Milliseconds() &&
		r.Times >= 0 && r.Times <= MaxHoldTimes
}

func milliseconds(n int64) time.Duration { return time.Duration(n) * time.Millisecond }

// HandleReport handles a report that Check has returned. It reports whether the report was new.
func (l *Ledger) HandleReport(now time.Time, r Report) bool {
	switch r.Kind {
	case CrashReport, RepeatedCrashReport:
		seen := Crash{
			Upstream: r.Upstream, At: now.Add(-milliseconds(r.AgeMs)), Repeated: r.Kind == RepeatedCrashReport, Begun: r.Begun,
		}
		return l.RecordCrash(now, seen, r.Print, r.Segments...)
	case AnswerReport:
		return l.Clear(now, r.Print)
	case HoldReport, SegmentHoldReport:
		hold := Hold{Until: now.Add(milliseconds(r.LeftMs)), Times: r.Times, Segment: r.Kind == SegmentHoldReport}
		return l.ApplyHold(now, r.Print, hold)
	default:
		return false
	}
}
