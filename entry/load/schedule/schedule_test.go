package schedule

import (
	"io"
	"testing"
	"time"

	"acaciacleat.example/core/call"
	"acaciacleat.example/entry/load/mix"
	"github.com/stretchr/testify/require"
)

func testMix() *mix.Mix {
	lengths := mix.Range{Distribution: mix.LogUniform, Min: 1_000, Max: 200_000}
	return &mix.Mix{
		Model: "assistant-1",
		Classes: []mix.Class{{
			Name: "any", Share: 1, PromptTokens: lengths, AnswerTokens: mix.Range{Distribution: mix.LogUniform, Min: 1, Max: 9},
			TimeoutMs: 20_000, CommonTokens: 100, Documents: mix.Documents{Share: 0.5, Count: 10, Zipf: 1, Part: 0.8},
		}},
		Organisations: []mix.Organisation{{Name: "large", Key: "a", Weight: 3}, {Name: "small", Key: "b", Weight: 1}},
		Plain:         mix.Plain{Share: 0.2, Calls: []mix.Call{{Service: "parts", Method: "GET", Path: "/parts", Weight: 1}}},
	}
}

func settings(seed uint64) Settings {
	return Settings{Seed: seed, Rate: 200, Duration: 100 * time.Second, MaxRequests: 1 << 20, Speed: 10}
}

func TestScheduleIsAFunctionOfTheSeed(t *testing.T) {
	first := New(testMix(), settings(7))
	require.Equal(t, first, New(testMix(), settings(7)))
	require.NotEqual(t, first[0].At, New(testMix(), settings(8))[0].At)
}

func TestScheduleFollowsTheMix(t *testing.T) {
	requests := New(testMix(), settings(7))
	require.InEpsilon(t, 200*100, len(requests), 0.03)
	plain, large, documents, short := 0.0, 0.0, map[uint64]int{}, 0.0
	squares := 0.0
	for i, r := range requests {
		require.Equal(t, i, r.Index)
		if i > 0 {
			gap := (r.At - requests[i-1].At).Seconds() * 200
			require.GreaterOrEqual(t, gap, 0.0)
			squares += gap * gap
		}
		if r.Organisation == 0 {
			large++
		}
		if r.Call != nil {
			plain++
			continue
		}
		require.Equal(t, 2*time.Second, r.Timeout)
		if r.Class() == call.Short {
			short++
		}
		if r.Text.DocumentTokens > 0 {
			documents[r.Text.DocumentSeed]++
		}
	}
	n := float64(len(requests))
	// The second moment of exponential gaps is twice the square of their mean.
	require.InEpsilon(t, 2, squares/n, 0.1)
	require.InDelta(t, 0.2, plain/n, 0.02)
	require.InDelta(t, 0.75, large/n, 0.02)
	// Short prompts have up to 8,000 of 1,000 to 200,000 tokens: ln 8 / ln 200.
	require.InDelta(t, 0.392, short/(n-plain), 0.02)
	require.Len(t, documents, 20)
	most, all := 0, 0
	for _, count := range documents {
		most, all = max(most, count), all+count
	}
	// The most popular document is that of rank 1 of the large organisation, which sends 0.75 of the
	// requests. 2.929 is the sum of 1/rank over ten documents.
	require.InDelta(t, 0.75/2.929, float64(most)/float64(all), 0.03)
}

func TestScheduleIsBounded(t *testing.T) {
	s := settings(7)
	s.MaxRequests = 5
	require.Len(t, New(testMix(), s), 5)
}

func TestFilterKeepsIndexesAndTimes(t *testing.T) {
	all := New(testMix(), settings(7))
	short := Filter(all, func(r *Request) bool { return r.Call == nil && r.Class() == call.Short })
	require.NotEmpty(t, short)
	for _, r := range short {
		require.Equal(t, all[r.Index], r)
	}
}

func TestTextsShareCommonAndDocumentPrefixes(t *testing.T) {
	read := func(text Text) string {
		data, err := io.ReadAll(text.Reader())
		require.NoError(t, err)
		require.Len(t, data, text.Bytes())
		return string(data)
	}
	a := read(Text{CommonSeed: 1, CommonTokens: 10, DocumentSeed: 2, DocumentTokens: 50, UniqueSeed: 3, Tokens: 100})
	b := read(Text{CommonSeed: 1, CommonTokens: 10, DocumentSeed: 2, DocumentTokens: 70, UniqueSeed: 4, Tokens: 1000})
	c := read(Text{CommonSeed: 1, CommonTokens: 10, DocumentSeed: 5, DocumentTokens: 50, UniqueSeed: 3, Tokens: 100})
	require.Equal(t, a[:60*BytesPerToken], b[:60*BytesPerToken])
	require.NotEqual(t, a[60*BytesPerToken:100*BytesPerToken], b[60*BytesPerToken:100*BytesPerToken])
	require.Equal(t, a[:10*BytesPerToken], c[:10*BytesPerToken])
	require.NotEqual(t, a[10*BytesPerToken:14*BytesPerToken], c[10*BytesPerToken:14*BytesPerToken])
}
