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

// testEntry is an entry's evidence on a number of upstreams.
type testEntry struct {
	origin  uint64
	tracker *Tracker
	records []Record
}

func newEntry(origin uint64, upstreams int) *testEntry {
	return &testEntry{origin: origin, tracker: NewTracker(rand.New(rand.NewPCG(origin, 0))), records: make([]Record, upstreams)}
}

func subject(i int) Subject { return Subject{Tag: uint32(i), Name: fmt.Sprint("u", i)} }

func (e *testEntry) observe(now time.Time, i int, kind Kind, sentAt time.Time) {
	e.tracker.Observe(now, subject(i), &e.records[i], kind, sentAt)
}

func (e *testEntry) receive(now time.Time, origin uint64, reports ...Report) {
	for _, r := range e.tracker.Check(reports) {
		e.tracker.ApplyReport(now, origin, subject(int(r.Tag)), &e.records[r.Tag], r, len(e.records))
	}
}

// shareWith sends an entry's pending reports to others.
func (e *testEntry) shareWith(now time.Time, others ...*testEntry) {
	reports := e.tracker.TakeReports(now)
	for _, other := range others {
		other.receive(now, e.origin, reports...)
	}
}

func (e *testEntry) excluded(now time.Time) (n int) {
	for i := range e.records {
		if e.records[i].Excluded(now) {
			n++
		}
	}
	return n
}

// Guards against each of twenty entries losing a request at the same upstream that is gone:
// proof from one entry must exclude it at the others.
func TestProofFromOneEntryExcludesAtAll(t *testing.T) {
	for _, kind := range []Kind{Absent, Draining, Replaced} {
		a, b := newEntry(1, 4), newEntry(2, 4)
		a.observe(start, 2, kind, start)
		a.shareWith(start.Add(5*time.Millisecond), b)
		require.True(t, b.records[2].Excluded(start.Add(10*time.Millisecond)), kind)
		require.Equal(t, 1, b.excluded(start.Add(10*time.Millisecond)))
		require.False(t, b.records[2].KnownDown(start.Add(50*time.Millisecond)), "such a request may be in flight")
		require.True(t, b.records[2].KnownDown(start.Add(time.Second)))
	}
}

// Guards against a restarted upstream staying unused: an answer to one entry must clear the
// evidence also at the entries that received it in reports.
func TestAnswerRetractsSharedEvidence(t *testing.T) {
	a, b, c := newEntry(1, 4), newEntry(2, 4), newEntry(3, 4)
	a.observe(start, 2, Absent, start)
	a.shareWith(start, b, c)
	later := start.Add(1900 * time.Millisecond)
	b.observe(later, 2, Answered, later.Add(-time.Millisecond))
	b.shareWith(later, a, c)
	for _, e := range []*testEntry{a, b, c} {
		require.False(t, e.records[2].Excluded(later.Add(time.Millisecond)), e.origin)
		require.Zero(t, e.records[2].Penalty(later), e.origin)
		require.False(t, e.records[2].KnownDown(later), e.origin)
	}
}

// Guards against repeated refusals by a draining engine. It refuses a part and then completes an
// earlier stream; the end of that stream must not count as a sign that it takes new requests.
func TestDrainingUpstreamStaysExcludedWhileFinishingRequests(t *testing.T) {
	a := newEntry(1, 4)
	a.observe(start, 2, Draining, start)
	a.observe(start.Add(time.Second), 2, Answered, start.Add(-time.Second))
	require.True(t, a.records[2].Excluded(start.Add(2*time.Second)))
}

// Guards against a partition between two zones causing all entries to exclude the upstreams of
// one zone. Two entries are partitioned from these upstreams and report each as silent.
func TestPartitionedEntriesExcludeFewUpstreams(t *testing.T) {
	const upstreams, unreachable = 30, 12
	healthy := newEntry(9, upstreams)
	partitioned := []*testEntry{newEntry(1, upstreams), newEntry(2, upstreams)}
	now := start
	for i := range unreachable {
		now = now.Add(50 * time.Millisecond)
		// The other entry receives answers from the upstreams that the two don't reach.
		healthy.observe(now, i, Answered, now.Add(-10*time.Millisecond))
		for _, e := range partitioned {
			e.observe(now, i, Silent, now.Add(-time.Second))
			e.shareWith(now.Add(-20*time.Millisecond), healthy)
		}
		require.Zero(t, healthy.excluded(now))
	}
	// An entry without answers of its own excludes a limited share of them.
	uninformed := newEntry(8, upstreams)
	for i := range unreachable {
		for _, e := range partitioned {
			e.observe(now, i, Silent, now)
			e.shareWith(now, uninformed)
		}
	}
	require.LessOrEqual(t, float64(uninformed.excluded(now)), maxSuspectShare*upstreams, "a quarter")
	require.Positive(t, uninformed.tracker.Dropped(Distrusted))
}

// Guards against one entry's suspicion excluding an upstream everywhere.
func TestSingleSuspicionOnlyAddsPenalty(t *testing.T) {
	a, b, c := newEntry(1, 8), newEntry(2, 8), newEntry(3, 8)
	a.observe(start, 2, Silent, start)
	a.shareWith(start, c)
	require.False(t, c.records[2].Excluded(start))
	require.Positive(t, c.records[2].Penalty(start))
	require.Zero(t, c.records[2].Penalty(start.Add(2*suspicionTTL)))
	b.observe(start.Add(100*time.Millisecond), 2, Silent, start)
	b.shareWith(start.Add(100*time.Millisecond), c)
	require.True(t, c.records[2].Excluded(start.Add(100*time.Millisecond)), "two entries suspect it")
}

// Guards against a faulty entry keeping an upstream excluded by repeated false proof: once
// answers have contradicted enough of it, the entry must be distrusted.
func TestFalseAccuserIsIgnored(t *testing.T) {
	b := newEntry(2, 8)
	now, retries := start, 0
	for now.Before(start.Add(30 * time.Second)) {
		b.receive(now, 7, Report{Tag: 3, Kind: Replaced})
		if !b.records[3].Excluded(now) {
			retries++
			b.observe(now.Add(5*time.Millisecond), 3, Answered, now)
		}
		now = now.Add(100 * time.Millisecond)
	}
	require.Greater(t, retries, 200, "of 300 requests")
	require.Positive(t, b.tracker.Dropped(Distrusted))
}

// Guards against one entry excluding all upstreams by reporting that all are gone.
func TestAccusationsOfOneEntryAreCapped(t *testing.T) {
	b := newEntry(2, 20)
	var reports []Report
	for i := range 20 {
		reports = append(reports, Report{Tag: uint32(i), Kind: Absent})
	}
	b.receive(start, 7, reports...)
	require.Equal(t, 10, b.excluded(start))
	require.EqualValues(t, 10, b.tracker.Dropped(Distrusted))
}

// Guards against twenty simultaneous reports of one fault excluding an upstream for as long as
// twenty consecutive failures would.
func TestReportsOfOneFaultCountOnce(t *testing.T) {
	c := newEntry(99, 8)
	for origin := range uint64(20) {
		c.receive(start, origin+1, Report{Tag: 2, Kind: Draining})
	}
	require.Equal(t, 2, c.records[2].failures, "the first proof and its confirmation")
	require.False(t, c.records[2].Excluded(start.Add(goneMax+time.Second)))
}

func TestOutdatedReportIsOverruled(t *testing.T) {
	b := newEntry(2, 8)
	b.observe(start, 2, Answered, start.Add(-10*time.Millisecond))
	b.receive(start.Add(10*time.Millisecond), 7, Report{Tag: 2, Kind: Absent, AgeMs: 500})
	require.Zero(t, b.excluded(start.Add(10*time.Millisecond)))
	require.EqualValues(t, 1, b.tracker.Dropped(Overruled))
}

func TestRegistrationClearsOlderEvidence(t *testing.T) {
	a := newEntry(1, 4)
	a.observe(start, 2, Replaced, start)
	a.records[2].Registered(start.Add(100 * time.Millisecond))
	require.True(t, a.records[2].Excluded(start.Add(200*time.Millisecond)), "the renewal may be older than the evidence")
	a.records[2].Registered(start.Add(2 * time.Second))
	require.False(t, a.records[2].Excluded(start.Add(2*time.Second)))
}

// For arbitrary reports of other entries, nothing panics, one entry excludes no more than its
// share, and the reports sent and verdicts kept are bounded.
func TestPeerInputIsBounded(t *testing.T) {
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
			}), 0, 2*MaxReports).Draw(t, "reports")
			b.receive(now, 7, reports...)
			if n := b.excluded(now); n > upstreams/2 {
				t.Fatalf("one entry excluded %d of %d", n, upstreams)
			}
			if n := len(b.tracker.TakeReports(now)); n > MaxReports {
				t.Fatalf("%d reports sent", n)
			}
		}
		if n := len(b.tracker.TakeVerdicts()); n > maxVerdicts {
			t.Fatalf("%d verdicts kept", n)
		}
	})
}

func TestPendingReportsAreBounded(t *testing.T) {
	a := newEntry(1, 2000)
	for i := range 2000 {
		a.observe(start, i, Absent, start)
	}
	require.Len(t, a.tracker.TakeReports(start), MaxReports)
	require.Nil(t, a.tracker.TakeReports(start))
}
