package attempt

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"acaciacleat.example/core/call"
	"acaciacleat.example/core/result"
)

// limitedRetries implements Retries: it allows a number of retries without a delay.
type limitedRetries struct{ left int }

func (r *limitedRetries) Allow(time.Time) bool {
	r.left--
	return r.left >= 0
}

func (r *limitedRetries) Delay(int) time.Duration { return 0 }

var (
	epoch  = time.Unix(1_000_000, 0)
	agentA = Replica{Agent: "a", Incarnation: 7, Stamp: 1}
	agentB = Replica{Agent: "b", Incarnation: 8, Stamp: 2}
)

func at(seconds int) time.Time { return epoch.Add(time.Duration(seconds) * time.Second) }

func newOfferedMachine(request Request) *Machine {
	request.ID = call.ID{1}
	request.Deadline = at(60)
	request.MaxRetries = 1
	request.Retries = &limitedRetries{left: 1}
	m := New(request)
	m.Start(at(0))
	m.Chosen(at(0), agentA)
	return m
}

func loseLinkThreeTimes(m *Machine) Action {
	m.LinkLost(at(1), 1)
	m.LinkLost(at(2), 1)
	return m.LinkLost(at(3), 1)
}

// fireBackoffTimer fires the timer, which ends a backoff without a delay.
func fireBackoffTimer(m *Machine, _ Action) Action { return m.Timer(at(9)) }

// TestMachineFaults tests the Machine's reactions to faults. The comments name the failure
// that a case guards against.
func TestMachineFaults(t *testing.T) {
	single := Request{}
	keyed := Request{Keyed: true}
	repeatable := Request{Repeatable: true, Continuable: true}
	cases := []struct {
		name      string
		request   Request
		steps     func(m *Machine) Action
		kind      Kind
		code      result.Code
		execution result.Execution
	}{
		{"complete answer", single, func(m *Machine) Action {
			m.Accepted(at(1), 1)
			m.Delivered(at(2), 1, 1)
			return m.Ended(at(3), 1, Outcome{Code: result.OK, Execution: result.Ran})
		}, Answer, 0, ""},
		// A connection that goes silent after the offer must not block the call until its
		// deadline while the agent is alive: the wait has a timer.
		{"offer unanswered", single, func(m *Machine) Action {
			return m.Timer(m.NextTimer())
		}, Offer, 0, ""},
		// Three consecutive silent links are not a refusal. If the call were offered to
		// another agent, the first offer could still arrive and the call would run twice.
		// The agent must confirm a cancellation first.
		{"link fails three times", single, loseLinkThreeTimes, CancelAndConfirm, 0, ""},
		{"link fails three times, agent confirms not run", single, func(m *Machine) Action {
			loseLinkThreeTimes(m)
			return fireBackoffTimer(m, m.CancelAnswered(at(4), 1, result.NotRun))
		}, Choose, 0, ""},
		{"link fails three times, agent reports that it runs", single, func(m *Machine) Action {
			loseLinkThreeTimes(m)
			return m.CancelAnswered(at(4), 1, result.Ran)
		}, ResumeOnNewLink, 0, ""},
		{"link fails three times, agent has restarted", single, func(m *Machine) Action {
			loseLinkThreeTimes(m)
			return m.CancelAnswered(at(4), 1, result.Unknown)
		}, Fail, result.LinkSilent, result.Unknown},
		{"link fails three times, repeatable", repeatable, func(m *Machine) Action {
			return fireBackoffTimer(m, loseLinkThreeTimes(m))
		}, Choose, 0, ""},
		// After the agent is lost in mid-stream, the next attempt must continue after the
		// delivered frames and not repeat the answer from its start.
		{"agent lost in mid-stream", repeatable, func(m *Machine) Action {
			m.Delivered(at(1), 1, 1)
			return fireBackoffTimer(m, m.AgentLost(at(2), 7))
		}, ContinueElsewhere, 0, ""},
		// A frame that the old link delivers during the backoff must count as delivered,
		// or the next attempt would repeat it.
		{"frame after the agent was given up", repeatable, func(m *Machine) Action {
			m.AgentLost(at(2), 7)
			m.Delivered(at(2), 1, 1)
			return m.Timer(at(9))
		}, ContinueElsewhere, 0, ""},
		{"mid-stream and not continuable", Request{Repeatable: true}, func(m *Machine) Action {
			m.Delivered(at(1), 1, 1)
			return m.AgentLost(at(2), 7)
		}, Fail, result.StreamBroken, result.Ran},
		// The agent restarts after it accepted the offer. A refusal by the new incarnation
		// proves nothing about the old one, so the execution must not be NotRun.
		{"agent restarted", single, func(m *Machine) Action {
			return m.Refused(at(1), 1, Outcome{Code: result.WrongIncarnation, Execution: result.NotRun})
		}, Fail, result.AgentLost, result.Unknown},
		{"agent restarted under a key", keyed, func(m *Machine) Action {
			return m.AgentLost(at(1), 7)
		}, Fail, result.FirstRunLost, result.Unknown},
		// A keyed call is repeated after the agent has evicted the run, while the row still
		// names the agent and the old stamp. StaleOffer would tell the caller to try again,
		// which cannot succeed until the row expires after a day.
		{"stale under a key, not proved", keyed, func(m *Machine) Action {
			return m.Refused(at(1), 1, Outcome{Code: result.StaleOffer, Execution: result.Unknown})
		}, Fail, result.FirstRunLost, result.Unknown},
		{"stale under a key, proved", keyed, func(m *Machine) Action {
			return m.Refused(at(1), 1, Outcome{Code: result.StaleOffer, Execution: result.NotRun, Better: "b"})
		}, Choose, 0, ""},
		{"refused, other replica recommended", single, func(m *Machine) Action {
			return m.Refused(at(1), 1, Outcome{Code: result.QueueFull, Execution: result.NotRun, Better: "b"})
		}, Choose, 0, ""},
		{"refused twice", single, func(m *Machine) Action {
			m.Refused(at(1), 1, Outcome{Code: result.QueueFull, Execution: result.NotRun, Better: "b"})
			m.Chosen(at(1), agentB)
			return m.Refused(at(2), 2, Outcome{Code: result.MemoryFull, Execution: result.NotRun})
		}, Fail, result.MemoryFull, result.NotRun},
		{"refused without proof", single, func(m *Machine) Action {
			return m.Refused(at(1), 1, Outcome{Code: result.StaleOffer, Execution: result.Unknown, Better: "b"})
		}, Fail, result.StaleOffer, result.Unknown},
		{"budget spent", single, func(m *Machine) Action {
			m.request.Retries = &limitedRetries{}
			return m.Refused(at(1), 1, Outcome{Code: result.QueueFull, Execution: result.NotRun, Better: "b"})
		}, Fail, result.RetryBudgetSpent, result.NotRun},
		{"caller's own fault is not retried", repeatable, func(m *Machine) Action {
			return m.Ended(at(1), 1, Outcome{Code: result.UpstreamRejected, Execution: result.Ran})
		}, Fail, result.UpstreamRejected, result.Ran},
		// A delayed end message of an old attempt must not end the current one.
		{"end of an old attempt", repeatable, func(m *Machine) Action {
			m.Refused(at(1), 1, Outcome{Code: result.QueueFull, Execution: result.NotRun, Better: "b"})
			m.Chosen(at(1), agentB)
			return m.Ended(at(2), 1, Outcome{Code: result.OK, Execution: result.Ran})
		}, None, 0, ""},
		// A request whose messages are all lost must still end at its deadline.
		{"deadline", single, func(m *Machine) Action {
			return m.Timer(at(60))
		}, Fail, result.DeadlinePassed, result.Unknown},
		{"paused past the deadline, then the answer", single, func(m *Machine) Action {
			return m.Ended(at(61), 1, Outcome{Code: result.OK, Execution: result.Ran})
		}, Fail, result.DeadlinePassed, result.Ran},
		{"caller gone", single, func(m *Machine) Action {
			return m.CallerGone(at(1))
		}, Fail, result.CallerGone, result.Unknown},
		{"context ended, caller gone", single, func(m *Machine) Action {
			return m.Cancelled(at(1), context.Canceled)
		}, Fail, result.CallerGone, result.Unknown},
		{"process stops", single, func(m *Machine) Action {
			return m.Cancelled(at(1), ErrStopping)
		}, Fail, result.Draining, result.Unknown},
		{"process stops before another attempt", repeatable, func(m *Machine) Action {
			m.Refused(at(1), 1, Outcome{Code: result.QueueFull, Execution: result.NotRun, Better: "b"})
			return m.Cancelled(at(2), ErrStopping)
		}, Fail, result.Draining, result.NotRun},
		{"process stops after the final answer", single, func(m *Machine) Action {
			m.CallerGone(at(1))
			return m.Cancelled(at(2), ErrStopping)
		}, None, 0, ""},
		{"events after the final answer", single, func(m *Machine) Action {
			m.CallerGone(at(1))
			return m.Timer(at(60))
		}, None, 0, ""},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			a := c.steps(newOfferedMachine(c.request))
			require.Equal(t, c.kind, a.Kind, "%+v", a)
			if c.kind == Fail {
				require.Equal(t, c.code, a.Err.Code)
				require.Equal(t, c.execution, a.Err.Execution)
			}
		})
	}
}

// TestCallerGoneWhileClaiming has the caller disconnect after the claim has started to
// write its row and before the offer. Another entry may find the row and run the call, so
// the execution must be Unknown and not NotRun.
func TestCallerGoneWhileClaiming(t *testing.T) {
	m := New(Request{Deadline: at(60), Keyed: true})
	m.Start(at(0))
	require.Equal(t, result.NotRun, m.Execution())
	m.Claiming(at(1))
	require.Equal(t, result.Unknown, m.CallerGone(at(2)).Err.Execution)
}

// TestRelease checks that an agent is told to release a call that it may still run when
// the deadline passes or the call moves to another agent; it would otherwise hold memory
// for a request without a caller. The run of a keyed call must continue, because other
// tries may wait for it.
func TestRelease(t *testing.T) {
	require.True(t, newOfferedMachine(Request{}).Timer(at(60)).Release)
	require.False(t, newOfferedMachine(Request{Keyed: true}).Timer(at(60)).Release)
	m := newOfferedMachine(Request{Repeatable: true, Continuable: true})
	moved := loseLinkThreeTimes(m)
	require.True(t, moved.Release)
	require.Equal(t, agentA.Agent, moved.Replica.Agent)
	require.Equal(t, []string{"a"}, m.Excluded())
}

// TestAgentDetailAndRetryAfterReachCaller checks that the detail and the RetryAfter of a
// refusal reach the caller when the call fails immediately, for lack of another replica,
// or for lack of retries. The remedies of the codes refer to both.
func TestAgentDetailAndRetryAfterReachCaller(t *testing.T) {
	refusal := Outcome{Code: result.QueueFull, Execution: result.NotRun, Detail: "7 calls", RetryAfter: 5 * time.Second}
	m := newOfferedMachine(Request{})
	m.Refused(at(1), 1, refusal)
	m.Timer(at(2))
	m.Chosen(at(2), agentB)
	failed := m.Refused(at(3), 2, refusal).Err
	require.Equal(t, refusal.Detail, failed.Detail)
	require.Equal(t, refusal.RetryAfter, failed.RetryAfter)

	m = newOfferedMachine(Request{})
	m.Refused(at(1), 1, refusal)
	m.Timer(at(2))
	failed = m.NoReplica(at(2), result.New(result.NoReplica, result.NotRun, "service s")).Err
	require.Equal(t, "service s", failed.Detail)
	require.Equal(t, refusal.RetryAfter, failed.RetryAfter)

	m = newOfferedMachine(Request{})
	m.request.Retries = &limitedRetries{}
	failed = m.Refused(at(1), 1, refusal).Err
	require.Equal(t, "queue_full: 7 calls", failed.Detail)
	require.Equal(t, refusal.RetryAfter, failed.RetryAfter)

	rejected := Outcome{Code: result.UpstreamRejected, Execution: result.NotRun, Detail: "temperature"}
	require.Equal(t, rejected.Detail, newOfferedMachine(Request{}).Ended(at(1), 1, rejected).Err.Detail)
}

// TestAdmissionRetryAfterReachesCaller checks that the RetryAfter of an admission refusal
// is kept in the final failure.
func TestAdmissionRetryAfterReachesCaller(t *testing.T) {
	m := New(Request{Deadline: at(60), Retries: &limitedRetries{}})
	m.Start(at(0))
	refused := &result.Error{Code: result.CannotStartInTime, Execution: result.NotRun, RetryAfter: 9 * time.Second}
	require.Equal(t, refused.RetryAfter, m.NoReplica(at(0), refused).Err.RetryAfter)
}
