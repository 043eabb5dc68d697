package attempt

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"acaciacleat.example/core/call"
	"acaciacleat.example/core/result"
)

// retries allows a number of retries and never waits.
type retries struct{ left int }

func (r *retries) Allow(time.Time) bool {
	r.left--
	return r.left >= 0
}

func (r *retries) Delay(int) time.Duration { return 0 }

var (
	epoch  = time.Unix(1_000_000, 0)
	agentA = Replica{Agent: "a", Incarnation: 7, Stamp: 1}
	agentB = Replica{Agent: "b", Incarnation: 8, Stamp: 2}
)

func at(seconds int) time.Time { return epoch.Add(time.Duration(seconds) * time.Second) }

func offeredTo(request Request) *Machine {
	request.ID = call.ID{1}
	request.Deadline = at(60)
	request.MaxRetries = 1
	request.Retries = &retries{left: 1}
	m := New(request)
	m.Start(at(0))
	m.Chosen(at(0), agentA)
	return m
}

func silence(m *Machine) Action {
	m.LinkLost(at(1), 1)
	m.LinkLost(at(2), 1)
	return m.LinkLost(at(3), 1)
}

// then fires the timer, which ends a backoff of no length.
func then(m *Machine, _ Action) Action { return m.Timer(at(9)) }

// Each case: a symptom, the sequence that leads to it, and the cause that the Machine closes.
func TestMachineFaults(t *testing.T) {
	once := Request{}
	keyed := Request{Keyed: true}
	again := Request{Repeatable: true, Continuable: true}
	cases := []struct {
		name    string
		request Request
		steps   func(m *Machine) Action
		kind    Kind
		code    result.Code
		says    result.Execution
	}{
		{"whole answer", once, func(m *Machine) Action {
			m.Accepted(at(1), 1)
			m.Delivered(at(2), 1, 1)
			return m.Ended(at(3), 1, Word{Code: result.OK, Execution: result.Ran})
		}, Answer, 0, ""},
		// Symptom: a call waits for its deadline though its agent is well. Sequence: the
		// connection goes silent under the offer. Cause: nothing bounds the wait.
		{"offer unanswered", once, func(m *Machine) Action {
			return m.Timer(m.Wake())
		}, Offer, 0, ""},
		// Symptom: a job is posted twice. Sequence: three links in a row go silent, the
		// call is offered elsewhere, the first offer arrives. Cause: silence taken for a
		// refusal. The agent must confirm the cancellation first.
		{"agent stays silent", once, silence, CancelAndConfirm, 0, ""},
		{"then confirms that it did not run", once, func(m *Machine) Action {
			silence(m)
			return then(m, m.CancelAnswered(at(4), 1, result.NotRun))
		}, Choose, 0, ""},
		{"then says that it runs", once, func(m *Machine) Action {
			silence(m)
			return m.CancelAnswered(at(4), 1, result.Ran)
		}, ResumeOnNewLink, 0, ""},
		{"then has restarted", once, func(m *Machine) Action {
			silence(m)
			return m.CancelAnswered(at(4), 1, result.Unknown)
		}, Fail, result.LinkSilent, result.Unknown},
		{"repeatable and silent", again, func(m *Machine) Action {
			return then(m, silence(m))
		}, Choose, 0, ""},
		// Symptom: an answer starts again from its first word. Sequence: the agent dies
		// in mid-stream. Cause: what was delivered was not counted.
		{"agent dies in mid-stream", again, func(m *Machine) Action {
			m.Delivered(at(1), 1, 1)
			return then(m, m.AgentGone(at(2), 7))
		}, ContinueElsewhere, 0, ""},
		// Symptom: a word is repeated. Sequence: as above, and the old link still hands
		// out a frame while the machine backs off. Cause: that frame was not counted.
		{"frame after the agent was given up", again, func(m *Machine) Action {
			m.AgentGone(at(2), 7)
			m.Delivered(at(2), 1, 1)
			return m.Timer(at(9))
		}, ContinueElsewhere, 0, ""},
		{"mid-stream and not continuable", Request{Repeatable: true}, func(m *Machine) Action {
			m.Delivered(at(1), 1, 1)
			return m.AgentGone(at(2), 7)
		}, Fail, result.StreamBroken, result.Ran},
		// Symptom: not-run is said of a call that ran. Sequence: the agent restarts
		// after it took the offer. Cause: the new incarnation's word taken for the old one's.
		{"agent restarted", once, func(m *Machine) Action {
			return m.Refused(at(1), 1, Word{Code: result.WrongIncarnation, Execution: result.NotRun})
		}, Fail, result.AgentLost, result.Unknown},
		{"agent restarted under a key", keyed, func(m *Machine) Action {
			return m.AgentGone(at(1), 7)
		}, Fail, result.FirstRunLost, result.Unknown},
		// Symptom: a caller who repeats a call with its key is told to try again, for a day.
		// Sequence: the repeat comes after the agent has forgotten the run; the row still
		// names the agent and the old stamp. Cause: the refusal taken for one of a young offer.
		{"forgotten under a key", keyed, func(m *Machine) Action {
			return m.Refused(at(1), 1, Word{Code: result.StaleOffer, Execution: result.Unknown})
		}, Fail, result.FirstRunLost, result.Unknown},
		{"stale under a key, proved", keyed, func(m *Machine) Action {
			return m.Refused(at(1), 1, Word{Code: result.StaleOffer, Execution: result.NotRun, Better: "b"})
		}, Choose, 0, ""},
		{"refused, better known", once, func(m *Machine) Action {
			return m.Refused(at(1), 1, Word{Code: result.QueueFull, Execution: result.NotRun, Better: "b"})
		}, Choose, 0, ""},
		{"refused twice", once, func(m *Machine) Action {
			m.Refused(at(1), 1, Word{Code: result.QueueFull, Execution: result.NotRun, Better: "b"})
			m.Chosen(at(1), agentB)
			return m.Refused(at(2), 2, Word{Code: result.MemoryFull, Execution: result.NotRun})
		}, Fail, result.MemoryFull, result.NotRun},
		{"refused without proof", once, func(m *Machine) Action {
			return m.Refused(at(1), 1, Word{Code: result.StaleOffer, Execution: result.Unknown, Better: "b"})
		}, Fail, result.StaleOffer, result.Unknown},
		{"budget spent", once, func(m *Machine) Action {
			m.request.Retries = &retries{}
			return m.Refused(at(1), 1, Word{Code: result.QueueFull, Execution: result.NotRun, Better: "b"})
		}, Fail, result.RetryBudgetSpent, result.NotRun},
		{"caller's own fault is not retried", again, func(m *Machine) Action {
			return m.Ended(at(1), 1, Word{Code: result.UpstreamRejected, Execution: result.Ran})
		}, Fail, result.UpstreamRejected, result.Ran},
		// Symptom: an old attempt's end finishes the new one. Sequence: its message is
		// delayed. Cause: events are not tied to their attempt.
		{"end of an old attempt", again, func(m *Machine) Action {
			m.Refused(at(1), 1, Word{Code: result.QueueFull, Execution: result.NotRun, Better: "b"})
			m.Chosen(at(1), agentB)
			return m.Ended(at(2), 1, Word{Code: result.OK, Execution: result.Ran})
		}, None, 0, ""},
		// Symptom: a caller waits for ever. Sequence: every message is lost. Cause: no
		// timer of the request's own.
		{"deadline", once, func(m *Machine) Action {
			return m.Timer(at(60))
		}, Fail, result.DeadlinePassed, result.Unknown},
		{"paused past the deadline, then the answer", once, func(m *Machine) Action {
			return m.Ended(at(61), 1, Word{Code: result.OK, Execution: result.Ran})
		}, Fail, result.DeadlinePassed, result.Ran},
		{"caller gone", once, func(m *Machine) Action {
			return m.CallerGone(at(1))
		}, Fail, result.CallerGone, result.Unknown},
		{"events after the final answer", once, func(m *Machine) Action {
			m.CallerGone(at(1))
			return m.Timer(at(60))
		}, None, 0, ""},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			a := c.steps(offeredTo(c.request))
			require.Equal(t, c.kind, a.Kind, "%+v", a)
			if c.kind == Fail {
				require.Equal(t, c.code, a.Err.Code)
				require.Equal(t, c.says, a.Err.Execution)
			}
		})
	}
}

// Symptom: not-run is said of a keyed call that another entry then runs.
// Sequence: the claim writes its row, and the caller goes away before the offer.
// Cause: the call was not offered by this entry, which is no proof.
func TestCallerGoneWhileClaiming(t *testing.T) {
	m := New(Request{Deadline: at(60), Keyed: true})
	m.Start(at(0))
	require.Equal(t, result.NotRun, m.Execution())
	m.Claiming(at(1))
	require.Equal(t, result.Unknown, m.CallerGone(at(2)).Err.Execution)
}

// Symptom: an agent holds memory for a request that nobody waits for.
// Sequence: the deadline passes, or the call goes elsewhere, while the agent may run it.
// Cause: the agent is not told. A keyed call's run must go on: other tries may wait.
func TestRelease(t *testing.T) {
	require.True(t, offeredTo(Request{}).Timer(at(60)).Release)
	require.False(t, offeredTo(Request{Keyed: true}).Timer(at(60)).Release)
	m := offeredTo(Request{Repeatable: true, Continuable: true})
	moved := silence(m)
	require.True(t, moved.Release)
	require.Equal(t, agentA.Agent, moved.Replica.Agent)
	require.Equal(t, []string{"a"}, m.Excluded())
}

// Symptom: a caller is told to try again after Retry-After, or to correct what the
// message names, and finds neither.
// Sequence: an agent refuses, or its upstream does, with advice and a detail; the call
// fails at once, for lack of another replica, or for lack of retries.
// Cause: the code is passed on alone.
func TestAgentsWordReachesTheCaller(t *testing.T) {
	refusal := Word{Code: result.QueueFull, Execution: result.NotRun, Detail: "7 calls", RetryAfter: 5 * time.Second}
	m := offeredTo(Request{})
	m.Refused(at(1), 1, refusal)
	m.Timer(at(2))
	m.Chosen(at(2), agentB)
	failed := m.Refused(at(3), 2, refusal).Err
	require.Equal(t, refusal.Detail, failed.Detail)
	require.Equal(t, refusal.RetryAfter, failed.RetryAfter)

	m = offeredTo(Request{})
	m.Refused(at(1), 1, refusal)
	m.Timer(at(2))
	failed = m.NoReplica(at(2), result.New(result.NoReplica, result.NotRun, "service s")).Err
	require.Equal(t, "service s", failed.Detail)
	require.Equal(t, refusal.RetryAfter, failed.RetryAfter)

	m = offeredTo(Request{})
	m.request.Retries = &retries{}
	failed = m.Refused(at(1), 1, refusal).Err
	require.Equal(t, "queue_full: 7 calls", failed.Detail)
	require.Equal(t, refusal.RetryAfter, failed.RetryAfter)

	rejected := Word{Code: result.UpstreamRejected, Execution: result.NotRun, Detail: "temperature"}
	require.Equal(t, rejected.Detail, offeredTo(Request{}).Ended(at(1), 1, rejected).Err.Detail)
}

// Symptom: an admission's own estimate of when to try again is lost.
// Sequence: the first choice predicts a start that is too late, and admission refuses.
// Cause: the failure is passed on without its time.
func TestAdmissionsAdviceReachesTheCaller(t *testing.T) {
	m := New(Request{Deadline: at(60), Retries: &retries{}})
	m.Start(at(0))
	refused := &result.Error{Code: result.CannotStartInTime, Execution: result.NotRun, RetryAfter: 9 * time.Second}
	require.Equal(t, refused.RetryAfter, m.NoReplica(at(0), refused).Err.RetryAfter)
}
