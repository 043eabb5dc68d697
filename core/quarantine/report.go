package quarantine

import (
	"strconv"
	"time"

	"acaciacleat.example/core/fingerprint"
)

// Kind says what an entry tells the others of a request.
type Kind uint8

// The kinds of report.
const (
	// Struck: an upstream crashed with it in hand.
	Struck Kind = iota + 1
	// StruckAgain: the same, after it had come there from another upstream that crashed.
	StruckAgain
	// Answered: an upstream has answered it, so that it is not what crashed others.
	Answered
	// Held: it is held back.
	Held
)

// String returns the kind's name for logs.
func (k Kind) String() string {
	names := [...]string{"", "struck", "struck again", "answered", "held"}
	if k < Struck || int(k) >= len(names) {
		return "kind " + strconv.Itoa(int(k))
	}
	return names[k]
}

// Report is what an entry tells the others of a request.
type Report struct {
	Kind  Kind
	Print fingerprint.Print
	// Upstream is the tag of the incarnation that crashed, and AgeMs how long ago that was, in
	// milliseconds; set for strikes. Clocks of entries differ, so that no time is told.
	Upstream uint32
	AgeMs    int64
	// LeftMs is how much longer the request is held back, in milliseconds, and Times for how many
	// times in a row; set for Held.
	LeftMs int64
	Times  int
}

// MostReports bounds the reports of one message.
const MostReports = 1024

// MostTimes bounds how often in a row a request can have been held back; the last hold is by then
// as long as any.
const MostTimes = 100

// Check returns the reports that can be taken up, and the number of those that no entry should
// have sent.
func Check(reports []Report) (kept []Report, dropped int) {
	for _, r := range reports[:min(len(reports), MostReports)] {
		if r.valid() {
			kept = append(kept, r)
		}
	}
	return kept, len(reports) - len(kept)
}

func (r *Report) valid() bool {
	return r.Kind >= Struck && r.Kind <= Held &&
		r.AgeMs >= 0 && r.AgeMs <= Memory.Milliseconds() &&
		r.LeftMs >= 0 && r.LeftMs <= MostHold.Milliseconds() &&
		r.Times >= 0 && r.Times <= MostTimes
}

func milliseconds(n int64) time.Duration { return time.Duration(n) * time.Millisecond }

// Hear takes up a checked report. It reports whether the report was news.
func (l *Ledger) Hear(now time.Time, r Report) bool {
	switch r.Kind {
	case Struck, StruckAgain:
		seen := Crash{Upstream: r.Upstream, At: now.Add(-milliseconds(r.AgeMs)), Again: r.Kind == StruckAgain}
		return l.Strike(now, seen, r.Print)
	case Answered:
		return l.Clear(now, r.Print)
	case Held:
		return l.Take(now, r.Print, Hold{Until: now.Add(milliseconds(r.LeftMs)), Times: r.Times})
	default:
		return false
	}
}
