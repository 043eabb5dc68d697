package trial

import (
	"context"
	"testing"
	"time"

	"acaciacleat.example/entry/load"
	"acaciacleat.example/entry/load/mix"
	"acaciacleat.example/entry/load/report"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
)

func testPlan() Plan {
	length := func(low, high int) mix.Range {
		return mix.Range{Distribution: mix.LogUniform, Min: low, Max: high}
	}
	return Plan{
		Mix: &mix.Mix{
			Model: "assistant-1",
			Classes: []mix.Class{
				{Name: "short", Share: 3, PromptTokens: length(100, 1_000), AnswerTokens: length(2, 5)},
				{Name: "medium", Share: 1, PromptTokens: length(9_000, 20_000), AnswerTokens: length(2, 5)},
			},
			Organisations: []mix.Organisation{{Name: "one", Key: "key-one", Weight: 2}, {Name: "two", Key: "key-two", Weight: 1}},
			Plain:         mix.Plain{Share: 0.1, Calls: []mix.Call{{Service: "parts", Method: "POST", Path: "/jobs", Weight: 1, IdempotencyKey: true}}},
		},
		Rate:         200,
		Duration:     time.Hour,
		MaxRequests:  60,
		CompareAlone: true,
		Client:       load.Config{MaxInFlight: 100, DefaultTimeout: 30 * time.Second, GracePeriod: 5 * time.Second},
	}
}

func testDeployments() Deployments {
	return Deployments{
		Shape:    Shape{Engines: 2, Plains: 1, Entries: 2, Zones: []string{"zone-a"}, Objective: "short-slowdown"},
		Speed:    100,
		Policies: []string{"naive", "combined"},
		Seeds:    []uint64{1, 2},
		Log:      zerolog.Nop(),
	}
}

// A comparison of policies is only fair if each gets the same requests for a seed. Every run must also
// have its pass with the short requests alone, and account for all requests.
func TestPoliciesGetTheSameRequests(t *testing.T) {
	plan := testPlan()
	var passes []string
	plan.OnPassStart = func(label string, _ int) { passes = append(passes, label) }
	reports, err := Compare(t.Context(), plan, testDeployments())
	require.NoError(t, err)
	require.Len(t, reports, 4)
	require.Equal(t, []string{"naive, short alone", "naive", "combined, short alone", "combined"}, passes[:4])
	for i, r := range reports {
		require.Equal(t, []string{"naive", "combined"}[i%2], r.Label)
		require.EqualValues(t, 1+i/2, r.Seed)
		all, plain := r.Class(report.AllClass), r.Class(report.PlainClass)
		require.Equal(t, 60, all.Count+plain.Count)
		require.Empty(t, all.Failed)
		require.Empty(t, plain.Failed)
		require.Equal(t, r.Class("short").Count, r.Slowdown.Pairs)
		require.Len(t, r.Organisations, 2)
	}
	for seed := range 2 {
		naive, combined := reports[2*seed], reports[2*seed+1]
		require.Equal(t, naive.Class(report.AllClass).PromptTokens, combined.Class(report.AllClass).PromptTokens)
	}
}

// An interrupt must not lose the results so far: the current pass is reported, marked as interrupted,
// and no further pass starts.
func TestInterruptReportsTheCurrentPass(t *testing.T) {
	plan := testPlan()
	ctx, cancel := context.WithCancel(t.Context())
	plan.Client.OnProgress = func(int) { cancel() }
	reports, err := Compare(ctx, plan, testDeployments())
	require.NoError(t, err)
	require.Len(t, reports, 1)
	require.Equal(t, "naive, short alone", reports[0].Label)
	require.True(t, reports[0].Interrupted)
}

func TestArrivalRateIsAShareOfEngineTime(t *testing.T) {
	m := &mix.Mix{Classes: []mix.Class{{
		Share:        1,
		PromptTokens: mix.Range{Distribution: mix.LogUniform, Min: 39_900, Max: 39_900},
		AnswerTokens: mix.Range{Distribution: mix.LogUniform, Min: 100, Max: 100},
	}}}
	// Ten requests fit into an engine's memory. Each takes 39,900/40,000 s of prefill and
	// 100 × (15 ms/10 + 50 µs) of decoding.
	const seconds = 0.9975 + 0.155
	require.InEpsilon(t, 14*0.7/seconds, ArrivalRate(m, 14, EngineConfig(1), 0.7), 1e-6)
	require.InEpsilon(t, 10*14*0.7/seconds, ArrivalRate(m, 14, EngineConfig(10), 0.7), 1e-6)
	m.Plain.Share = 0.5
	require.InEpsilon(t, 2*14*0.7/seconds, ArrivalRate(m, 14, EngineConfig(1), 0.7), 1e-6)
}
