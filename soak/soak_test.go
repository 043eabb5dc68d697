package soak_test

import (
	"os"
	"testing"
	"time"

	"acaciacleat.example/entry/command"
	"acaciacleat.example/soak"
	"github.com/stretchr/testify/require"
)

// TestMain makes the test binary act as the gateway program.
func TestMain(m *testing.M) {
	if len(os.Args) > 1 && os.Args[1] == "gateway" {
		os.Exit(command.Main(os.Args[1:], os.Stdout, os.Stderr))
	}
	os.Exit(m.Run())
}

// Runs a short random plan with a fixed seed and fails on any violation of a guarantee. Longer runs
// are started by hand (docs/OPERATORS.md).
func TestShortRunHasNoViolations(t *testing.T) {
	plan, err := soak.NewPlan(7, 15*time.Second, 3)
	require.NoError(t, err)
	require.NotEmpty(t, plan.Events)
	requireNoViolations(t, plan)
}

// Requests that crash engines overlap with kills, stops and an outage of the store. Entries that
// lost their counts of crashes then would let such a request crash engine after engine.
func TestCrashingRequestsAmongOtherFaultsCauseNoViolations(t *testing.T) {
	plan, err := soak.ReadPlan("testdata/crashes.json")
	require.NoError(t, err)
	requireNoViolations(t, plan)
}

// Prompts that share a fatal segment crash engines while entries are killed and stopped and the store is away. Entries
// that lost their counts then would let them crash engine after engine, or hold back sound prompts.
func TestCrashingSegmentsAmongOtherFaultsCauseNoViolations(t *testing.T) {
	t.Parallel()
	plan, err := soak.ReadPlan("testdata/segments.json")
	require.NoError(t, err)
	requireNoViolations(t, plan)
}

// Upstreams name, change and lift rate limits while entries are killed, stopped, paused and replaced.
// Entries that lost their shares of a limit then, or didn't know it, would exceed it.
func TestLimitsAmongOtherFaultsCauseNoViolations(t *testing.T) {
	plan, err := soak.ReadPlan("testdata/limits.json")
	require.NoError(t, err)
	requireNoViolations(t, plan)
}

// Upstreams say only in their answers that they leave, or ask for pauses, while entries are killed, stopped,
// paused and replaced and the store is away.
func TestStatementsAmongOtherFaultsCauseNoViolations(t *testing.T) {
	plan, err := soak.ReadPlan("testdata/statements.json")
	require.NoError(t, err)
	requireNoViolations(t, plan)
}

// Upstreams end their answers in every way, whole and cut off, while entries are killed, stopped, paused and cut from
// upstreams. An entry that took the end of a connection for that of an answer would pass on a truncated one.
func TestEndingsAmongOtherFaultsCauseNoViolations(t *testing.T) {
	t.Parallel()
	plan, err := soak.ReadPlan("testdata/endings.json")
	require.NoError(t, err)
	requireNoViolations(t, plan)
}

// The store keeps changes back while it names newer versions, and drops them from its history. Entries that trusted such a version
// would serve by the configuration before until the next one.
func TestChangesThatAnswersLackCauseNoViolations(t *testing.T) {
	t.Parallel()
	plan, err := soak.ReadPlan("testdata/gaps.json")
	require.NoError(t, err)
	requireNoViolations(t, plan)
}

// Organisations, keys, hosts, prefixes and limits change several times within the bound of one version, while entries are
// killed, stopped, paused and cut from the store and its whole reads are seconds behind. Entries that lacked what all
// versions have would refuse proper requests.
func TestChangesOfKeysAmongOtherFaultsCauseNoViolations(t *testing.T) {
	t.Parallel()
	plan, err := soak.ReadPlan("testdata/keys.json")
	require.NoError(t, err)
	report := requireNoViolations(t, plan)
	t.Logf("judged: %+v; outcomes: %v", report.Judged, report.Outcomes)
	require.NotZero(t, report.Judged.RefusalsInTouch)
	require.NotZero(t, report.LaggingReads)
	for _, outcome := range []string{"access 200", "access 401", "access 404", "access 413", "access 431"} {
		require.NotZero(t, report.Outcomes[outcome], outcome)
	}
}

// Guards against an upstream that says that it is leaving and gets requests again because a read of the store lags.
func TestLaggingReadsAmongOtherFaultsCauseNoViolations(t *testing.T) {
	t.Parallel()
	plan, err := soak.ReadPlan("testdata/lagging-reads.json")
	require.NoError(t, err)
	requireNoViolations(t, plan)
}

// Zones are evacuated, one by one and together, while entries are killed, stopped, paused and cut from the
// store.
func TestEvacuationsAmongOtherFaultsCauseNoViolations(t *testing.T) {
	t.Parallel()
	plan, err := soak.ReadPlan("testdata/evacuations.json")
	require.NoError(t, err)
	requireNoViolations(t, plan)
}

// Upstreams come back cold while entries are killed, stopped, paused and replaced and the store is away.
// Entries that lost their shares then, or didn't know, would send more than a cold upstream bears.
func TestColdUpstreamsAmongOtherFaultsCauseNoViolations(t *testing.T) {
	t.Parallel()
	plan, err := soak.ReadPlan("testdata/cold.json")
	require.NoError(t, err)
	requireNoViolations(t, plan)
}

// Upstreams hang while the connections to them go silent: the callers' closes are lost, and the requests
// must not count as held by the entries.
func TestRequestsThatHangBehindACutCauseNoViolations(t *testing.T) {
	plan, err := soak.ReadPlan("testdata/hung.json")
	require.NoError(t, err)
	requireNoViolations(t, plan)
}

// Configurations larger than a megabyte change while the bandwidth to the store is low. Entries must
// still apply each version in time: low bandwidth excuses no failure.
func TestLargeConfigurationsOverLowBandwidthCauseNoViolations(t *testing.T) {
	plan, err := soak.ReadPlan("testdata/large.json")
	require.NoError(t, err)
	requireNoViolations(t, plan)
}

// The configuration changes and upstreams leave while the store fails in every way, for all entries or some. Guards
// against an entry in touch that applies a change late.
func TestChangesAmongDisruptionsOfTheStoreAreAppliedInTime(t *testing.T) {
	t.Parallel()
	plan, err := soak.NewFeedPlan(5, 35*time.Second, 4, 0)
	require.NoError(t, err)
	requireNoViolations(t, plan)
}

// requireNoViolations executes a plan, requires that it finds no violation and returns the report.
func requireNoViolations(t *testing.T, plan *soak.Plan) *soak.Report {
	t.Helper()
	program, err := os.Executable()
	require.NoError(t, err)
	report, err := soak.Run(t.Context(), plan, program, t.TempDir())
	require.NoError(t, err)
	t.Logf("worst shares of the bounds: rate limits %.2f, cold upstreams %.2f", report.LimitShare, report.ColdShare)
	require.Empty(t, report.Violations)
	require.NotZero(t, report.Outcomes["200"])
	return report
}

// A run can be repeated only if its seed determines the plan. All events must end before the quiet
// period, in which every request must succeed, so a duration too short for both is refused.
func TestSameSeedGivesTheSamePlan(t *testing.T) {
	first, err := soak.NewPlan(3, time.Minute, 5)
	require.NoError(t, err)
	second, err := soak.NewPlan(3, time.Minute, 5)
	require.NoError(t, err)
	require.Equal(t, first, second)
	for _, event := range first.Events {
		require.Less(t, event.AtMs+event.ForMs, first.LastsMs-first.QuietMs)
	}
	_, err = soak.NewPlan(3, 5*time.Second, 5)
	require.ErrorContains(t, err, "must last more than")

	first, err = soak.NewFeedPlan(3, time.Minute, 4, 30)
	require.NoError(t, err)
	second, err = soak.NewFeedPlan(3, time.Minute, 4, 30)
	require.NoError(t, err)
	require.Equal(t, first, second)
	_, err = soak.NewFeedPlan(3, 10*time.Second, 4, 0)
	require.ErrorContains(t, err, "must last more than")
}
