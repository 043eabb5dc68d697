package prefix

import (
	"testing"
	"time"

	_ "acaciacleat.example/core/seeded"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

var start = time.Unix(1_700_000_000, 0)

func TestMillionTokenPromptHasBoundedDigests(t *testing.T) {
	prompt := make([]byte, 4_000_000)
	digests := Digests("model", prompt, nil)
	require.Len(t, digests, Depth(len(prompt)))
	require.LessOrEqual(t, len(digests), MaxDigests)
	require.Greater(t, Boundary(MaxDigests), 7_500_000)
	require.Empty(t, Digests("model", prompt[:BlockBytes-1], nil))
	require.NotEqual(t, digests[0], Digests("other", prompt, nil)[0])
}

func TestDigestsAgreeExactlyOnSharedBoundaries(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		shared := rapid.IntRange(0, 60_000).Draw(t, "shared")
		a := make([]byte, shared+rapid.IntRange(1, 40_000).Draw(t, "a"))
		b := make([]byte, shared+rapid.IntRange(1, 40_000).Draw(t, "b"))
		a[shared], b[shared] = 1, 2
		x, y := Digests("m", a, nil), Digests("m", b, nil)
		for i := range min(len(x), len(y)) {
			require.Equal(t, i < Depth(shared), x[i] == y[i])
		}
	})
}

// Event 7 arrives, event 8 (an eviction) is lost, event 9 arrives. Without a check of the
// sequence, the loss would go unnoticed and prompts would keep going to a replica that no
// longer caches their prefix.
func TestGapInEventsInvalidatesTheReplica(t *testing.T) {
	e := NewEstimator(64, time.Minute)
	a, b := e.Register("a", 1, start), e.Register("b", 1, start)
	later := start.Add(time.Second)
	e.RecordPrompt(a, []uint64{10, 11, 12}, later)
	e.RecordPrompt(b, []uint64{10, 11}, later)
	require.Equal(t, []Match{{a, 3}, {b, 2}}, e.Match([]uint64{10, 11, 12}, later, nil))

	require.False(t, e.ApplyEvent(a, Event{Sequence: 7, Digest: 12, Evicted: true}, later))
	require.Equal(t, []Match{{a, 2}, {b, 2}}, e.Match([]uint64{10, 11, 12}, later, nil))
	require.False(t, e.ApplyEvent(a, Event{Sequence: 6, Digest: 10, Evicted: true}, later), "late duplicate")
	require.True(t, e.ApplyEvent(a, Event{Sequence: 9, Digest: 99}, later))
	require.Equal(t, []Match{{b, 2}}, e.Match([]uint64{10, 11, 12}, later, nil))

	e.RecordPrompt(a, []uint64{10}, later.Add(time.Second))
	require.Len(t, e.Match([]uint64{10, 11}, later.Add(time.Second), nil), 2)
	require.Empty(t, e.Match([]uint64{10, 11}, later.Add(2*time.Minute), nil), "aged out")
}

func TestNewIncarnationHoldsNothingAndMemoryIsBounded(t *testing.T) {
	e := NewEstimator(64, time.Minute)
	a := e.Register("a", 1, start)
	now := start.Add(time.Second)
	for i := range uint64(10_000) {
		e.RecordPrompt(a, []uint64{i + 1}, now)
	}
	require.Len(t, e.slots, 64)
	require.NotEmpty(t, e.Match([]uint64{10_000}, now, nil))
	require.Equal(t, a, e.Register("a", 2, now))
	require.Empty(t, e.Match([]uint64{10_000}, now, nil))
	e.RecordPrompt(a, []uint64{5}, now.Add(time.Second))
	e.Unregister("a")
	b := e.Register("b", 1, now.Add(2*time.Second))
	require.Equal(t, a, b, "the number is reused")
	require.Empty(t, e.Match([]uint64{5}, now.Add(2*time.Second), nil))
}

func BenchmarkDigestsMillionTokens(b *testing.B) {
	prompt := make([]byte, 4_000_000)
	dst := make([]uint64, 0, MaxDigests)
	b.SetBytes(int64(len(prompt)))
	b.ReportAllocs()
	for b.Loop() {
		dst = Digests("m", prompt, dst[:0])
	}
}
