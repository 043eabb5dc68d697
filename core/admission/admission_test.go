package admission

import (
	"testing"
	"time"

	"acaciacleat.example/core/call"
	"acaciacleat.example/core/result"
	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"
)

var start = time.Unix(1_700_000_000, 0)

func TestRefusesAtOnceWhatCannotStartInTime(t *testing.T) {
	c := NewController()
	request := Request{Work: call.Work{PromptTokens: 1000}, Predicted: 5 * time.Second, Decode: time.Second, Deadline: start.Add(6 * time.Second)}
	require.NoError(t, c.Admit(request, start))
	var refused *result.Error
	require.True(t, errors.As(c.Admit(request, start.Add(3*time.Second)), &refused))
	require.Equal(t, result.CannotStartInTime, refused.Code)
	require.Equal(t, result.NotRun, refused.Execution)
	require.Equal(t, 3*time.Second, refused.RetryAfter)
	require.True(t, errors.As(c.Admit(request, start.Add(time.Minute)), &refused))
	require.Equal(t, result.DeadlinePassed, refused.Code)

	for range 500 {
		c.Observe(call.Short, time.Second, 2*time.Second)
		c.Observe(call.Long, time.Second, time.Hour)
	}
	require.InEpsilon(t, 2, c.Bias(call.Short), 0.01)
	require.LessOrEqual(t, c.Bias(call.Long), float64(maxBias))
	require.Error(t, c.Admit(request, start), "predictions were half of what happened")
}

// Symptom: with arrivals above capacity no request finishes in time.
// Sequence: one server of 10 requests/s gets 20 requests/s, each with 2 s.
// Cause: without admission the queue grows until each request waits longer than it has.
func TestOverloadKeepsGoodput(t *testing.T) {
	inTime := func(admit bool) int {
		c := NewController()
		now, free := start, start
		good := 0
		for range 2000 {
			now = now.Add(50 * time.Millisecond)
			deadline := now.Add(2 * time.Second)
			begin := now
			if free.After(now) {
				begin = free
			}
			predicted := begin.Sub(now) + 100*time.Millisecond
			if admit && c.Admit(Request{Predicted: predicted, Deadline: deadline}, now) != nil {
				continue
			}
			free = begin.Add(100 * time.Millisecond)
			if !free.After(deadline) {
				good++
			}
		}
		return good
	}
	require.Greater(t, inTime(true), 980, "of 1,000 that the server could do")
	require.Less(t, inTime(false), 100)
}

func TestLimiterFindsTheKneeAndBacksOff(t *testing.T) {
	const servers = 50
	l := NewLimiter()
	lowest := maxLimit
	for step := range 1000 {
		admitted := 0
		for l.Acquire() {
			admitted++
		}
		latency := 10 * time.Millisecond
		if admitted > servers {
			latency = latency * time.Duration(admitted) / servers
		}
		for range admitted {
			l.Release(latency, false)
		}
		if step > 200 {
			lowest = min(lowest, l.Limit())
		}
	}
	require.GreaterOrEqual(t, lowest, servers, "the upstream is never starved")
	require.LessOrEqual(t, l.Limit(), 125, "%d, half more tolerated, and a queue of the root", servers)
	before := l.Limit()
	for range max(window, l.Limit()) {
		require.True(t, l.Acquire())
		l.Release(0, true)
	}
	require.Less(t, l.Limit(), before)
	for range 10_000 {
		if l.Acquire() {
			l.Release(time.Hour, true)
		}
	}
	require.GreaterOrEqual(t, l.Limit(), 1, "one always passes")
}
