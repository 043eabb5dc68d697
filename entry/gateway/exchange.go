package gateway

import (
	"context"
	"net/http"
	"slices"
	"time"

	"acaciacleat.example/core/attempt"
	"acaciacleat.example/core/call"
	"acaciacleat.example/core/dispatch"
	"acaciacleat.example/core/fingerprint"
	"acaciacleat.example/core/result"
	"acaciacleat.example/core/routes"
	"acaciacleat.example/peers/service"
)

// exchange is one request of a caller with its answer. One goroutine uses it.
type exchange struct {
	g       *Gateway
	w       http.ResponseWriter
	r       *http.Request
	arrived time.Time
	meta    Meta
	route   *routes.Route
	caller  *routes.Organisation
	service *routes.Service
	// version is that of the table of routes that the request is handled by.
	version  uint64
	deadline time.Time
	body     []byte
	// print is that of the request's content, once it is needed.
	print   fingerprint.Print
	printed bool
	// brokenOff counts the upstreams that may have crashed under the request.
	brokenOff int

	machine *attempt.Machine
	retries *Retries
	// choice and work are those of the attempt in hand.
	choice dispatch.Choice
	work   dispatch.WorkID
	sends  int
	// sentAt is when the attempt in hand was sent.
	sentAt time.Time
	tries  []try
	watch  *watch
	// headed says that the caller has been sent the head of an answer.
	headed bool
	// lastEvent is the id of the last event that the caller was sent whole.
	lastEvent string
	// first is when the first event was sent, lastAt when the last one was, and pause the
	// longest time between two of one upstream.
	first  time.Time
	lastAt time.Time
	pause  time.Duration
}

func (e *exchange) now() time.Time { return e.g.config.Now() }

// run sends the request until it has its final answer; a returned error is that answer.
func (e *exchange) run() *result.Error {
	e.g.config.Budgets.First(e.service.Name, e.arrived)
	e.retries = e.g.config.Budgets.Of(e.service.Name)
	e.machine = attempt.New(attempt.Request{
		Deadline:    e.deadline,
		Repeatable:  e.route.Repeatable(),
		Continuable: e.route.Kind == routes.Streaming && e.route.Resumable,
		MaxRetries:  e.route.MaxUpstreams - 1,
		Retries:     e.retries,
		EveryRetry:  true,
	})
	action := e.machine.Start(e.now())
	for {
		switch action.Kind {
		case attempt.Choose, attempt.ContinueElsewhere:
			action = e.choose()
		case attempt.Offer:
			action = e.send()
		case attempt.Answer:
			return nil
		case attempt.Fail:
			return action.Err
		default:
			action = e.wait()
		}
	}
}

// wait lets the time pass until the machine must act again, or the caller is gone.
func (e *exchange) wait() attempt.Action {
	timer := time.NewTimer(e.machine.Wake().Sub(e.now()))
	defer timer.Stop()
	select {
	case <-timer.C:
		return e.machine.Timer(e.now())
	case <-e.r.Context().Done():
		return e.machine.CallerGone(e.now())
	}
}

// choose finds the upstream of the next attempt, and waits for the request's turn where the
// engines are better used by others.
func (e *exchange) choose() attempt.Action {
	var turn dispatch.WorkID
	began := e.now()
	asked := 0
	e.awaitVerdict()
	for now := e.now(); ; now = e.now() {
		if isGone(e.r.Context()) {
			e.g.config.Fleet.Withdraw(turn)
			return e.machine.CallerGone(now)
		}
		if !now.Before(e.deadline) {
			e.g.config.Fleet.Withdraw(turn)
			return e.machine.Timer(now)
		}
		if action, held := e.heldBack(now); held {
			e.g.config.Fleet.Withdraw(turn)
			return action
		}
		request := e.placement(now, turn)
		choice, work, verdict := e.g.config.Fleet.Choose(now, &request, e.service.Engine)
		switch verdict {
		case dispatch.NoUpstream:
			return e.machine.NoReplica(now, fault(result.NoReplica, result.NotRun, "no upstream of the service takes requests"))
		case dispatch.TooBusy:
			return e.machine.NoReplica(now, tooBusy(choice.Why))
		case dispatch.Hold:
			turn = work
			e.awaitTurn(choice.Turn)
			continue
		}
		if choice.Ask && asked < mostAsked && !e.g.allServe(e.r.Context(), choice) {
			asked++
			turn = dispatch.WorkID{}
			e.g.config.Fleet.Ended(e.now(), work, dispatch.Abandoned)
			continue
		}
		now = e.now()
		e.choice, e.work = choice, work
		e.tries = append(e.tries, try{choice: choice, at: now.Sub(e.arrived), held: now.Sub(began)})
		return e.machine.Chosen(now, attempt.Replica{Agent: choice.Upstream.Incarnation()})
	}
}

// mostAsked bounds how often a request chooses anew because an upstream of its choice had gone.
const mostAsked = 4

// placement is what a choice needs to know of the request now.
func (e *exchange) placement(now time.Time, turn dispatch.WorkID) dispatch.Request {
	waited := now.Sub(e.arrived)
	return dispatch.Request{
		Service:      e.service.Name,
		PromptTokens: e.meta.PromptTokens,
		OutputTokens: e.meta.OutputTokens,
		Aim:          e.route.TargetLatency - waited,
		GapAim:       e.route.TargetGap,
		Left:         e.deadline.Sub(now),
		Patience:     patience(e.route) - waited,
		Rank:         e.rank(),
		Turn:         turn,
		Exclude:      e.machine.Excluded(),
		Keep:         e.machine.Keep(),
		Committed:    e.committed(),
	}
}

// rank is the request's priority: its organisation's where that has one, else its route's.
func (e *exchange) rank() int {
	if e.caller != nil && e.caller.HasPriority {
		return e.caller.Priority
	}
	return e.route.Priority
}

// Callers leave a stream after a gap, also before its first event, of patienceLeast,
// patienceAims times the aim or patienceGaps times the longest good pause, whichever is
// longest.
const (
	patienceLeast = 2 * time.Second
	patienceAims  = 4
	patienceGaps  = 8
)

// patience returns how long callers of a route wait for a first event.
func patience(route *routes.Route) time.Duration {
	return max(patienceLeast, patienceAims*route.TargetLatency, patienceGaps*route.TargetGap)
}

// awaitTurn waits until the request's turn may have come, or its caller is gone.
func (e *exchange) awaitTurn(turn dispatch.Turn) {
	timer := time.NewTimer(min(turn.After, e.deadline.Sub(e.now())))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-turn.Changed:
	case <-e.r.Context().Done():
	}
}

// committed tells whether an upstream that the request has left may have worked on it.
func (e *exchange) committed() bool {
	return slices.ContainsFunc(e.tries, func(t try) bool { return t.word.Execution != result.NotRun })
}

// elsewhere returns what tells whether the request could leave the chosen upstream for
// another one. It may be called from any goroutine.
func (e *exchange) elsewhere() func(now time.Time) bool {
	request := &dispatch.Request{
		Service: e.service.Name,
		Exclude: append(slices.Clone(e.machine.Excluded()), e.choice.Upstream.Incarnation()),
	}
	return func(now time.Time) bool {
		return e.g.config.Fleet.Elsewhere(now, request) && e.retries.Take(now)
	}
}

// send sends the request to the chosen upstream and handles its answer to the end.
func (e *exchange) send() attempt.Action {
	now := e.now()
	e.sends++
	e.sentAt = now
	e.g.config.Metrics.sent(e.choice.Why.AgainstProof)
	if action := e.machine.Accepted(now, e.attempt()); action.Kind != attempt.None {
		e.end(now, dispatch.Abandoned)
		return action
	}
	ctx, cancel := context.WithTimeout(e.r.Context(), e.deadline.Sub(now))
	defer cancel()
	if e.choice.Tickets() {
		reservation, refuser, err := e.g.reserve(ctx, e.choice)
		if err != nil {
			return e.notReserved(refuser, err)
		}
		defer reservation.release()
	}
	upstream := e.g.config.Clients.of(e.choice.Upstream)
	defer context.AfterFunc(upstream.life, cancel)()
	e.watch = &watch{client: upstream, after: e.stallAfter(), may: e.elsewhere(), cancel: cancel, now: e.now}
	e.watch.start(stallExpected * e.choice.Why.First)
	defer e.watch.stop()
	answer, err := upstream.http.Do(ctx, e.call(now))
	if err != nil {
		return e.sendFailed(e.watch.reason(err))
	}
	defer answer.Body.Close()
	e.watch.heard(e.now())
	return e.judge(answer)
}

// attempt numbers the send in hand, from 1.
func (e *exchange) attempt() call.Attempt { return call.Attempt(e.sends) }

// call makes the request for the upstream.
func (e *exchange) call(now time.Time) service.Call {
	header := e.r.Header.Clone()
	send := Send{
		Choice:      e.choice,
		TimeLeft:    e.deadline.Sub(now),
		Streaming:   e.route.Kind == routes.Streaming,
		LastEventID: e.lastEvent,

		Organisation: e.organisation(),
	}
	service.RemoveHopHeaders(header)
	e.g.config.Dialect.Forward(header, send)
	return service.Call{
		Method:   e.r.Method,
		Path:     e.r.RequestURI,
		Host:     e.r.Host,
		Header:   header,
		Body:     e.body,
		Reuse:    e.reuse(),
		TimeLeft: e.deadline.Sub(now),
	}
}

// reuse keeps requests that may not be repeated off kept connections: an upstream that
// closes one just as a request goes out leaves open whether it ran.
func (e *exchange) reuse() service.Reuse {
	if e.route.Repeatable() {
		return service.ReuseAlways
	}
	return service.ReuseNever
}

func tooBusy(why dispatch.Why) *result.Error {
	err := result.New(result.CannotStartInTime, result.NotRun,
		"engines are too busy for a prompt that takes %d ms to read: they have %d ms to read each on the mean, "+
			"and it would cost others %.2f of worth",
		why.Read.Milliseconds(), why.Load.Milliseconds(), why.Cost)
	err.RetryAfter = max(why.Clear, busyRetryAfter)
	return err
}

// busyRetryAfter is the least that is told to callers whose prompt the engines are too busy
// for, where what is placed and waits will be read sooner: some passes of an engine.
const busyRetryAfter = 500 * time.Millisecond
