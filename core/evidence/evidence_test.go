package evidence

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	_ "acaciacleat.example/core/seeded"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// entry is one entry's evidence on a number of upstreams.
type entry struct {
	origin  uint64
	book    *Book
	records []Record
}

func newEntry(origin uint64, upstreams int) *entry {
	return &entry{origin: origin, book: NewBook(rand.New(rand.NewPCG(origin, 0))), records: make([]Record, upstreams)}
}

func subject(i int) Subject { return Subject{Tag: uint32(i), Name: fmt.Sprint("u", i)} }

func (e *entry) seen(now time.Time, i int, kind Kind, asked time.Time) {
	e.book.Seen(now, subject(i), &e.records[i], kind, asked)
}

func (e *entry) hear(now time.Time, origin uint64, reports ...Report) {
	for _, r := range e.book.Check(reports) {
		e.book.Heard(now, origin, subject(int(r.Tag)), &e.records[r.Tag], r, len(e.records))
	}
}

// tell hands what an entry has to tell to others.
func (e *entry) tell(now time.Time, others ...*entry) {
	reports := e.book.Reports(now)
	for _, other := range others {
		other.hear(now, e.origin, reports...)
	}
}

func (e *entry) out(now time.Time) (n int) {
	for i := range e.records {
		if e.records[i].Out(now) {
			n++
		}
	}
	return n
}

// Symptom: each of twenty entries loses a request at an upstream that has gone. Sequence: one
// finds that nobody listens there; the others send theirs. Cause: nobody told them.
func TestProofOfOneIsHeardByAll(t *testing.T) {
	for _, kind := range []Kind{Absent, Leaving, Replaced} {
		a, b := newEntry(1, 4), newEntry(2, 4)
		a.seen(start, 2, kind, start)
		a.tell(start.Add(5*time.Millisecond), b)
		require.True(t, b.records[2].Out(start.Add(10*time.Millisecond)), kind)
		require.Equal(t, 1, b.out(start.Add(10*time.Millisecond)))
		require.False(t, b.records[2].AgainstProof(start.Add(50*time.Millisecond)), "such a request may be on its way")
		require.True(t, b.records[2].AgainstProof(start.Add(time.Second)))
	}
}

// Symptom: an upstream that starts again gets nothing for long. Cause: what cleared the doubt at
// one entry wasn't told to those that it had told of the doubt.
func TestAnswerTakesBackWhatWasTold(t *testing.T) {
	a, b, c := newEntry(1, 4), newEntry(2, 4), newEntry(3, 4)
	a.seen(start, 2, Absent, start)
	a.tell(start, b, c)
	later := start.Add(1900 * time.Millisecond)
	b.seen(later, 2, Answered, later.Add(-time.Millisecond))
	b.tell(later, a, c)
	for _, e := range []*entry{a, b, c} {
		require.False(t, e.records[2].Out(later.Add(time.Millisecond)), e.origin)
		require.Zero(t, e.records[2].Doubt(later), e.origin)
		require.False(t, e.records[2].AgainstProof(later), e.origin)
	}
}

// Symptom: sets are refused again and again for an engine that is about to stop. Sequence: it
// refuses to read a part, and then ends a stream that it had before. Cause: the answer was taken for
// a sign that it takes new work.
func TestWhatLeavesEndsWhatItHasAndIsLeftOutAllTheSame(t *testing.T) {
	a := newEntry(1, 4)
	a.seen(start, 2, Leaving, start)
	a.seen(start.Add(time.Second), 2, Answered, start.Add(-time.Second))
	require.True(t, a.records[2].Out(start.Add(2*time.Second)))
}

// Symptom: a cut between two zones takes all upstreams of the one away from all entries.
// Sequence: two entries are cut off from them and say so of each. Cause: silence to an entry was
// taken for the upstream's fault.
func TestEntriesThatAreCutOffTakeFewAway(t *testing.T) {
	const upstreams, cut = 30, 12
	well := newEntry(9, upstreams)
	blind := []*entry{newEntry(1, upstreams), newEntry(2, upstreams)}
	now := start
	for i := range cut {
		now = now.Add(50 * time.Millisecond)
		// Others get answers from what the two don't reach.
		well.seen(now, i, Answered, now.Add(-10*time.Millisecond))
		for _, e := range blind {
			e.seen(now, i, Silent, now.Add(-time.Second))
			e.tell(now.Add(-20*time.Millisecond), well)
		}
		require.Zero(t, well.out(now))
	}
	// Where it has no answers of its own, a share of them is the most that is believed.
	idle := newEntry(8, upstreams)
	for i := range cut {
		for _, e := range blind {
			e.seen(now, i, Silent, now)
			e.tell(now, idle)
		}
	}
	require.LessOrEqual(t, float64(idle.out(now)), suspectShare*upstreams, "a quarter")
	require.Positive(t, idle.book.Dropped(Distrusted))
}

// Symptom: one entry's suspicion keeps all others off an upstream that serves them.
func TestSuspicionOfOneEntryIsADoubtOnly(t *testing.T) {
	a, b, c := newEntry(1, 8), newEntry(2, 8), newEntry(3, 8)
	a.seen(start, 2, Silent, start)
	a.tell(start, c)
	require.False(t, c.records[2].Out(start))
	require.Positive(t, c.records[2].Doubt(start))
	require.Zero(t, c.records[2].Doubt(start.Add(2*suspectFor)))
	b.seen(start.Add(100*time.Millisecond), 2, Silent, start)
	b.tell(start.Add(100*time.Millisecond), c)
	require.True(t, c.records[2].Out(start.Add(100*time.Millisecond)), "two say so")
}

// Symptom: one entry that lies takes an upstream away from all for as long as it lies. Cause: what
// it said was never tried.
func TestLiarIsFoundOut(t *testing.T) {
	b := newEntry(2, 8)
	now, tried := start, 0
	for now.Before(start.Add(30 * time.Second)) {
		b.hear(now, 7, Report{Tag: 3, Kind: Replaced})
		if !b.records[3].Out(now) {
			tried++
			b.seen(now.Add(5*time.Millisecond), 3, Answered, now)
		}
		now = now.Add(100 * time.Millisecond)
	}
	require.Greater(t, tried, 200, "of 300 requests")
	require.Positive(t, b.book.Dropped(Distrusted))
}

// Symptom: one entry says of all upstreams that they have gone, and none is left to the others.
func TestAccuserOfAllTakesAShareAtTheMost(t *testing.T) {
	b := newEntry(2, 20)
	var reports []Report
	for i := range 20 {
		reports = append(reports, Report{Tag: uint32(i), Kind: Absent})
	}
	b.hear(start, 7, reports...)
	require.Equal(t, 10, b.out(start))
	require.EqualValues(t, 10, b.book.Dropped(Distrusted))
}

// Symptom: twenty entries find an upstream gone in the same moment, and leave it out for as long
// as twenty failures in a row would.
func TestManyWitnessesOfOneFaultCountOnce(t *testing.T) {
	c := newEntry(99, 8)
	for origin := range uint64(20) {
		c.hear(start, origin+1, Report{Tag: 2, Kind: Leaving})
	}
	require.Equal(t, 2, c.records[2].strikes, "the first word, and its confirmation")
	require.False(t, c.records[2].Out(start.Add(goneMost+time.Second)))
}

func TestEvidenceOfOldIsOverruled(t *testing.T) {
	b := newEntry(2, 8)
	b.seen(start, 2, Answered, start.Add(-10*time.Millisecond))
	b.hear(start.Add(10*time.Millisecond), 7, Report{Tag: 2, Kind: Absent, AgeMs: 500})
	require.Zero(t, b.out(start.Add(10*time.Millisecond)))
	require.EqualValues(t, 1, b.book.Dropped(Overruled))
}

func TestRegistryClearsWhatIsOlderThanItsNews(t *testing.T) {
	a := newEntry(1, 4)
	a.seen(start, 2, Replaced, start)
	a.records[2].Registered(start.Add(100 * time.Millisecond))
	require.True(t, a.records[2].Out(start.Add(200*time.Millisecond)), "the news may be older")
	a.records[2].Registered(start.Add(2 * time.Second))
	require.False(t, a.records[2].Out(start.Add(2*time.Second)))
}

// Whatever other entries send: nothing panics, one entry takes no more than its share away, what
// is told is bounded, and the sum of what was dropped and taken up is what came.
func TestPeersInputIsBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const upstreams = 12
		b := newEntry(1, upstreams)
		now := start
		for range rapid.IntRange(1, 60).Draw(t, "messages") {
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond)
			reports := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) Report {
				return Report{
					Tag:   uint32(rapid.IntRange(0, upstreams-1).Draw(t, "tag")),
					Kind:  Kind(rapid.IntRange(0, 9).Draw(t, "kind")),
					AgeMs: int64(rapid.IntRange(-1000, 9000).Draw(t, "age")),
				}
			}), 0, 2*MostReports).Draw(t, "reports")
			b.hear(now, 7, reports...)
			if n := b.out(now); n > upstreams/2 {
				t.Fatalf("one entry took %d of %d away", n, upstreams)
			}
			if n := len(b.book.Reports(now)); n > MostReports {
				t.Fatalf("%d reports told", n)
			}
		}
		if n := len(b.book.Verdicts()); n > mostVerdicts {
			t.Fatalf("%d verdicts kept", n)
		}
	})
}

func TestWhatIsToldIsBounded(t *testing.T) {
	a := newEntry(1, 2000)
	for i := range 2000 {
		a.seen(start, i, Absent, start)
	}
	require.Len(t, a.book.Reports(start), MostReports)
	require.Nil(t, a.book.Reports(start))
}
