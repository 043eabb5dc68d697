package soak

import (
	"errors"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"acaciacleat.example/platform/standin"
	"github.com/stretchr/testify/require"
)

// newTestCaller returns a caller of an entry for which no disruption has been recorded.
func newTestCaller() *caller {
	h := &harness{recorder: newRecorder(), statements: newStatementRecord(), stopTimes: make(map[*process]time.Time)}
	p := &process{done: make(chan struct{}), started: time.Now().Add(-time.Minute)}
	return &caller{harness: h, entry: &entry{}, process: p, connectedAt: time.Now().Add(-time.Second)}
}

// newTestExchange returns an exchange without violations, with the given status and body.
func newTestExchange(status int, body string) *exchange {
	now := time.Now()
	ex := &exchange{
		route: routes[1], uri: "/jobs/id", id: "id", began: now.Add(-time.Millisecond), ended: now, status: status, body: []byte(body),
		deadline: plainDeadline,
		header:   http.Header{"Retry-After": {"1"}},
	}
	standin.SetOrigin(ex.header, ex.id, "seal")
	return ex
}

const expectedAnswer = "answer to /jobs/id"

// Each check of an answer must detect its violation, and a correct answer must pass all checks.
func TestEachAnswerViolationIsReported(t *testing.T) {
	cases := []struct {
		name   string
		status int
		body   string
		change func(ex *exchange, c *caller)
		want   Check
	}{
		{"complete", http.StatusOK, expectedAnswer, nil, ""},
		{"incomplete", http.StatusOK, expectedAnswer[:5], nil, TruncatedAnswer},
		{"of another request", http.StatusOK, expectedAnswer, func(ex *exchange, _ *caller) { standin.SetOrigin(ex.header, "other", "seal") }, WrongAnswer},
		{"of no upstream", http.StatusOK, expectedAnswer, func(ex *exchange, _ *caller) { standin.SetOrigin(ex.header, ex.id, "") }, WrongAnswer},
		{"rejected", http.StatusNotFound, "", nil, Rejected},
		{"refused without Retry-After", http.StatusServiceUnavailable, "", func(ex *exchange, _ *caller) { ex.header.Del("Retry-After") }, NoRetryAfter},
		{"refused", http.StatusServiceUnavailable, "", nil, ""},
		{"late", http.StatusOK, expectedAnswer, func(ex *exchange, _ *caller) { ex.began = ex.began.Add(-plainDeadline - deadlineSlack) }, DeadlineMissed},
		{"connection lost", 0, "", func(ex *exchange, _ *caller) { ex.err = errors.New("reset") }, ConnectionLost},
		{"connection lost by a kill", 0, "", func(ex *exchange, c *caller) {
			ex.err = errors.New("reset")
			c.harness.recorder.beginDisruption(partProcess, 0)
			ex.ended = time.Now()
		}, ""},
		{"connection lost by a stop", 0, "", func(ex *exchange, c *caller) {
			ex.err = errors.New("reset")
			c.harness.stopTimes[c.process] = ex.began
		}, ConnectionLost},
		{"after a stop", 0, "", func(ex *exchange, c *caller) {
			ex.err = errors.New("refused")
			c.harness.stopTimes[c.process] = ex.began.Add(-notReadyDelay)
		}, ""},
		{"interrupted by an upstream", http.StatusOK, "", func(ex *exchange, c *caller) {
			ex.err = errors.New("reset")
			c.harness.recorder.beginDisruption(partUpstreams, allEntries)
			ex.ended = time.Now()
		}, ""},
		{"out of time at a slow engine", http.StatusOK, "", func(ex *exchange, c *caller) {
			ex.err = errors.New("reset")
			c.harness.recorder.beginDisruption(partEngineSpeed, allEntries)
			ex.ended = time.Now()
			ex.began = ex.ended.Add(-ex.deadline)
		}, ""},
		{"interrupted early at a slow engine", http.StatusOK, "", func(ex *exchange, c *caller) {
			ex.err = errors.New("reset")
			c.harness.recorder.beginDisruption(partEngineSpeed, allEntries)
			ex.ended = time.Now()
		}, ConnectionLost},
		{"interrupted without a disruption", http.StatusOK, "", func(ex *exchange, _ *caller) { ex.err = errors.New("reset") }, ConnectionLost},
		{"failed after recovery", http.StatusBadGateway, "", func(_ *exchange, c *caller) { c.harness.recorder.requireSuccessAfter(-time.Minute) }, NotRecovered},
		{"failed", http.StatusBadGateway, "", nil, ""},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			c, ex := newTestCaller(), newTestExchange(test.status, test.body)
			if test.change != nil {
				test.change(ex, c)
			}
			c.check(ex)
			requireViolation(t, c.harness.recorder, test.want)
		})
	}
}

func requireViolation(t *testing.T, r *recorder, want Check) {
	t.Helper()
	if want == "" {
		require.Empty(t, r.violations)
		return
	}
	require.Len(t, r.violations, 1)
	require.Equal(t, want, r.violations[0].Check)
}

// A second run of a request that may run only once, and any run after a refusal, must each be
// reported, and reported once although the checks repeat.
func TestForbiddenRunsAreReportedOnce(t *testing.T) {
	r := newRecorder()
	r.expectAtMostOnce("/jobs/a")
	r.recordNotRun("/jobs/b", "entry 0")
	r.checkRuns(map[string]int{"/jobs/a": 1, "/lists/c": 3})
	require.Empty(t, r.violations)
	r.checkRuns(map[string]int{"/jobs/a": 2})
	requireViolation(t, r, RanTwice)
	r.checkRuns(map[string]int{"/jobs/a": 3, "/jobs/b": 1})
	require.Len(t, r.violations, 2, "each violation is reported once")
	require.Equal(t, RanAfterRefusal, r.violations[1].Check)
}

// Runs of a crashing request must be reported if more than maxLateRuns begin later than
// crashNoticeLimit after the run that reached crashLimit, unless their entry was disrupted.
func TestCrashingRequestThatKeepsRunningIsReported(t *testing.T) {
	begin := time.Now()
	// The first crashLimit runs begin one second apart, the last of them after 2 s; the late runs
	// follow crashNoticeLimit after it.
	runs := func(lateRuns int) []standin.Run {
		var all []standin.Run
		for i := range crashLimit {
			all = append(all, standin.Run{ID: "a", At: begin.Add(time.Duration(i) * time.Second)})
		}
		for i := range lateRuns {
			all = append(all, standin.Run{ID: "a", At: begin.Add(2*time.Second + crashNoticeLimit + time.Duration(i+1)*time.Millisecond)})
		}
		return all
	}
	sent := &sentRequests{entries: map[string]int{"a": 1}}
	r := newRecorder()
	r.checkCrashes(crashCause{path: "/ask/fatal-1"}, runs(maxLateRuns), sent)
	require.Empty(t, r.violations)
	r.checkCrashes(crashCause{path: "/ask/fatal-1"}, runs(maxLateRuns+1), sent)
	requireViolation(t, r, CrashNotContained)

	r = newRecorder()
	r.beginDisruption(partStore, 1)
	r.disruptions[0].from = begin
	r.checkCrashes(crashCause{path: "/ask/fatal-1"}, runs(maxLateRuns+1), sent)
	require.Empty(t, r.violations, "runs from a disrupted entry do not count")
}

// Sound prompts that are held back because of a segment that they don't have must be reported.
func TestSoundPromptsHeldBackAreReported(t *testing.T) {
	begin := time.Now()
	cause := crashCause{path: "/ask/segment-1", segment: "bad1"}
	runs := []standin.Run{{ID: "a", At: begin}}
	answers := func(heldBack int) *soundPrompts {
		sound := &soundPrompts{}
		for i := range 2 * minSoundPrompts {
			sound.record(soundAnswer{at: begin.Add(crashNoticeLimit + time.Second), heldBack: i < heldBack})
		}
		return sound
	}
	r := newRecorder()
	r.checkSoundPrompts(cause, runs, answers(minSoundPrompts))
	require.Empty(t, r.violations)
	r.checkSoundPrompts(cause, runs, answers(minSoundPrompts+1))
	requireViolation(t, r, SoundHeldBack)
}

// An entry that returns to an older version, or still applies an older one after its bound, must be reported; while
// it is not in touch, the delay is excused.
func TestOldConfigurationVersionsAreReported(t *testing.T) {
	now := time.Now()
	p := &process{started: now.Add(-time.Minute)}
	poll := func(previous, version uint64) versionPoll {
		return versionPoll{entry: &entry{index: 1}, process: p, askedAt: now, previous: previous, version: version}
	}
	r := newRecorder()
	r.checkVersion(poll(3, 2))
	requireViolation(t, r, ConfigurationReverted)

	r = newRecorder()
	r.versions = []acknowledgedVersion{{version: 4, at: now.Add(-applyLimit - time.Millisecond), limit: applyLimit}}
	r.checkVersion(poll(4, 4))
	require.Empty(t, r.violations)
	for _, entry := range []int{1, allEntries} {
		r.disruptions = []*disruption{{part: partStore, entry: entry, from: now.Add(-time.Minute), to: now.Add(-stableWindow + time.Millisecond)}}
		r.checkVersion(poll(3, 3))
		require.Empty(t, r.violations, "a disrupted entry may be late")
	}
	r.disruptions = []*disruption{{part: partStore, entry: allEntries, from: now.Add(-time.Minute), stretches: true}}
	r.checkVersion(poll(3, 3))
	require.Empty(t, r.violations, "the bound is stretched")
	r.versions[0].at = now.Add(-applyLimit - stretchLimit - time.Millisecond)
	r.checkVersion(poll(3, 3))
	requireViolation(t, r, ConfigurationStale)

	r.violations, r.versions[0].at = nil, now.Add(-applyLimit-time.Millisecond)
	r.disruptions = []*disruption{{part: partStore, entry: 2, from: now.Add(-time.Minute)}, {part: partStore, entry: 1, from: now.Add(-time.Minute), to: now.Add(-stableWindow)}}
	r.checkVersion(poll(3, 3))
	requireViolation(t, r, ConfigurationStale)
}

// Requests beyond an upstream's limit must be reported, unless their entry had not been told of the
// limit or was disrupted.
func TestRequestsBeyondALimitAreReported(t *testing.T) {
	begin := time.Now()
	limits := []standin.NamedLimit{{From: begin, Rate: 2}}
	var arrivals []standin.Arrival
	for i := range 18 {
		arrivals = append(arrivals, standin.Arrival{ID: "a", At: begin.Add(4*time.Second + time.Duration(i)*100*time.Millisecond)})
	}
	p := &process{}
	sent := newStatementRecord()
	sent.recordSent("a", sender{entry: 1, process: p})
	r := newRecorder()
	r.checkLimit("seal-1", limits, slices.Clone(arrivals), sent)
	require.Empty(t, r.violations, "the entry has passed on no answer with a limit")

	sent.recordLimit(p, "seal-2", begin)
	r.checkLimit("seal-1", limits, slices.Clone(arrivals), sent)
	require.Empty(t, r.violations, "the answer with a limit was another upstream's")

	sent.recordLimit(p, "seal-1", begin.Add(time.Second))
	r.checkLimit("seal-1", limits, slices.Clone(arrivals[:17]), sent)
	require.Empty(t, r.violations)
	require.InDelta(t, 1, r.limitShare, 1e-9)
	r.checkLimit("seal-1", limits, slices.Clone(arrivals), sent)
	requireViolation(t, r, LimitExceeded)

	r = newRecorder()
	r.beginDisruption(partProcess, 1)
	r.disruptions[0].from = begin
	r.checkLimit("seal-1", limits, slices.Clone(arrivals), sent)
	require.Empty(t, r.violations, "requests of a disrupted entry don't count")
}

// Guards against a cold upstream that gets too much and isn't reported.
func TestRequestsBeyondTheColdBoundAreReported(t *testing.T) {
	r := newRecorder()
	r.checkCold("engine-1", 17, false)
	require.Empty(t, r.violations)
	require.InDelta(t, 1, r.coldShare, 1e-9)
	r.checkCold("engine-1", 18, false)
	requireViolation(t, r, ColdExceeded)
}

// Guards against a run that ends before any request must succeed, because its last event ended late.
func TestQuietPeriodFollowsTheLastEvent(t *testing.T) {
	planned := time.Now()
	require.Equal(t, planned, trafficEnd(planned, planned.Add(-recoveryLimit-quietPeriod)))
	require.Equal(t, planned.Add(crashTail), trafficEnd(planned, planned.Add(crashTail-recoveryLimit-quietPeriod)))
}

// Guards against a machine that stood still and late answers that look as if the gateways had caused them.
func TestStandstillsOfTheMachineAreReported(t *testing.T) {
	r := newRecorder()
	at := func(ms int) time.Time { return r.startedAt.Add(time.Duration(ms) * time.Millisecond) }
	r.recordTick(at(900), at(1000))
	r.recordTick(at(1000), at(2000)) // Late by less than is reported.
	r.recordTick(at(2000), at(7100))
	r.recordTick(at(7100), at(7200))
	report := &Report{Seed: 1, Violations: []Violation{{AtMs: 7110, Check: DeadlineMissed, Detail: "5 s"}}, Standstills: r.allStandstills()}
	require.Equal(t, []Standstill{{AtMs: 2100, ForMs: 5000}}, report.Standstills)
	var text strings.Builder
	report.Write(&text)
	require.Contains(t, text.String(), "2100 ms stood still: this process did not run for 5000 ms")
	require.Contains(t, text.String(), "1 violations", "a standstill excuses nothing")
}
