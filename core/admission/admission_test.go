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
	request := Request{Demand: call.TokenDemand{PromptTokens: 1000}, Predicted: 5 * time.Second, Decode: time.Second, Deadline: start.Add(6 * time.Second)}
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
	require.Error(t, c.Admit(request, start), "the actual times were twice the predictions")
}

// TestOverloadKeepsGoodput sends 20 requests/s, each with a deadline of 2 s, to one server
// of 10 requests/s. Without admission control the queue grows until no request finishes
// in time.
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
	require.Greater(t, inTime(true), 980, "of the 1,000 that the server has capacity for")
	require.Less(t, inTime(false), 100)
}

// TestLimiterConvergesAndBacksOff checks that the limit settles above the number of servers
// with a bounded queue, falls on overload, and never falls below one request.
func TestLimiterConvergesAndBacksOff(t *testing.T) {
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
	require.GreaterOrEqual(t, lowest, servers, "the upstream is always fully used")
	require.LessOrEqual(t, l.Limit(), 125, "%d servers, 1.5 times the best latency, and a queue of the square root", servers)
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
	require.GreaterOrEqual(t, l.Limit(), 1, "one request is always admitted")
}
