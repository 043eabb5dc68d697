package quarantine

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"acaciacleat.example/core/dispatch"
	"acaciacleat.example/core/fingerprint"
	corequarantine "acaciacleat.example/core/quarantine"
	"acaciacleat.example/peers/table"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
)

// fakeStore is an in-memory table that can be made unavailable.
type fakeStore struct {
	table.Feed
	mu          sync.Mutex
	rows        map[string][]byte
	unavailable bool
	calls       map[string]int
}

func newStore() *fakeStore {
	return &fakeStore{rows: make(map[string][]byte), calls: make(map[string]int)}
}

func (s *fakeStore) call(name string) error {
	s.calls[name]++
	if s.unavailable {
		return table.ErrUnavailable
	}
	return nil
}

func (s *fakeStore) All(context.Context, string) ([]table.Row, table.Extent, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var all []table.Row
	for _, name := range slices.Sorted(maps.Keys(s.rows)) {
		all = append(all, table.Row{Key: table.Key{Row: name}, Value: s.rows[name]})
	}
	return all, table.Extent{Named: 1}, s.call("all")
}

func (s *fakeStore) Put(_ context.Context, key table.Key, value []byte) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.call("put"); err != nil {
		return err
	}
	s.rows[key.Row] = value
	return nil
}

func (s *fakeStore) Remove(_ context.Context, key table.Key) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.call("remove"); err != nil {
		return err
	}
	delete(s.rows, key.Row)
	return nil
}

func (s *fakeStore) setUnavailable(unavailable bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unavailable = unavailable
}

func (s *fakeStore) names() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Sorted(maps.Keys(s.rows))
}

// entry is a Keeper with its captured log.
type entry struct {
	*Keeper
	log logBuffer
}

// logBuffer is a buffer that is safe for concurrent use.
type logBuffer struct {
	mu    sync.Mutex
	lines bytes.Buffer
}

func (l *logBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.lines.Write(p)
}

func (l *logBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.lines.String()
}

// segmentHold is long enough for tests that wait a second several times.
const segmentHold = time.Minute

func startEntry(t *testing.T, s *fakeStore, vm string) *entry {
	e := &entry{}
	settings := corequarantine.DefaultSettings
	settings.SegmentHold = segmentHold
	e.Keeper = New(Config{
		VM: vm, Settings: settings, Store: s, Table: "quarantine",
		MayHaveUnlinkedEntries: func() bool { return false }, Log: zerolog.New(&e.log),
	})
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		e.Run(ctx)
	}()
	t.Cleanup(func() { cancel(); <-done })
	waitOneSecond()
	return e
}

// waitOneSecond advances virtual time by one second and waits for all that is due by then.
func waitOneSecond() {
	time.Sleep(time.Second)
	synctest.Wait()
}

func printOf(name string) fingerprint.Print {
	return fingerprint.Of(fingerprint.Request{Body: []byte(name)})
}

// requestOf returns a request with the given segments.
func requestOf(name string, segments ...string) Request {
	return Request{
		ID: name, Print: func() fingerprint.Print { return printOf(name) },
		Segments: func() []fingerprint.Print {
			var all []fingerprint.Print
			for _, id := range segments {
				all = append(all, fingerprint.OfSegment("model", id))
			}
			return all
		},
	}
}

func upstream(i int) dispatch.Upstream { return dispatch.Upstream{ID: fmt.Sprint("engine-", i)} }

// crash reports to an entry that an upstream has crashed while it served some requests.
func (e *entry) crash(i int, affected ...string) {
	var all []Suspect
	for _, name := range affected {
		all = append(all, Suspect{Print: printOf(name), Request: "id-" + name})
	}
	e.RecordCrash(upstream(i), all)
	waitOneSecond()
}

// holds reports whether an entry holds a request back.
func (e *entry) holds(name string) bool {
	_, held := e.Held(requestOf(name))
	return held
}

// answered reports to an entry that an upstream has answered a request.
func (e *entry) answered(name string) {
	e.RecordAnswer(requestOf(name))
	waitOneSecond()
}

// sendReports delivers one entry's reports to another.
func sendReports(from, to *entry) { to.Receive("other", from.Reports()) }

// inVirtualTime runs a test in virtual time.
func inVirtualTime(t *testing.T, test func(t *testing.T)) { synctest.Test(t, test) }

// A hold survives a restart of all entries.
func TestHoldOutlastsAllEntries(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		s := newStore()
		first := startEntry(t, s, "entry-1")
		for i := range 3 {
			first.crash(i, "fatal", fmt.Sprint("other-", i))
		}
		require.True(t, first.holds("fatal"))
		require.Contains(t, first.log.String(), "request is held back: upstreams crash under it")
		require.Len(t, s.names(), 1, "a request with a single crash is not written")

		next := startEntry(t, s, "entry-1")
		require.True(t, next.Ready())
		require.True(t, next.holds("fatal"))
		left, _ := next.Held(requestOf("fatal"))
		require.InDelta(t, time.Hour, left, float64(time.Minute))
	})
}

// Unlinked entries each see too few crashes to hold back a request; the store combines them.
func TestEntriesWithoutLinksAddUpWhatTheySee(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		s := newStore()
		one, other, third := startEntry(t, s, "entry-1"), startEntry(t, s, "entry-2"), startEntry(t, s, "entry-3")
		one.crash(1, "fatal")
		one.crash(2, "fatal")
		require.False(t, one.holds("fatal"))
		other.crash(3, "fatal")
		require.True(t, other.holds("fatal"))
		time.Sleep(defaultRereadInterval + time.Second)
		require.True(t, one.holds("fatal"))
		require.True(t, third.holds("fatal"), "an entry that saw no crash holds it back too")
	})
}

// Linked entries share crash reports at once, also while the store is unavailable.
func TestLinkedEntriesShareReportsWithoutTheStore(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		s := newStore()
		one, other := startEntry(t, s, "entry-1"), startEntry(t, s, "entry-2")
		s.setUnavailable(true)
		one.crash(1, "fatal", "bystander")
		one.crash(2, "fatal")
		sendReports(one, other)
		other.crash(3, "fatal")
		require.True(t, other.holds("fatal"))
		sendReports(other, one)
		require.True(t, one.holds("fatal"))

		third := startEntry(t, s, "entry-3")
		third.Receive("entry-1", one.Current())
		require.True(t, third.holds("fatal"), "an entry that links later learns the holds")
		s.setUnavailable(false)
		time.Sleep(defaultRereadInterval)
		waitOneSecond()
		require.NotEmpty(t, s.names(), "the row is written once the store is available")
	})
}

// An answer from an upstream clears the suspicion at all entries and removes the rows.
func TestAnswerClearsARequestEverywhere(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		s := newStore()
		one, other := startEntry(t, s, "entry-1"), startEntry(t, s, "entry-2")
		one.crash(1, "popular")
		one.crash(2, "popular")
		sendReports(one, other)
		require.Len(t, s.names(), 1)
		other.crash(3, "popular")
		require.True(t, other.holds("popular"), "no upstream has answered it yet")
		require.Len(t, s.names(), 2)
		one.answered("popular")
		sendReports(one, other)
		waitOneSecond()
		require.False(t, other.holds("popular"))
		require.Empty(t, s.names())
		other.crash(4, "popular")
		require.False(t, other.holds("popular"), "crashes are counted from zero")
	})
}

// An operator's release ends a hold at all entries. Later crashes are counted from zero.
func TestOperatorReleaseEndsTheHold(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		s := newStore()
		one := startEntry(t, s, "entry-1")
		for i := range 3 {
			one.crash(i, "fatal")
		}
		released, err := json.Marshal(Record{ReleasedMs: time.Now().UnixMilli(), WrittenMs: time.Now().UnixMilli()})
		require.NoError(t, err)
		require.NoError(t, s.Put(t.Context(), table.Key{Row: rowName(printOf("fatal"), "operator")}, released))
		time.Sleep(defaultRereadInterval + time.Second)
		require.False(t, one.holds("fatal"))
		require.Contains(t, one.log.String(), "an operator has released it")
		require.Equal(t, []string{rowName(printOf("fatal"), "operator")}, s.names(), "older rows would count again once the release is gone")
		for i := range 3 {
			one.crash(10+i, "fatal")
		}
		require.True(t, one.holds("fatal"))
		time.Sleep(2 * defaultRereadInterval)
		require.True(t, one.holds("fatal"), "the old release no longer applies")
		require.True(t, startEntry(t, s, "entry-2").holds("fatal"))
	})
}

// Rows that the store has lost are written again.
func TestLostRowsAreWrittenAgain(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		s := newStore()
		one := startEntry(t, s, "entry-1")
		for i := range 3 {
			one.crash(i, "fatal")
		}
		before := s.names()
		s.mu.Lock()
		clear(s.rows)
		s.mu.Unlock()
		time.Sleep(defaultRereadInterval + time.Second)
		waitOneSecond()
		require.Equal(t, before, s.names())
	})
}

// An entry waits for the store's rows before it is ready, but only for a bounded time.
func TestUnavailableStoreDelaysReadinessForABoundedTime(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		s := newStore()
		s.setUnavailable(true)
		one := startEntry(t, s, "entry-1")
		require.False(t, one.Ready())
		time.Sleep(maxLoadWait)
		require.True(t, one.Ready())
		s.setUnavailable(false)
		waitOneSecond()
		require.True(t, one.loaded.Load())
	})
}

// Rows that no entry has written or that have invalid values are skipped, with an error that names
// the fault.
func TestUnreadableRowsAreSkipped(t *testing.T) {
	name := rowName(printOf("x"), "entry-9")
	for want, row := range map[string]table.Row{
		"names no request": {Key: table.Key{Row: "foreign"}},
		"names no request and writer": {
			Key: table.Key{Row: printOf("x").String()}, Value: []byte(`{}`),
		},
		"can't be read":            {Key: table.Key{Row: name}, Value: []byte(`17`)},
		"is no Unix millisecond":   {Key: table.Key{Row: name}, Value: []byte(`{"heldUntilMs":99999999999999}`)},
		"times is -1, allowed are": {Key: table.Key{Row: name}, Value: []byte(`{"times":-1}`)},
	} {
		_, err := Decode(row)
		require.ErrorContains(t, err, want)
	}
	inVirtualTime(t, func(t *testing.T) {
		s := newStore()
		s.rows["foreign"] = []byte("x")
		s.rows[rowName(printOf("x"), "operator")] = []byte(`{"releasedMs":9999999999999}`)
		one := startEntry(t, s, "entry-1")
		require.True(t, one.Ready())
		require.Contains(t, one.log.String(), "could not be decoded")
		for i := range 3 {
			one.crash(i, "x")
		}
		time.Sleep(defaultRereadInterval + time.Second)
		require.True(t, one.holds("x"), "a release from the future doesn't count")
	})
}

// Guards against a row of another writer whose crashes lie so far ahead that they count again after each
// hold, or are no times at all.
func TestCrashesOutOfTimeDoNotCount(t *testing.T) {
	name := rowName(printOf("x"), "entry-9")
	for _, atMs := range []string{"-1", "10000000000000", "-9223372036854775808"} {
		_, err := Decode(table.Row{Key: table.Key{Row: name}, Value: []byte(`{"crashes":[{"upstream":1,"atMs":` + atMs + `}]}`)})
		require.ErrorContains(t, err, "is no Unix millisecond", atMs)
	}
	inVirtualTime(t, func(t *testing.T) {
		s := newStore()
		ahead := time.Now().Add(24 * time.Hour).UnixMilli()
		s.rows[name] = fmt.Appendf(nil, `{"crashes":[{"upstream":1,"atMs":%d},{"upstream":2,"atMs":%d},{"upstream":3,"atMs":%d}],"writtenMs":%d}`,
			ahead, ahead+5000, ahead+10_000, time.Now().UnixMilli())
		one := startEntry(t, s, "entry-1")
		require.True(t, one.Ready())
		time.Sleep(defaultRereadInterval + time.Second)
		require.False(t, one.holds("x"))
		time.Sleep(corequarantine.Retention + 2*defaultRereadInterval)
		require.Empty(t, s.names(), "the row expires by when it was written")
	})
}

// FuzzDecode checks that a decoded row has only times that are Unix milliseconds.
func FuzzDecode(f *testing.F) {
	f.Add([]byte(`{"crashes":[{"upstream":1,"atMs":-5}],"heldUntilMs":1,"times":1,"writtenMs":3}`))
	f.Fuzz(func(t *testing.T, value []byte) {
		row, err := Decode(table.Row{Key: table.Key{Row: rowName(printOf("x"), "entry-9")}, Value: value})
		if err != nil {
			return
		}
		for _, ms := range row.times() {
			require.GreaterOrEqual(t, ms, int64(0))
			require.LessOrEqual(t, ms, int64(maxTimeMs))
		}
	})
}

// Rows that no longer count are removed.
func TestExpiredRowsAreRemoved(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		s := newStore()
		one := startEntry(t, s, "entry-1")
		one.crash(1, "rare")
		one.crash(2, "rare")
		require.Len(t, s.names(), 1)
		time.Sleep(corequarantine.Retention + 2*defaultRereadInterval)
		require.Empty(t, s.names())
		_, suspected := one.Counts()
		require.Zero(t, suspected)
	})
}

// A failing rack takes down upstreams with thousands of requests in flight. None of these
// requests is written to the store.
func TestManyCrashesAtOnceDoNotFloodTheStore(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		s := newStore()
		one := startEntry(t, s, "entry-1")
		clear(s.calls)
		for i := range 20 {
			var affected []Suspect
			for j := range 100 {
				affected = append(affected, Suspect{Print: printOf(fmt.Sprint(i, "-", j))})
			}
			one.RecordCrash(upstream(i), affected)
		}
		waitOneSecond()
		require.Zero(t, s.calls["put"])
		require.LessOrEqual(t, s.calls["all"], 2)
		require.LessOrEqual(t, len(one.Reports()), corequarantine.MaxReports)
	})
}

func TestKeeperIsSafeForConcurrentUse(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		s := newStore()
		one, other := startEntry(t, s, "entry-1"), startEntry(t, s, "entry-2")
		var all sync.WaitGroup
		for i := range 8 {
			all.Go(func() {
				for j := range 50 {
					name := fmt.Sprint((i + j) % 5)
					one.RecordCrash(upstream(i*50+j), []Suspect{{Print: printOf(name)}})
					sendReports(one, other)
					other.RecordAnswer(requestOf(name))
					sendReports(other, one)
					one.Counts()
					one.holds(name)
					one.OneCrashFromHold(requestOf(name))
				}
			})
		}
		all.Wait()
		waitOneSecond()
	})
}

func BenchmarkHeldWithoutHolds(b *testing.B) {
	k := New(Config{Settings: corequarantine.DefaultSettings})
	b.ReportAllocs()
	for b.Loop() {
		k.Held(Request{Print: func() fingerprint.Print { panic("not needed") }})
	}
}

// Guards against an entry whose link has just opened and that learns only some of many holds, chosen by chance and in silence.
func TestEntryLearnsTheLongestHoldsWhenTheyExceedOneMessage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		k := startEntry(t, newStore(), "entry-1")
		print := func(i int) fingerprint.Print { return fingerprint.Of(fingerprint.Request{Body: []byte(fmt.Sprint(i))}) }
		const holds = maxPendingReports + 100
		for from := 0; from < holds; from += maxPendingReports {
			var reports []corequarantine.Report
			for i := from; i < min(holds, from+maxPendingReports); i++ {
				reports = append(reports, corequarantine.Report{Kind: corequarantine.HoldReport, Print: print(i), LeftMs: int64(i+1) * 1000, Times: 1})
			}
			k.Receive("entry-2", reports)
		}
		current := k.Current()
		require.Len(t, current, maxPendingReports)
		for i, r := range current {
			require.Equal(t, print(holds-1-i), r.Print)
		}
		require.Contains(t, k.log.String(), "more requests are held back than fit in one message")
	})
}
