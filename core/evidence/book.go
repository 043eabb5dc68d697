package evidence

import (
	"math/rand/v2"
	"time"

	"acaciacleat.example/core/decay"
)

// Dropped says why reports of other entries were not taken up.
type Dropped uint8

// The reasons.
const (
	// Malformed reports have an unknown kind, or come from the future or from long ago.
	Malformed Dropped = iota
	// Excess reports come beyond the number that one message may have.
	Excess
	// Unknown reports name an incarnation that isn't known here.
	Unknown
	// Overruled reports are older than an answer that this entry has had.
	Overruled
	// Distrusted reports come from an entry that accuses too many, or wrongly.
	Distrusted
	reasons
)

// String returns the reason's name for logs and metrics.
func (d Dropped) String() string {
	return [...]string{"malformed", "excess", "unknown", "overruled", "distrusted"}[d]
}

// Reasons returns all reasons.
func Reasons() []Dropped {
	all := make([]Dropped, reasons)
	for i := range all {
		all[i] = Dropped(i)
	}
	return all
}

const (
	// MostReports bounds the reports in one message.
	MostReports = 64
	// oldest bounds the age of a report that is taken up: an incarnation that was silent long
	// ago may answer by now.
	oldest = 5 * time.Second
	// reportsPerSecond bounds what one entry tells.
	reportsPerSecond = 100
	// mostVerdicts bounds the verdicts that wait for the log.
	mostVerdicts = 256
)

// Book takes evidence on incarnations, this entry's and others', and keeps what is to be told. It
// is used by one goroutine at a time.
type Book struct {
	random    *rand.Rand
	witnesses map[uint64]*witness
	reports   []report
	spent     decay.Sum
	losses    decay.Sum
	verdicts  []Verdict
	dropped   [reasons]uint64
}

// report is a Report whose age is not known yet.
type report struct {
	tag  uint32
	kind Kind
	at   time.Time
}

// NewBook returns an empty Book. The random source spreads the times at which entries try again
// what they have left out.
func NewBook(random *rand.Rand) *Book {
	return &Book{random: random, witnesses: make(map[uint64]*witness)}
}

// Seen takes what this entry has seen of an incarnation by a request that was sent at asked.
func (b *Book) Seen(now time.Time, subject Subject, r *Record, kind Kind, asked time.Time) {
	if kind == Answered {
		r.answered = later(r.answered, asked)
		if r.spoiled() && r.outlives(asked) {
			b.back(now, now, subject, r, 0)
		}
		return
	}
	if kind.proof() && r.kind.proof() && r.Out(now) && r.prover == 0 {
		return // What is under way there fails too, and says nothing new.
	}
	length := r.length(kind)
	b.strike(now, now, subject, r, kind, 0, length)
	r.prover = 0
	if kind != Erred {
		b.tell(now, subject, r, kind)
	}
}

// strike leaves an incarnation out.
func (b *Book) strike(now, at time.Time, subject Subject, r *Record, kind Kind, by uint64, length time.Duration) {
	if kind != Erred && !r.Out(now) {
		b.losses.Add(now, 1, lossesOver)
	}
	r.strikes++
	r.until = later(r.until, now.Add(length))
	if kind.proof() || !r.kind.proof() {
		r.kind, r.since = kind, later(r.since, at) // What is proved isn't the less so for a failure after it.
	}
	b.decide(Verdict{Name: subject.Name, Kind: kind, By: by, Age: now.Sub(at), At: now, For: length})
}

// lossesOver is the time over which it counts how many incarnations were found not to answer:
// what goes together is found within seconds.
const lossesOver = 3 * time.Second

// Losses returns how many incarnations were found not to answer of late.
func (b *Book) Losses(now time.Time) float64 { return b.losses.Value(now, lossesOver) }

// back takes an incarnation back, which has answered at the given time.
func (b *Book) back(now, at time.Time, subject Subject, r *Record, by uint64) {
	if r.prover != 0 && now.Sub(r.claimed) < wronglyFor {
		b.witness(now, r.prover).contradict(now)
	}
	told := r.told
	r.clear()
	b.decide(Verdict{Name: subject.Name, Kind: Answered, By: by, Age: now.Sub(at), At: now})
	if told && by == 0 {
		b.tell(now, subject, r, Answered)
		r.told = false
	}
}

// tell notes evidence for the other entries.
func (b *Book) tell(now time.Time, subject Subject, r *Record, kind Kind) {
	if len(b.reports) >= MostReports || b.spent.Value(now, time.Second) >= reportsPerSecond {
		return
	}
	b.spent.Add(now, 1, time.Second)
	b.reports = append(b.reports, report{tag: subject.Tag, kind: kind, at: now})
	r.told = true
}

// Reports returns what is to be told since the last call.
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

// Pending reports whether there is something to tell.
func (b *Book) Pending() bool { return len(b.reports) > 0 }

// Verdicts returns what was decided since the last call, for the log. Beyond a bound, the first
// ones are kept.
func (b *Book) Verdicts() []Verdict {
	verdicts := b.verdicts
	b.verdicts = nil
	return verdicts
}

func (b *Book) decide(v Verdict) {
	if len(b.verdicts) < mostVerdicts {
		b.verdicts = append(b.verdicts, v)
	}
}

// Drop counts reports that were not taken up.
func (b *Book) Drop(why Dropped, n int) { b.dropped[why] += uint64(n) }

// Dropped returns how many reports were not taken up for a reason.
func (b *Book) Dropped(why Dropped) uint64 { return b.dropped[why] }
