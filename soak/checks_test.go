package soak

import (
	"errors"
	"net/http"
	"testing"
	"time"

	"acaciacleat.example/platform/standin"
	"github.com/stretchr/testify/require"
)

// testCaller is a caller of one entry that nothing disturbs.
func testCaller() *caller {
	w := &world{book: newBook(), stops: make(map[*process]time.Time)}
	life := &process{done: make(chan struct{}), started: time.Now().Add(-time.Minute)}
	return &caller{world: w, entry: &entry{}, life: life, opened: time.Now().Add(-time.Second)}
}

func testAnswer(status int, body string) *answer {
	now := time.Now()
	a := &answer{
		route: routes[1], uri: "/jobs/id", id: "id", began: now.Add(-time.Millisecond), ended: now, status: status, body: []byte(body),
		timeGiven: routesTime,
		header:    http.Header{"Retry-After": {"1"}},
	}
	standin.SetOrigin(a.header, a.id, "seal")
	return a
}

const ownAnswer = "answer to /jobs/id"

// Each check of an answer is shown to fail, and a good answer to pass all.
func TestAnswersAreJudged(t *testing.T) {
	cases := []struct {
		name   string
		status int
		body   string
		change func(a *answer, c *caller)
		want   Check
	}{
		{"own and whole", http.StatusOK, ownAnswer, nil, ""},
		{"not whole", http.StatusOK, ownAnswer[:5], nil, Short},
		{"of another", http.StatusOK, ownAnswer, func(a *answer, _ *caller) { standin.SetOrigin(a.header, "other", "seal") }, Foreign},
		{"of no upstream", http.StatusOK, ownAnswer, func(a *answer, _ *caller) { standin.SetOrigin(a.header, a.id, "") }, Foreign},
		{"called wrong", http.StatusNotFound, "", nil, Denied},
		{"refused without advice", http.StatusServiceUnavailable, "", func(a *answer, _ *caller) { a.header.Del("Retry-After") }, Unadvised},
		{"refused", http.StatusServiceUnavailable, "", nil, ""},
		{"late", http.StatusOK, ownAnswer, func(a *answer, _ *caller) { a.began = a.began.Add(-routesTime - lateSlack) }, Late},
		{"cut off", 0, "", func(a *answer, _ *caller) { a.err = errors.New("reset") }, CutOff},
		{"cut off by a kill", 0, "", func(a *answer, c *caller) {
			a.err = errors.New("reset")
			c.world.book.disturb(hopProcess, 0)
			a.ended = time.Now()
		}, ""},
		{"cut off by a stop", 0, "", func(a *answer, c *caller) {
			a.err = errors.New("reset")
			c.world.stops[c.life] = a.began
		}, CutOff},
		{"after a stop", 0, "", func(a *answer, c *caller) {
			a.err = errors.New("refused")
			c.world.stops[c.life] = a.began.Add(-readyOff)
		}, ""},
		{"broken off by an upstream", http.StatusOK, "", func(a *answer, c *caller) {
			a.err = errors.New("reset")
			c.world.book.disturb(hopUpstreams, everyEntry)
			a.ended = time.Now()
		}, ""},
		{"broken off by nobody", http.StatusOK, "", func(a *answer, _ *caller) { a.err = errors.New("reset") }, CutOff},
		{"failed when all is well", http.StatusBadGateway, "", func(_ *answer, c *caller) { c.world.book.settle(-time.Minute) }, Unwell},
		{"failed", http.StatusBadGateway, "", nil, ""},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			c, a := testCaller(), testAnswer(test.status, test.body)
			if test.change != nil {
				test.change(a, c)
			}
			c.judge(a)
			requireBroken(t, c.world.book, test.want)
		})
	}
}

func requireBroken(t *testing.T, b *book, want Check) {
	t.Helper()
	if want == "" {
		require.Empty(t, b.violations)
		return
	}
	require.Len(t, b.violations, 1)
	require.Equal(t, want, b.violations[0].Check)
}

func TestRunsAreJudged(t *testing.T) {
	b := newBook()
	b.mayRunOnce("/jobs/a")
	b.saidNotRun("/jobs/b", "entry 0")
	b.judgeRuns(map[string]int{"/jobs/a": 1, "/lists/c": 3})
	require.Empty(t, b.violations)
	b.judgeRuns(map[string]int{"/jobs/a": 2})
	requireBroken(t, b, Twice)
	b.judgeRuns(map[string]int{"/jobs/a": 3, "/jobs/b": 1})
	require.Len(t, b.violations, 2, "each fault is told once")
	require.Equal(t, Refused, b.violations[1].Check)
}

func TestRunsOfACrashingRequestAreJudged(t *testing.T) {
	begin := time.Now()
	runs := func(later int) []standin.Run {
		var all []standin.Run
		for i := range crashesKnown {
			all = append(all, standin.Run{ID: "a", At: begin.Add(time.Duration(i) * time.Second)})
		}
		for i := range later {
			all = append(all, standin.Run{ID: "a", At: begin.Add(2*time.Second + knownAfter + time.Duration(i+1)*time.Millisecond)})
		}
		return all
	}
	sent := &arrivals{at: map[string]int{"a": 1}}
	b := newBook()
	b.judgeCrashes("/ask/fatal-1", runs(strayRuns), sent)
	require.Empty(t, b.violations)
	b.judgeCrashes("/ask/fatal-1", runs(strayRuns+1), sent)
	requireBroken(t, b, Crashing)

	b = newBook()
	b.disturb(hopStore, 1)
	b.disturbances[0].from = begin
	b.judgeCrashes("/ask/fatal-1", runs(strayRuns+1), sent)
	require.Empty(t, b.violations, "an entry that something struck is excused")
}

func TestVersionsAreJudged(t *testing.T) {
	life := &process{started: time.Now().Add(-time.Minute)}
	e := &entry{index: 1}
	b := newBook()
	b.judgeVersion(e, life, 3, 2)
	requireBroken(t, b, Back)

	b = newBook()
	b.configured = []configuredAt{{version: 4, at: time.Now().Add(-inForce - time.Second)}}
	b.judgeVersion(e, life, 4, 4)
	require.Empty(t, b.violations)
	over := b.disturb(hopStore, 1)
	b.judgeVersion(e, life, 3, 3)
	require.Empty(t, b.violations, "an entry that is cut off is not held to it")
	over()
	b.disturbances = nil
	b.judgeVersion(e, life, 3, 3)
	requireBroken(t, b, Stale)
}
