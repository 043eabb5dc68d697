// Package flight carries one admitted request through its attempts: it turns the
// actions of core/attempt into messages on links, and what arrives into its events.
package flight

import (
	"context"
	"syscall"
	"time"

	"acaciacleat.example/core/attempt"
	"acaciacleat.example/core/call"
	"acaciacleat.example/core/deadline"
	"acaciacleat.example/core/fingerprint"
	"acaciacleat.example/core/result"
	"acaciacleat.example/core/routing"
	"acaciacleat.example/core/stream"
	"acaciacleat.example/entry/fleet"
	"acaciacleat.example/peers/collector"
	"acaciacleat.example/peers/link"
	"github.com/pkg/errors"
)

// maxPending is the number of frames held while an earlier one is missing.
const maxPending = 1024

// Sink takes the answer. Its calls may block while the caller reads slowly; an error
// means that the caller is gone.
type Sink interface {
	// Head comes before Data, once, for plain services only.
	Head(head *link.Head) error
	Data(tokens uint32, data []byte) error
	// Flush is called after a batch of Data calls.
	Flush() error
}

// Spec describes one request.
type Spec struct {
	ID       call.ID
	Offer    link.Offer
	Body     []byte
	Deadline time.Time
	Route    routing.Request
	// MaxRetries bounds the agents tried after the first.
	MaxRetries int
	Retries    attempt.Retries
	// Key is set for non-repeatable calls with an Idempotency-Key.
	Key *Key
	// Admit, if not nil, is asked once, before the first offer, whether the request can
	// still start in time given the predicted time to its first token.
	Admit func(predicted time.Duration) *result.Error
	// Print returns what stands for the request's content.
	Print func() fingerprint.Print
	// Observe is told of each step, for explanations; it may be nil.
	Observe func(Step)
}

// Step is one thing that happened to a request.
type Step struct {
	Name   string
	Agent  string
	Detail string
}

// Flight is one request under way.
type Flight struct {
	registry *Registry
	view     *fleet.View
	spec     Spec
	sink     Sink
	machine  *attempt.Machine
	receiver *stream.Receiver
	mail     *mailbox
	spare    contents

	// id is what the offers carry: the request's own, or that of a keyed call's row.
	id     call.ID
	target fleet.Target
	// chosen is the agent that this request counts for in the registry's choices; 0 is none.
	chosen   call.Incarnation
	retained *link.Conn
	sentBody bool
	admitted bool
	span     collector.Span
	// crashes counts the upstreams that have crashed under this request.
	crashes int
	end     *link.End
	final   *attempt.Action

	text      []byte
	delivered int
	headed    bool
	sinkErr   error
	done      chan struct{}
}

// Outcome is the final answer.
type Outcome struct {
	// End is the end of the answer; nil on failure.
	End *link.End
	// Err is nil on success.
	Err *result.Error
	// Began says that part of the answer was handed to the sink.
	Began bool
	// Delivered is the number of generated tokens handed to the sink.
	Delivered int
}

// New prepares a request.
func New(registry *Registry, spec Spec, sink Sink) *Flight {
	f := &Flight{
		registry: registry,
		view:     registry.view,
		spec:     spec,
		sink:     sink,
		receiver: stream.NewReceiver(maxPending),
		mail:     newMailbox(),
		id:       spec.ID,
		done:     make(chan struct{}),
	}
	f.machine = attempt.New(attempt.Request{
		ID:          spec.ID,
		Deadline:    spec.Deadline,
		Repeatable:  spec.Offer.Repeatable,
		Continuable: !spec.Offer.Plain,
		Keyed:       spec.Key != nil,
		MaxRetries:  spec.MaxRetries,
		Retries:     spec.Retries,
	})
	return f
}

// Run carries the request to its final answer. ctx ends when the caller is gone.
func (f *Flight) Run(ctx context.Context) Outcome {
	defer close(f.done)
	defer f.leave()
	f.act(ctx, f.machine.Start(time.Now()))
	timer := time.NewTimer(time.Until(f.machine.NextTimer()))
	defer timer.Stop()
	gone := ctx.Done()
	for !f.machine.Done() {
		timer.Reset(time.Until(f.machine.NextTimer()))
		select {
		case <-f.mail.signal:
			f.receive(ctx)
		case <-timer.C:
			f.act(ctx, f.machine.Timer(time.Now()))
		case <-gone:
			gone = nil
			f.act(ctx, f.machine.CallerGone(time.Now()))
		}
	}
	return f.outcome()
}

func (f *Flight) finalCode() result.Code {
	if f.final == nil || f.final.Err == nil {
		return result.OK
	}
	return f.final.Err.Code
}

func (f *Flight) outcome() Outcome {
	out := Outcome{Began: f.headed || f.receiver.NextSeq() > 1 || f.delivered > 0, Delivered: f.delivered}
	if f.final.Kind == attempt.Answer {
		out.End = f.end
		return out
	}
	out.Err = f.final.Err
	return out
}

// leave ends this request's part at the agent and on the link.
func (f *Flight) leave() {
	f.uncount()
	f.registry.remove(f.id, f)
	f.endSpan(f.finalCode())
	// A keyed call may have other tries that wait for the same run; it is left to them.
	if f.spec.Key == nil && f.final != nil && f.final.Kind != attempt.Answer && f.retained != nil {
		_ = f.retained.Send(&link.Cancel{ID: f.id, Attempt: f.receiver.Attempt(), Stamp: int64(f.target.Stamp)})
	}
	f.release()
}

// endSpan closes the span of the attempt under way, if there is one.
func (f *Flight) endSpan(code result.Code) {
	f.span.End(f.spec.ID.String(), code)
	f.span = collector.Span{}
}

func (f *Flight) release() {
	if f.retained != nil {
		f.retained.Release()
		f.retained = nil
	}
}

func (f *Flight) retain(c *link.Conn) {
	if f.retained == c {
		return
	}
	f.release()
	c.Retain()
	f.retained = c
}

func (f *Flight) observe(name, agent, detail string) {
	if f.spec.Observe != nil {
		f.spec.Observe(Step{Name: name, Agent: agent, Detail: detail})
	}
}

// act carries out the machine's actions until one waits for an event.
func (f *Flight) act(ctx context.Context, action attempt.Action) {
	for {
		if action.Release {
			f.releaseAttempt(action)
		}
		switch action.Kind {
		case attempt.None:
			return
		case attempt.Choose, attempt.ContinueElsewhere:
			action = f.choose(ctx, action)
		case attempt.Offer:
			action = f.afterDelay(ctx, action, f.offer)
		case attempt.ResumeOnNewLink:
			action = f.afterDelay(ctx, action, f.resume)
		case attempt.CancelAndConfirm:
			action = f.afterDelay(ctx, action, f.cancel)
		case attempt.Answer, attempt.Fail:
			f.final = &action
			return
		}
	}
}

// afterDelay waits before an action. The deadline and a caller that goes away cut the
// wait short; the machine then decides.
func (f *Flight) afterDelay(ctx context.Context, action attempt.Action, next func(context.Context, attempt.Action) attempt.Action) attempt.Action {
	if action.Delay > 0 {
		timer := time.NewTimer(action.Delay)
		defer timer.Stop()
		select {
		case <-timer.C:
		case <-ctx.Done():
			return f.machine.CallerGone(time.Now())
		}
	}
	return next(ctx, action)
}

// choose finds the agent to offer the call to.
func (f *Flight) choose(ctx context.Context, action attempt.Action) attempt.Action {
	ctx, cancel := context.WithDeadline(ctx, f.spec.Deadline)
	defer cancel()
	if err := f.heldBack(ctx); err != nil {
		return f.machine.NoReplica(time.Now(), err)
	}
	route := f.spec.Route
	route.Deadline = f.spec.Deadline
	route.Exclude = append([]string(nil), f.machine.Excluded()...)
	target, err := f.chooseTarget(ctx, &route, action.Better)
	if err != nil {
		return f.machine.NoReplica(time.Now(), err)
	}
	if err := f.admit(target.Predicted); err != nil {
		f.observe("not admitted", target.Agent, err.Detail)
		return f.machine.NoReplica(time.Now(), err)
	}
	if f.spec.Key != nil {
		return f.claim(ctx, target)
	}
	f.target = target
	return f.machine.Chosen(time.Now(), attempt.Replica{
		Agent:       target.Agent,
		Incarnation: target.Incarnation,
		Stamp:       target.Stamp,
	})
}

// chooseTarget finds an agent that does not leave, and counts this request for it until
// its offer is sent.
func (f *Flight) chooseTarget(ctx context.Context, route *routing.Request, better string) (fleet.Target, *result.Error) {
	for {
		f.uncount()
		target, err := f.view.Choose(ctx, route, better, f.observeDecision)
		if err != nil {
			return target, err
		}
		if f.registry.choices.begin(target.Incarnation) {
			f.chosen = target.Incarnation
			return target, nil
		}
		better = ""
		route.Exclude = append(route.Exclude, target.Agent)
	}
}

// uncount takes this request out of the registry's choices.
func (f *Flight) uncount() {
	if f.chosen != 0 {
		f.registry.choices.end(f.chosen)
		f.chosen = 0
	}
}

func (f *Flight) admit(predicted time.Duration) *result.Error {
	if f.admitted || f.spec.Admit == nil {
		return nil
	}
	f.admitted = true
	return f.spec.Admit(predicted)
}

func (f *Flight) observeDecision(d fleet.Decision) {
	detail := "predicted first token in " + d.Predicted.Round(time.Millisecond).String()
	if d.ByAdvice {
		detail = "named by the agent that refused"
	}
	f.observe("chosen", d.Agent, detail)
}

// offer sends the call to the chosen agent.
func (f *Flight) offer(ctx context.Context, action attempt.Action) attempt.Action {
	defer f.uncount()
	conn, lost := f.connect(ctx, action)
	if conn == nil {
		return lost
	}
	f.receiver.Restart(action.Attempt)
	f.id = action.Replica.ID
	if other := f.registry.add(f.id, f); other != nil {
		return f.waitFor(ctx, other, action)
	}
	f.retain(conn)
	f.sentBody = false
	offer := f.spec.Offer
	offer.ID = f.id
	offer.Attempt = action.Attempt
	offer.BoundTo = action.Replica.Incarnation
	offer.Stamp = int64(action.Replica.Stamp)
	offer.TimeLeftMs = deadline.Forward(call.Remaining(f.spec.Deadline, time.Now())).Milliseconds()
	f.endSpan(result.AgentLost)
	f.span = f.registry.tracer.Start(f.spec.Offer.TraceParent, collector.HopLink)
	offer.TraceParent = f.span.Parent()
	offer.Delivered = string(f.text)
	offer.DeliveredTokens = f.delivered
	offer.BodyBytes = len(f.spec.Body)
	offer.Group = f.view.GroupFor(&f.spec.Route, action.Replica.Agent)
	if len(f.spec.Body) <= link.InlineBodyBytes {
		offer.Body = f.spec.Body
		f.sentBody = true
	}
	f.observe("offered", action.Replica.Agent, "")
	f.view.Offered(action.Replica.Agent, f.spec.Route.Work.PromptTokens)
	if err := conn.Send(&offer); err != nil {
		return f.machine.LinkLost(time.Now(), action.Attempt)
	}
	return attempt.Action{}
}

// waitFor lets another request of this entry with the same key finish first: the agent
// keeps its answer, which this one then gets.
func (f *Flight) waitFor(ctx context.Context, other *Flight, action attempt.Action) attempt.Action {
	ctx, cancel := context.WithDeadline(ctx, f.spec.Deadline)
	defer cancel()
	select {
	case <-other.done:
		return f.offer(ctx, action)
	case <-ctx.Done():
		return f.machine.Timer(time.Now())
	}
}

// connect opens the link that an action needs. It returns no link when the machine must
// decide what its absence means.
func (f *Flight) connect(ctx context.Context, action attempt.Action) (*link.Conn, attempt.Action) {
	if action.Redial && f.retained != nil && f.retained.SinceLastReceived() > link.DefaultTiming.Heartbeat {
		f.retained.Close(link.ErrSilent)
	}
	now := time.Now()
	addr, ok := f.view.Address(action.Replica.Agent)
	if !ok {
		return nil, f.machine.AgentLost(now, action.Replica.Incarnation)
	}
	ctx, cancel := context.WithDeadline(ctx, f.machine.NextTimer())
	defer cancel()
	conn, err := f.view.Connect(ctx, action.Replica.Agent, addr)
	now = time.Now()
	if errors.Is(err, syscall.ECONNREFUSED) {
		// An agent listens as long as it lives: a refusal proves that this life is over.
		return nil, f.machine.AgentLost(now, action.Replica.Incarnation)
	}
	if err != nil {
		return nil, f.machine.LinkLost(now, action.Attempt)
	}
	if conn.Peer().Incarnation != action.Replica.Incarnation {
		return nil, f.machine.AgentLost(now, action.Replica.Incarnation)
	}
	return conn, attempt.Action{}
}

// resume asks the same incarnation for the rest of the answer.
func (f *Flight) resume(ctx context.Context, action attempt.Action) attempt.Action {
	f.observe("resumed", action.Replica.Agent, "")
	conn, lost := f.connect(ctx, action)
	if conn == nil {
		return lost
	}
	f.retain(conn)
	if err := conn.Send(&link.Resume{ID: f.id, Attempt: action.Attempt, NextSeq: f.receiver.NextSeq()}); err != nil {
		return f.machine.LinkLost(time.Now(), action.Attempt)
	}
	return attempt.Action{}
}

// cancel asks the agent to prove that the call did not and will not run.
func (f *Flight) cancel(ctx context.Context, action attempt.Action) attempt.Action {
	f.observe("cancelling", action.Replica.Agent, "")
	conn, lost := f.connect(ctx, action)
	if conn == nil {
		return lost
	}
	f.retain(conn)
	if err := conn.Send(&link.Cancel{ID: f.id, Attempt: action.Attempt, Stamp: int64(action.Replica.Stamp)}); err != nil {
		return f.machine.LinkLost(time.Now(), action.Attempt)
	}
	return attempt.Action{}
}

// releaseAttempt tells an agent to give up an attempt that is left behind, so that the
// engine's memory is free before the deadline. No answer is awaited.
func (f *Flight) releaseAttempt(action attempt.Action) {
	if f.retained != nil {
		_ = f.retained.Send(&link.Cancel{ID: f.id, Attempt: action.Attempt, Stamp: int64(action.Replica.Stamp)})
	}
}
