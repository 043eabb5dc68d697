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

// Guards against answers without Retry-After or detail: the entry must take both from the
// agent's final refusal.
func TestAgentRefusalKeepsDetailAndRetryAfter(t *testing.T) {
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
