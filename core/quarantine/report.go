package quarantine

import (
	"strconv"
	"time"

	"acaciacleat.example/core/fingerprint"
)

// Kind is the kind of a Report.
type Kind uint8

// The kinds of report.
const (
	// Struck reports that an upstream crashed with the request in flight.
	Struck Kind = iota + 1
	// StruckAgain reports the same for a request that was sent there after another upstream had
	// crashed while running it.
	StruckAgain
	// Answered reports that an upstream has answered the request, so that it is not the cause of
	// crashes.
	Answered
	// Held reports that the request is held back.
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

// Report is a report on a request, sent by one entry to the others.
type Report struct {
	Kind  Kind
	Print fingerprint.Print
	// Upstream is the tag of the incarnation that crashed, and AgeMs how long ago it crashed, in
	// milliseconds; set for crashes. It is an age and not a time because the entries' clocks differ.
	Upstream uint32
	AgeMs    int64
	// LeftMs is how much longer the request is held back, in milliseconds, and Times how many times
	// in a row it has been; set for Held.
	LeftMs int64
	Times  int
}

// MostReports bounds the reports of one message.
const MostReports = 1024

// MostTimes bounds how many times in a row a request can have been held back. The length of a hold
// reaches its maximum long before.
const MostTimes = 100

// Check returns the valid reports, and the number of invalid ones.
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

// Hear handles a report that Check has returned. It reports whether the report was new.
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
