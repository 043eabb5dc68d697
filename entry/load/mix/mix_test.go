package mix

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"acaciacleat.example/core/call"
	"github.com/stretchr/testify/require"
)

const examples = "../../../examples/mixes"

func example(t *testing.T, name string) *Mix {
	t.Helper()
	data, err := os.ReadFile(filepath.Join(examples, name))
	require.NoError(t, err)
	m, faults := Parse(data)
	require.Empty(t, faults)
	return m
}

// In the example mixes, prompts must have 1,000 to 1,000,000 tokens, one generation in 50 must have a
// prompt longer than medium, and three large organisations must have a weight above 60 together.
func TestExampleMixesMatchDeploymentPromptLengths(t *testing.T) {
	for _, name := range []string{"faixa-verde.json", "omuti.json"} {
		t.Run(name, func(t *testing.T) {
			m := example(t, name)
			all, long, lowest, highest := 0.0, 0.0, 1<<30, 0
			for _, c := range m.Classes {
				all += c.Share
				if c.PromptTokens.Min > call.MediumMax {
					long += c.Share
				}
				require.Equal(t, call.ClassOf(c.PromptTokens.Min), call.ClassOf(c.PromptTokens.Max), c.Name)
				lowest, highest = min(lowest, c.PromptTokens.Min), max(highest, c.PromptTokens.Max)
			}
			require.InDelta(t, 1.0/50, long/all, 1e-9)
			require.Equal(t, 1_000, lowest)
			require.Equal(t, 1_000_000, highest)
			require.Len(t, m.Organisations, 10)
			large := m.Organisations[0].Weight + m.Organisations[1].Weight + m.Organisations[2].Weight
			require.Greater(t, large, 60.0)
		})
	}
}

func TestShortExamplesMatchTheShortClass(t *testing.T) {
	for _, name := range []string{"faixa-verde", "omuti"} {
		whole, short := example(t, name+".json"), example(t, name+"-short.json")
		require.Equal(t, whole.Classes[:1], short.Classes)
		require.Equal(t, whole.Organisations, short.Organisations)
		require.Equal(t, whole.Plain, short.Plain)
	}
}

func TestAllFaultsAreReportedTogether(t *testing.T) {
	_, faults := Parse([]byte(`{
		"model": "assistant-1", "Load": 1, "load": 0, "durationSeconds": 5, "warmupSeconds": 5,
		"classes": [
			{"name": "a", "share": 0, "promptTokens": {"min": 10, "max": 5}, "answerTokens": {"min": 1, "max": "2"}},
			{"name": "a", "share": 1, "promptTokens": {"distribution": "normal", "min": 1, "max": 5}, "answerTokens": {"min": 1, "max": 2},
			 "commonTokens": 2, "documents": {"share": 2}}
		],
		"organisations": [{"name": "x", "key": "k", "weight": 1}, {"name": "y", "key": "k", "weight": -1}, {"name": "z", "key": "two words", "weight": 1}],
		"plain": {"share": 0.5, "calls": []}
	}`))
	var paths []string
	for _, f := range faults {
		paths = append(paths, strings.TrimPrefix(f.Path, "$."))
		require.NotEmpty(t, f.Allowed)
		require.NotEmpty(t, f.Remedy)
	}
	require.ElementsMatch(t, []string{
		"Load", "load", "warmupSeconds", "classes[0].share", "classes[0].promptTokens.min", "classes[0].answerTokens.max",
		"classes[0].answerTokens.min", "classes[1].name", "classes[1].promptTokens.distribution", "classes[1].commonTokens",
		"classes[1].documents.share", "classes[1].documents.count", "organisations[1].key", "organisations[1].weight",
		"organisations[2].key", "plain.calls",
	}, paths)
}

func TestRangeQuantiles(t *testing.T) {
	uniform := Range{Distribution: LogUniform, Min: 1_000, Max: 1_000_000}
	require.Equal(t, 1_000, uniform.Quantile(0))
	require.Equal(t, 31_623, uniform.Quantile(0.5))
	require.InEpsilon(t, 999_000/6.907755, uniform.Mean(), 0.001)
	normal := Range{Distribution: LogNormal, Min: 1_000, Max: 8_000, Median: 2_000, Sigma: 0.6}
	require.Equal(t, 2_000, normal.Quantile(0.5))
	require.Equal(t, 1_000, normal.Quantile(0))
	require.Equal(t, 8_000, normal.Quantile(0.9999))
}
