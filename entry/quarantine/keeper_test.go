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

// store is a table in memory that can be away.
type store struct {
	table.Feed
	mu    sync.Mutex
	rows  map[string][]byte
	away  bool
	calls map[string]int
}

func newStore() *store { return &store{rows: make(map[string][]byte), calls: make(map[string]int)} }

func (s *store) call(name string) error {
	s.calls[name]++
	if s.away {
		return table.ErrUnavailable
	}
	return nil
}

func (s *store) All(context.Context, string) ([]table.Row, uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var all []table.Row
	for _, name := range slices.Sorted(maps.Keys(s.rows)) {
		all = append(all, table.Row{Key: table.Key{Row: name}, Value: s.rows[name]})
	}
	return all, 1, s.call("all")
}

func (s *store) Put(_ context.Context, key table.Key, value []byte) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.call("put"); err != nil {
		return err
	}
	s.rows[key.Row] = value
	return nil
}

func (s *store) Remove(_ context.Context, key table.Key) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.call("remove"); err != nil {
		return err
	}
	delete(s.rows, key.Row)
	return nil
}

func (s *store) set(away bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away = away
}

func (s *store) names() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Sorted(maps.Keys(s.rows))
}

// entry is a Keeper at a store, with its log.
type entry struct {
	*Keeper
	log log
}

// log is a buffer that is safe for concurrent use.
type log struct {
	mu    sync.Mutex
	lines bytes.Buffer
}

func (l *log) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.lines.Write(p)
}

func (l *log) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.lines.String()
}

func start(t *testing.T, s *store, vm string) *entry {
	e := &entry{}
	e.Keeper = New(Config{
		VM: vm, Settings: corequarantine.DefaultSettings, Store: s, Table: "quarantine",
		Unlinked: func() bool { return false }, Log: zerolog.New(&e.log),
	})
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		e.Run(ctx)
	}()
	t.Cleanup(func() { cancel(); <-done })
	settle()
	return e
}

// settle lets all that is due within a second happen.
func settle() {
	time.Sleep(time.Second)
	synctest.Wait()
}

func content(name string) fingerprint.Print {
	return fingerprint.Of(fingerprint.Request{Body: []byte(name)})
}

func upstream(i int) dispatch.Upstream { return dispatch.Upstream{ID: fmt.Sprint("engine-", i)} }

// crash tells an entry that an upstream has crashed under some requests.
func (e *entry) crash(i int, under ...string) {
	var all []Suspect
	for _, name := range under {
		all = append(all, Suspect{Print: content(name), Request: "id-" + name})
	}
	e.Ended(upstream(i), all)
	settle()
}

func (e *entry) holds(name string) bool {
	_, held := e.Held(func() fingerprint.Print { return content(name) })
	return held
}

func (e *entry) answered(name string) {
	e.Answered(func() fingerprint.Print { return content(name) })
	settle()
}

// link passes what one entry tells to another.
func link(from, to *entry) { to.Heard("other", from.Reports()) }

// play runs a test in virtual time.
func play(t *testing.T, test func(t *testing.T)) { synctest.Test(t, test) }

// A request is held back for good although all entries start again.
func TestHoldOutlastsAllEntries(t *testing.T) {
	play(t, func(t *testing.T) {
		s := newStore()
		first := start(t, s, "entry-1")
		for i := range 3 {
			first.crash(i, "fatal", fmt.Sprint("other-", i))
		}
		require.True(t, first.holds("fatal"))
		require.Contains(t, first.log.String(), "request is held back: upstreams crash under it")
		require.Len(t, s.names(), 1, "what was in hand once isn't written down")

		next := start(t, s, "entry-1")
		require.True(t, next.Ready())
		require.True(t, next.holds("fatal"))
		left, _ := next.Held(func() fingerprint.Print { return content("fatal") })
		require.InDelta(t, time.Hour, left, float64(time.Minute))
	})
}

// Entries that no link connects each see too little of a request; the store adds it up.
func TestEntriesWithoutLinksAddUpWhatTheySee(t *testing.T) {
	play(t, func(t *testing.T) {
		s := newStore()
		one, other, third := start(t, s, "entry-1"), start(t, s, "entry-2"), start(t, s, "entry-3")
		one.crash(1, "fatal")
		one.crash(2, "fatal")
		require.False(t, one.holds("fatal"))
		other.crash(3, "fatal")
		require.True(t, other.holds("fatal"))
		time.Sleep(rereadEvery + time.Second)
		require.True(t, one.holds("fatal"))
		require.True(t, third.holds("fatal"), "also one that never saw it")
	})
}

// A linked entry learns at once, without the store.
func TestLinkedEntriesTellEachOther(t *testing.T) {
	play(t, func(t *testing.T) {
		s := newStore()
		one, other := start(t, s, "entry-1"), start(t, s, "entry-2")
		s.set(true)
		one.crash(1, "fatal", "bystander")
		one.crash(2, "fatal")
		link(one, other)
		other.crash(3, "fatal")
		require.True(t, other.holds("fatal"))
		link(other, one)
		require.True(t, one.holds("fatal"))

		third := start(t, s, "entry-3")
		third.Heard("entry-1", one.Current())
		require.True(t, third.holds("fatal"), "one that comes later is told what is held back")
		s.set(false)
		time.Sleep(rereadEvery)
		settle()
		require.NotEmpty(t, s.names(), "it is written once the store is back")
	})
}

// What an upstream answers is not suspected any more, at any entry, and its rows go.
func TestAnswerClearsARequestEverywhere(t *testing.T) {
	play(t, func(t *testing.T) {
		s := newStore()
		one, other := start(t, s, "entry-1"), start(t, s, "entry-2")
		one.crash(1, "popular")
		one.crash(2, "popular")
		link(one, other)
		require.Len(t, s.names(), 1)
		other.crash(3, "popular")
		require.True(t, other.holds("popular"), "none has answered it yet")
		require.Len(t, s.names(), 2)
		one.answered("popular")
		link(one, other)
		settle()
		require.False(t, other.holds("popular"))
		require.Empty(t, s.names())
		other.crash(4, "popular")
		require.False(t, other.holds("popular"), "it begins anew")
	})
}

// An operator's release ends a hold at all entries, and later crashes count anew.
func TestOperatorReleasesARequest(t *testing.T) {
	play(t, func(t *testing.T) {
		s := newStore()
		one := start(t, s, "entry-1")
		for i := range 3 {
			one.crash(i, "fatal")
		}
		released, err := json.Marshal(Record{ReleasedMs: time.Now().UnixMilli(), WrittenMs: time.Now().UnixMilli()})
		require.NoError(t, err)
		require.NoError(t, s.Put(t.Context(), table.Key{Row: rowName(content("fatal"), "operator")}, released))
		time.Sleep(rereadEvery + time.Second)
		require.False(t, one.holds("fatal"))
		require.Contains(t, one.log.String(), "an operator has released it")
		require.Equal(t, []string{rowName(content("fatal"), "operator")}, s.names(), "older rows would count again once it is gone")
		for i := range 3 {
			one.crash(10+i, "fatal")
		}
		require.True(t, one.holds("fatal"))
		time.Sleep(2 * rereadEvery)
		require.True(t, one.holds("fatal"), "the old release is no longer in force")
		require.True(t, start(t, s, "entry-2").holds("fatal"))
	})
}

// A store that comes back without what was written gets it again.
func TestLostRowsAreWrittenAgain(t *testing.T) {
	play(t, func(t *testing.T) {
		s := newStore()
		one := start(t, s, "entry-1")
		for i := range 3 {
			one.crash(i, "fatal")
		}
		before := s.names()
		s.mu.Lock()
		clear(s.rows)
		s.mu.Unlock()
		time.Sleep(rereadEvery + time.Second)
		settle()
		require.Equal(t, before, s.names())
	})
}

// An entry waits for what is held back before it takes requests, but not for ever.
func TestStoreThatIsAwayKeepsAnEntryBackForABoundedTime(t *testing.T) {
	play(t, func(t *testing.T) {
		s := newStore()
		s.set(true)
		one := start(t, s, "entry-1")
		require.False(t, one.Ready())
		time.Sleep(loadWithin)
		require.True(t, one.Ready())
		s.set(false)
		settle()
		require.True(t, one.loaded.Load())
	})
}

// Rows of other writers, and of another time, are left out, each kind of fault by name.
func TestRowsThatCantBeReadAreLeftOut(t *testing.T) {
	name := rowName(content("x"), "entry-9")
	for want, row := range map[string]table.Row{
		"names no request": {Key: table.Key{Row: "foreign"}},
		"names no request and writer": {
			Key: table.Key{Row: content("x").String()}, Value: []byte(`{}`),
		},
		"can't be read":            {Key: table.Key{Row: name}, Value: []byte(`17`)},
		"is no Unix millisecond":   {Key: table.Key{Row: name}, Value: []byte(`{"heldUntilMs":99999999999999}`)},
		"times is -1, allowed are": {Key: table.Key{Row: name}, Value: []byte(`{"times":-1}`)},
	} {
		_, err := Decode(row)
		require.ErrorContains(t, err, want)
	}
	play(t, func(t *testing.T) {
		s := newStore()
		s.rows["foreign"] = []byte("x")
		s.rows[rowName(content("x"), "operator")] = []byte(`{"releasedMs":9999999999999}`)
		one := start(t, s, "entry-1")
		require.True(t, one.Ready())
		require.Contains(t, one.log.String(), "could not be decoded")
		for i := range 3 {
			one.crash(i, "x")
		}
		time.Sleep(rereadEvery + time.Second)
		require.True(t, one.holds("x"), "a release from the future doesn't count")
	})
}

// Rows that no longer count are removed.
func TestOldRowsGo(t *testing.T) {
	play(t, func(t *testing.T) {
		s := newStore()
		one := start(t, s, "entry-1")
		one.crash(1, "rare")
		one.crash(2, "rare")
		require.Len(t, s.names(), 1)
		time.Sleep(corequarantine.Retention + 2*rereadEvery)
		require.Empty(t, s.names())
		_, suspected := one.Counts()
		require.Zero(t, suspected)
	})
}

// A rack that fails takes thousands of requests along: the store gets none of it.
func TestManyCrashesAtOnceDontFloodTheStore(t *testing.T) {
	play(t, func(t *testing.T) {
		s := newStore()
		one := start(t, s, "entry-1")
		clear(s.calls)
		for i := range 20 {
			var under []Suspect
			for j := range 100 {
				under = append(under, Suspect{Print: content(fmt.Sprint(i, "-", j))})
			}
			one.Ended(upstream(i), under)
		}
		settle()
		require.Zero(t, s.calls["put"])
		require.LessOrEqual(t, s.calls["all"], 2)
		require.LessOrEqual(t, len(one.Reports()), corequarantine.MaxReports)
	})
}

func TestKeeperIsSafeForConcurrentUse(t *testing.T) {
	play(t, func(t *testing.T) {
		s := newStore()
		one, other := start(t, s, "entry-1"), start(t, s, "entry-2")
		var all sync.WaitGroup
		for i := range 8 {
			all.Go(func() {
				for j := range 50 {
					name := fmt.Sprint((i + j) % 5)
					one.Ended(upstream(i*50+j), []Suspect{{Print: content(name)}})
					link(one, other)
					other.Answered(func() fingerprint.Print { return content(name) })
					link(other, one)
					one.Counts()
					one.holds(name)
					one.Doubtful(content(name))
				}
			})
		}
		all.Wait()
		settle()
	})
}

func BenchmarkHeldWhileNothingIs(b *testing.B) {
	k := New(Config{Settings: corequarantine.DefaultSettings})
	b.ReportAllocs()
	for b.Loop() {
		k.Held(func() fingerprint.Print { panic("not needed") })
	}
}
