package attempt

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"acaciacleat.example/core/call"
	"acaciacleat.example/core/result"
	_ "acaciacleat.example/core/seeded"
	"pgregory.net/rapid"
)

// directCaller models an entry that calls upstreams itself, without an agent. It drives a
// Machine with random outcomes of its sends and counts the actual runs.
type directCaller struct {
	machine    *Machine
	now        time.Time
	repeatable bool
	maxRetries int
	allowed    int
	allowCalls int

	// sends counts the attempts, unsent those among them that had no connection.
	sends  int
	unsent int
	// agent is the upstream of the current attempt, agents are those that the request has reached.
	agent  string
	agents map[string]bool
	runs   int
	// delivered counts the events that the caller received; headSent says that it received
	// the head of an answer.
	delivered uint64
	headSent  bool
}

// Allow implements Retries.
func (d *directCaller) Allow(time.Time) bool {
	d.allowCalls++
	if d.allowed == 0 {
		return false
	}
	d.allowed--
	return true
}

// Delay implements Retries.
func (*directCaller) Delay(int) time.Duration { return 0 }

// sendOutcome is the outcome of one send.
type sendOutcome string

const (
	notSent          sendOutcome = "no connection"
	shed             sendOutcome = "refused with proof"
	otherIncarnation sendOutcome = "address taken by another incarnation"
	ranNoAnswer      sendOutcome = "ran, no answer"
	notRunNoAnswer   sendOutcome = "sent, not run, no answer"
	wrongAnswer      sendOutcome = "ran, answer of another request"
	failed           sendOutcome = "ran, failed"
	answered         sendOutcome = "ran, answered"
	streamBroken     sendOutcome = "ran, broke off after events"
	refusedForOther  sendOutcome = "refused because of another upstream, with proof"
	callerLeft       sendOutcome = "caller left"
	deadlinePassed   sendOutcome = "deadline passed"
)

var sendOutcomes = []sendOutcome{notSent, shed, otherIncarnation, ranNoAnswer, notRunNoAnswer, wrongAnswer, failed, answered, streamBroken, refusedForOther, callerLeft, deadlinePassed}

// send reports the events of one send with outcome f to the Machine.
func (d *directCaller) send(attempt uint32, f sendOutcome) Action {
	m, now, n := d.machine, d.now, call.Attempt(attempt)
	m.Accepted(now, n)
	if f != notSent {
		d.agents[d.agent] = true
	}
	switch f {
	case notSent:
		d.unsent++
		return m.Refused(now, n, Outcome{Code: result.UpstreamFailed, Execution: result.NotRun, Unsent: true})
	case shed:
		return m.Refused(now, n, Outcome{Code: result.QueueFull, Execution: result.NotRun})
	case otherIncarnation:
		return m.Refused(now, n, Outcome{Code: result.Draining, Execution: result.NotRun})
	case refusedForOther:
		return m.Refused(now, n, Outcome{Code: result.GroupUnavailable, Execution: result.NotRun, RetrySameAgent: true})
	case notRunNoAnswer:
		return m.Refused(now, n, Outcome{Code: result.UpstreamFailed, Execution: result.Unknown})
	case callerLeft:
		return m.CallerGone(now)
	case deadlinePassed:
		d.now = d.now.Add(time.Hour)
		return m.Timer(d.now)
	}
	d.runs++
	switch f {
	case ranNoAnswer, wrongAnswer:
		return m.Refused(now, n, Outcome{Code: result.UpstreamFailed, Execution: result.Unknown})
	case failed:
		return m.Refused(now, n, Outcome{Code: result.UpstreamFailed, Execution: result.Ran})
	case streamBroken:
		d.headSent = true
		d.delivered += 2
		m.Delivered(now, n, 1)
		m.Delivered(now, n, 2)
		return m.Refused(now, n, Outcome{Code: result.StreamBroken, Execution: result.Ran})
	default:
		m.Head(now, n)
		return m.Ended(now, n, Outcome{Code: result.OK, Execution: result.Ran})
	}
}

// TestDirectKeepsThePromises checks the invariants of requests that an entry sends without
// an agent: a request that may not be repeated runs at most once, NotRun is reported only
// for requests that did not run, the limits on upstreams and on the retry budget hold, and
// there is exactly one final answer.
func TestDirectKeepsThePromises(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := &directCaller{
			agents:     make(map[string]bool),
			now:        time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC),
			repeatable: rapid.Bool().Draw(t, "repeatable"),
			maxRetries: rapid.IntRange(0, 3).Draw(t, "max retries"),
			allowed:    rapid.IntRange(0, 3).Draw(t, "budget"),
		}
		budget := d.allowed
		d.machine = New(Request{
			Deadline:         d.now.Add(time.Minute),
			Repeatable:       d.repeatable,
			Continuable:      d.repeatable,
			MaxRetries:       d.maxRetries,
			ChargeEveryRetry: true,
			Retries:          d,
		})
		final := d.drive(t)
		d.check(t, final, budget)
	})
}

// drive runs the machine until its final action.
func (d *directCaller) drive(t *rapid.T) Action {
	action := d.machine.Start(d.now)
	for steps := 0; ; steps++ {
		if steps > 100 {
			t.Fatal("no final answer")
		}
		switch action.Kind {
		case Choose, ContinueElsewhere:
			d.sends++
			agent := d.machine.PinnedAgent()
			if agent == "" {
				agent = rapid.SampledFrom(d.eligibleAgents()).Draw(t, "agent")
			}
			d.agent = agent
			action = d.machine.Chosen(d.now, Replica{Agent: agent})
		case Offer:
			f := rapid.SampledFrom(sendOutcomes).Draw(t, "send outcome")
			action = d.send(uint32(d.sends), f)
		case Answer, Fail:
			return action
		default:
			if !d.machine.NextTimer().After(d.now) {
				action = d.machine.Timer(d.now)
				continue
			}
			t.Fatalf("waits for %s although no event is pending", d.machine.NextTimer())
		}
	}
}

// eligibleAgents returns the upstreams to which the request may be sent. There are few, so
// that one may be chosen again.
func (d *directCaller) eligibleAgents() []string {
	var eligible []string
	for i := range 12 {
		if agent := fmt.Sprint("u", i); !slices.Contains(d.machine.Excluded(), agent) {
			eligible = append(eligible, agent)
		}
	}
	return eligible
}

func (d *directCaller) check(t *rapid.T, final Action, budget int) {
	if !d.repeatable && d.runs > 1 {
		t.Fatalf("ran %d times", d.runs)
	}
	if final.Kind == Fail && final.Err.Execution == result.NotRun && d.runs > 0 {
		t.Fatal("reported as not run, but it ran")
	}
	if len(d.agents) > d.maxRetries+1 {
		t.Fatalf("sent to %d upstreams, %d allowed", len(d.agents), d.maxRetries+1)
	}
	reached := d.sends - d.unsent
	if reached > d.maxRetries+1+maxSameAgentRetries || d.unsent > d.maxRetries+1+maxUnsent {
		t.Fatalf("sent %d times, %d of them without a connection", d.sends, d.unsent)
	}
	if reached-1 > budget {
		t.Fatalf("reached upstreams %d times with a budget of %d retries", reached, budget)
	}
	if final.Delivered != d.delivered {
		t.Fatalf("counted %d events, the caller received %d", final.Delivered, d.delivered)
	}
	if again := d.machine.Timer(d.now.Add(time.Hour)); again.Kind != None {
		t.Fatalf("a second final action %v", again.Kind)
	}
}

// Guards against a call that is refused for lack of retries although no upstream has seen it yet.
func TestAnAttemptWithoutAConnectionIsNoRetry(t *testing.T) {
	d := &directCaller{agents: make(map[string]bool), now: time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)}
	d.machine = New(Request{Deadline: d.now.Add(time.Minute), ChargeEveryRetry: true, Retries: d})
	d.machine.Start(d.now)
	for n := range uint32(maxUnsent) {
		d.machine.Chosen(d.now, Replica{Agent: fmt.Sprint("u", n)})
		d.send(n+1, notSent)
		if action := d.machine.Timer(d.now); action.Kind != Choose {
			t.Fatalf("attempt %d: %v instead of another one", n+1, action)
		}
	}
	d.machine.Chosen(d.now, Replica{Agent: "last"})
	if action := d.send(maxUnsent+1, notSent); action.Kind != Fail || action.Err.Execution != result.NotRun {
		t.Fatalf("%v instead of a failure that says that the call did not run", action)
	}
	if d.allowCalls > 0 {
		t.Fatal("the budget was asked")
	}
}
