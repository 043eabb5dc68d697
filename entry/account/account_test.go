package account

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

const lines = `
  1.2 entry-1 {"message":"request ended","took_ms":900,"aim_ms":300,"prompt_tokens":5000,"tries":[{"expected_ms":90,"first_ms":120}]}
  1.3 entry-2 {"message":"request ended","took_ms":900,"aim_ms":300,"prompt_tokens":5000,"pause_ms":260,"good_pause_ms":250,"tries":[{"expected_ms":90,"first_ms":120}]}
{"message":"request ended","took_ms":900,"aim_ms":300,"prompt_tokens":5000,"tries":[{"expected_ms":90,"first_ms":420}]}
{"message":"request ended","took_ms":900,"aim_ms":300,"prompt_tokens":5000,"tries":[{"expected_ms":390,"first_ms":420}]}
{"message":"request ended","took_ms":900,"aim_ms":300,"prompt_tokens":5000,"tries":[{"left":"stream_broken"},{"expected_ms":90,"first_ms":420}]}
{"message":"request ended","took_ms":2,"aim_ms":3000,"prompt_tokens":200000,"result":"cannot_start_in_time","execution":"not-run"}
{"message":"request ended","took_ms":2900,"aim_ms":3000,"prompt_tokens":200000,"tries":[{"held_ms":600,"expected_ms":2000,"first_ms":2100}]}
{"message":"request ended","took_ms":2,"aim_ms":150,"result":"caller_gone"}
{"message":"lines of requests that were served were left out","lines":7}
{"message":"routes in force","version":3}
no JSON, and {broken
`

// Lines with a prefix before the JSON object count like others; other messages and lines without valid
// JSON are skipped.
func TestRequestsAreCountedByReason(t *testing.T) {
	a := New()
	require.NoError(t, a.Read(strings.NewReader(lines)))
	short, heavy := kind{300, true}, kind{3000, true}
	for _, reason := range []Reason{InTime, LatePause, LateUnpredicted, LatePredicted, LateAfterRetry} {
		require.Equal(t, &total{count: 1, tokens: 5000}, a.totals[short][reason], reason)
	}
	require.Equal(t, 1, a.totals[heavy]["not-run: cannot_start_in_time"].count)
	require.Equal(t, int64(600), a.totals[heavy][InTime].heldMs)
	require.Equal(t, 1, a.totals[kind{150, false}][CallerLeft].count)
	var out strings.Builder
	require.NoError(t, a.Write(&out))
	require.Regexp(t, `prompts, aim 300 ms +late: pause +1 +0.200 +5000`, out.String())
	require.Regexp(t, `left out +7`, out.String())
}
