// Package flight runs one request that is within its organisation's limits through its
// attempts. It translates the actions of core/attempt into messages on links, and received
// messages into the events of core/attempt.
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

// maxPending bounds the frames held while an earlier one is missing.
const maxPending = 1024

// Sink receives the answer. Its methods may block while the caller reads slowly; an error
// means that the caller has disconnected.
type Sink interface {
	// Head is called once before Data, and only for plain services.
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
	// MaxRetries bounds the agents that are tried after the first.
	MaxRetries int
	// Retries allows and delays each retry.
	Retries attempt.Retries
	// Key is set for calls that may not be repeated and have an Idempotency-Key.
	Key *Key
	// Admit, if not nil, is called once, before the first offer. It returns a refusal if the
	// request can't start in time, given the predicted time to its first token.
	Admit func(predicted time.Duration) *result.Error
	// Fingerprint returns the fingerprint of the request's content.
	Fingerprint func() fingerprint.Print
	// Observe is called at each step, for explanations; it may be nil.
	Observe func(Step)
}

// Step is one event in the course of a request, for explanations.
type Step struct {
	Name   string
	Agent  string
	Detail string
}

// Flight is one request in flight.
type Flight struct {
	registry   *Registry
	view       *fleet.View
	spec       Spec
	sink       Sink
	machine    *attempt.Machine
	receiver   *stream.Receiver
	mailbox    *mailbox
	spareBatch contents

	// id is the ID under which the call is offered: spec.ID, or for a keyed call the ID stored in
	// its row of idempotency.Table.
	id     call.ID
	target fleet.Target
	// pendingAgent is the agent under which pendingOffers counts this request; 0 means none.
	pendingAgent call.Incarnation
	// conn is the link of the current attempt, retained by this flight; nil means none.
	conn     *link.Conn
	sentBody bool
	admitted bool
	span     collector.Span
	// crashes counts the upstreams that crashed while they served this request.
	crashes int
	// firstFrameAt is when the first frame of the answer was delivered.
	firstFrameAt time.Time
	// end is the received end of the current attempt or of an earlier one.
	end *link.End
	// final is the machine's last action, an Answer or a Fail.
	final *attempt.Action

	// deliveredText is the text passed to the sink. It is kept only for repeatable generations, so
	// that another agent can continue after it.
	deliveredText   []byte
	deliveredTokens int
	headReceived    bool
	// sinkErr is the sink's first error. No more data is passed to the sink after it.
	sinkErr error
	// done is closed when Run returns.
	done chan struct{}
}

// Outcome is the final result of a request.
type Outcome struct {
	// End is the end of the answer; nil on failure.
	End *link.End
	// Err is nil on success.
	Err *result.Error
	// Began says that a part of the answer was passed to the sink.
	Began bool
	// Delivered is the number of generated tokens passed to the sink.
	Delivered int
}

// New returns a Flight for one request. Run starts it.
func New(registry *Registry, spec Spec, sink Sink) *Flight {
	f := &Flight{
		registry: registry,
		view:     registry.view,
		spec:     spec,
		sink:     sink,
		receiver: stream.NewReceiver(maxPending),
		mailbox:  newMailbox(),
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

// Run runs the request until its final answer. ctx must end when the caller disconnects.
func (f *Flight) Run(ctx context.Context) Outcome {
	defer close(f.done)
	defer f.cleanUp()
	f.perform(ctx, f.machine.Start(time.Now()))
	timer := time.NewTimer(time.Until(f.machine.NextTimer()))
	defer timer.Stop()
	callerGone := ctx.Done()
	for !f.machine.Done() {
		timer.Reset(time.Until(f.machine.NextTimer()))
		select {
		case <-f.mailbox.signal:
			f.receive(ctx)
		case <-timer.C:
			f.perform(ctx, f.machine.Timer(time.Now()))
		case <-callerGone:
			callerGone = nil
			f.perform(ctx, f.machine.Cancelled(time.Now(), context.Cause(ctx)))
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
	out := Outcome{Began: f.headReceived || f.receiver.NextSeq() > 1 || f.deliveredTokens > 0, Delivered: f.deliveredTokens}
	if f.final.Kind == attempt.Answer {
		out.End = f.end
		return out
	}
	out.Err = f.final.Err
	return out
}

// cleanUp removes the request from the registry, cancels it at the agent if it has failed,
// and releases the link.
func (f *Flight) cleanUp() {
	f.removePendingOffer()
	f.registry.remove(f.id, f)
	f.endSpan(f.finalCode())
	// A keyed call is not cancelled, because other requests with its key may wait for its run.
	if f.spec.Key == nil && f.final != nil && f.final.Kind != attempt.Answer && f.conn != nil {
		_ = f.conn.Send(&link.Cancel{ID: f.id, Attempt: f.receiver.Attempt(), Stamp: int64(f.target.Stamp)})
	}
	f.releaseLink()
}

// endSpan ends the span of the current attempt, if there is one.
func (f *Flight) endSpan(code result.Code) {
	f.span.End(f.spec.ID.String(), code)
	f.span = collector.Span{}
}

func (f *Flight) releaseLink() {
	if f.conn != nil {
		f.conn.Release()
		f.conn = nil
	}
}

// retainLink makes c the link of the current attempt and releases the previous one.
func (f *Flight) retainLink(c *link.Conn) {
	if f.conn == c {
		return
	}
	f.releaseLink()
	c.Retain()
	f.conn = c
}

func (f *Flight) observe(name, agent, detail string) {
	if f.spec.Observe != nil {
		f.spec.Observe(Step{Name: name, Agent: agent, Detail: detail})
	}
}

// perform performs the machine's actions until the machine needs an event or the request has
// ended.
func (f *Flight) perform(ctx context.Context, action attempt.Action) {
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
			f.reportFailure(action.Err)
			return
		}
	}
}

// afterDelay performs an action after its delay. If the caller goes away during the delay,
// this is reported to the machine instead.
func (f *Flight) afterDelay(ctx context.Context, action attempt.Action, next func(context.Context, attempt.Action) attempt.Action) attempt.Action {
	if action.Delay > 0 {
		timer := time.NewTimer(action.Delay)
		defer timer.Stop()
		select {
		case <-timer.C:
		case <-ctx.Done():
			return f.machine.Cancelled(time.Now(), context.Cause(ctx))
		}
	}
	return next(ctx, action)
}

// choose chooses the agent to which the call is offered. It reports a refusal by the quarantine
// or by the admission to the machine like the lack of a replica: as an error that ends the call.
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

// chooseTarget chooses an agent that is not leaving, preferably recommendedAgent, and counts
// this request in pendingOffers until its offer is sent.
func (f *Flight) chooseTarget(ctx context.Context, route *routing.Request, recommendedAgent string) (fleet.Target, *result.Error) {
	for {
		f.removePendingOffer()
		target, err := f.view.Choose(ctx, route, recommendedAgent, f.observeDecision)
		if err != nil {
			return target, err
		}
		if f.registry.pendingOffers.add(target.Incarnation) {
			f.pendingAgent = target.Incarnation
			return target, nil
		}
		recommendedAgent = ""
		route.Exclude = append(route.Exclude, target.Agent)
	}
}

// removePendingOffer removes this request from the registry's pendingOffers.
func (f *Flight) removePendingOffer() {
	if f.pendingAgent != 0 {
		f.registry.pendingOffers.remove(f.pendingAgent)
		f.pendingAgent = 0
	}
}

// admit calls Spec.Admit once, before the first offer.
func (f *Flight) admit(predicted time.Duration) *result.Error {
	if f.admitted || f.spec.Admit == nil {
		return nil
	}
	f.admitted = true
	return f.spec.Admit(predicted)
}

func (f *Flight) observeDecision(d fleet.Decision) {
	detail := "predicted first token in " + d.Predicted.Round(time.Millisecond).String()
	if d.Recommended {
		detail = "named by the agent that refused"
	}
	f.observe("chosen", d.Agent, detail)
}

// offer sends the call to the chosen agent.
func (f *Flight) offer(ctx context.Context, action attempt.Action) attempt.Action {
	defer f.removePendingOffer()
	conn, lost := f.connect(ctx, action)
	if conn == nil {
		return lost
	}
	f.receiver.Restart(action.Attempt)
	f.id = action.Replica.ID
	if other := f.registry.add(f.id, f); other != nil {
		return f.waitFor(ctx, other, action)
	}
	f.retainLink(conn)
	f.sentBody = false
	offer := f.spec.Offer
	offer.ID = f.id
	offer.Attempt = action.Attempt
	offer.BoundTo = action.Replica.Incarnation
	offer.Stamp = int64(action.Replica.Stamp)
	offer.TimeLeftMs = deadline.Forward(call.Remaining(f.spec.Deadline, time.Now())).Milliseconds()
	// A span that is still open belongs to an earlier attempt. Its code is AgentLost, whatever
	// ended that attempt.
	f.endSpan(result.AgentLost)
	f.span = f.registry.tracer.Start(f.spec.Offer.TraceParent, collector.HopLink)
	offer.TraceParent = f.span.TraceParent()
	offer.Delivered = string(f.deliveredText)
	offer.DeliveredTokens = f.deliveredTokens
	offer.BodyBytes = len(f.spec.Body)
	offer.Group = f.view.GroupFor(&f.spec.Route, action.Replica.Agent)
	if len(f.spec.Body) <= link.InlineBodyBytes {
		offer.Body = f.spec.Body
		f.sentBody = true
	}
	f.observe("offered", action.Replica.Agent, "")
	f.view.RecordOffer(action.Replica.Agent, f.spec.Route.Demand.PromptTokens)
	if err := conn.Send(&offer); err != nil {
		return f.machine.LinkLost(time.Now(), action.Attempt)
	}
	return attempt.Action{}
}

// waitFor waits until another request of this entry with the same key has finished. The agent
// keeps the answer to that request, and this request then gets it by its own offer.
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

// connect opens the link that an action needs. If the action asks to redial, it first closes a
// current link that has been silent for longer than a heartbeat interval. If it returns no link,
// it returns the machine's next action for the lost link or agent.
func (f *Flight) connect(ctx context.Context, action attempt.Action) (*link.Conn, attempt.Action) {
	if action.Redial && f.conn != nil && f.conn.SinceLastReceived() > link.DefaultTiming.Heartbeat {
		f.conn.Close(link.ErrSilent)
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
		// An agent listens as long as it runs: a refusal proves that this incarnation has ended.
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

// resume requests the rest of the answer from the same incarnation.
func (f *Flight) resume(ctx context.Context, action attempt.Action) attempt.Action {
	f.observe("resumed", action.Replica.Agent, "")
	conn, lost := f.connect(ctx, action)
	if conn == nil {
		return lost
	}
	f.retainLink(conn)
	if err := conn.Send(&link.Resume{ID: f.id, Attempt: action.Attempt, NextSeq: f.receiver.NextSeq()}); err != nil {
		return f.machine.LinkLost(time.Now(), action.Attempt)
	}
	return attempt.Action{}
}

// cancel asks the agent to confirm that the call did not and will not run.
func (f *Flight) cancel(ctx context.Context, action attempt.Action) attempt.Action {
	f.observe("cancelling", action.Replica.Agent, "")
	conn, lost := f.connect(ctx, action)
	if conn == nil {
		return lost
	}
	f.retainLink(conn)
	if err := conn.Send(&link.Cancel{ID: f.id, Attempt: action.Attempt, Stamp: int64(action.Replica.Stamp)}); err != nil {
		return f.machine.LinkLost(time.Now(), action.Attempt)
	}
	return attempt.Action{}
}

// releaseAttempt cancels an abandoned attempt at its agent without waiting for an answer, so
// that the engine's memory is freed before the deadline.
func (f *Flight) releaseAttempt(action attempt.Action) {
	if f.conn != nil {
		_ = f.conn.Send(&link.Cancel{ID: f.id, Attempt: action.Attempt, Stamp: int64(action.Replica.Stamp)})
	}
}
