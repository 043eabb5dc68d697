package flight

import (
	"testing"
	"time"

	"acaciacleat.example/core/attempt"
	"acaciacleat.example/core/call"
	"acaciacleat.example/core/result"
	"acaciacleat.example/peers/link"
	"github.com/stretchr/testify/require"
)

// Symptom: a caller is told to try again after Retry-After and gets no such header.
// Sequence: the agent refuses for good with a time and a detail.
// Cause: the entry does not read them from the message.
func TestAgentsRefusalReachesTheCallerWhole(t *testing.T) {
	now := time.Now()
	f := New(NewRegistry(nil), Spec{ID: call.ID{1}, Deadline: now.Add(time.Hour)}, nil)
	f.machine.Start(now)
	offer := f.machine.Chosen(now, attempt.Replica{Agent: "a", Incarnation: 1})
	refusal := &link.Refused{
		Attempt:      offer.Attempt,
		Code:         result.QueueFull,
		Execution:    result.NotRun,
		Detail:       "7 calls",
		RetryAfterMs: 2500,
	}
	failed := f.onEvent(t.Context(), event{message: refusal, conn: new(link.Conn)})
	require.Equal(t, attempt.Fail, failed.Kind)
	require.Equal(t, refusal.Detail, failed.Err.Detail)
	require.Equal(t, 2500*time.Millisecond, failed.Err.RetryAfter)
}
