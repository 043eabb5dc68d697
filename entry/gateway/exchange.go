package gateway

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"acaciacleat.example/core/attempt"
	"acaciacleat.example/core/call"
	"acaciacleat.example/core/dispatch"
	"acaciacleat.example/core/fingerprint"
	"acaciacleat.example/core/result"
	"acaciacleat.example/core/routes"
	"acaciacleat.example/peers/pause"
	"acaciacleat.example/peers/service"
)

// exchange is a caller's request with its answer. Only one goroutine uses it.
type exchange struct {
	g *Gateway
	w http.ResponseWriter
	r *http.Request
	// target is the path with the query, as the caller sent them.
	target  string
	arrived time.Time
	// waitsSince is when the caller's first attempt came: arrived, unless the request has returned after
	// a refusal.
	waitsSince time.Time
	meta       RequestMeta
	route      *routes.Route
	caller     *routes.Organisation
	service    *routes.Service
	// version is the version of the routing table that the request is handled by.
	version uint64
	// routesAge and upstreamsAge are how long before the request's arrival this entry last knew that it had missed no
	// change; negative for never.
	routesAge, upstreamsAge time.Duration
	// routesSince is when the routing table that the request is handled by was applied. lagging says that, at the request's arrival, it
	// or the upstreams were known to be older than they should be.
	routesSince time.Time
	lagging     bool
	// refusal says why the routes don't allow the request; nil if they do.
	refusal *refusal

	deadline time.Time
	body     []byte
	// readAt is when the whole request had been read.
	readAt time.Time
	// contentPrint is the fingerprint of the request's content. It is computed when first
	// needed; hasPrint reports whether it has been.
	contentPrint fingerprint.Print
	printOnce    sync.Once
	hasPrint     atomic.Bool
	// possibleCrashes counts the upstreams that may have crashed while they served the request.
	possibleCrashes int

	machine *attempt.Machine
	retries *Retries
	// choice, placementID and chosenAt belong to the current attempt.
	choice      dispatch.Choice
	placementID dispatch.PlacementID
	chosenAt    time.Time
	// sendCount is the number of attempts sent so far.
	sendCount int
	// sentAt is when the current attempt was sent.
	sentAt time.Time
	// permit is a permit that the current attempt may use.
	permit dispatch.GrantedPermit
	// permitDue is when that permit was due, and grantedAt when the one of the current attempt was.
	permitDue time.Time
	grantedAt time.Time
	// limitAnswer is what the answer to the current attempt says of its upstream's rate limit.
	limitAnswer dispatch.LimitAnswer
	attempts    []attemptRecord
	stall       *stallWatch
	// hedge is the hedge that becomes the next attempt, and events reads the events of one that has.
	hedge  *hedge
	events *eventReader
	// headSent reports whether the head of an answer has been sent to the caller.
	headSent bool
	// wholeBegun reports whether a part of an answer that is no stream has been sent to the caller.
	// Nothing else may follow it.
	wholeBegun bool
	// lastEventID is the id of the last event that was sent whole to the caller.
	lastEventID string
	// firstEventAt and lastEventAt are when the first and the last event were received.
	// longestGap is the longest time between two events of the same upstream.
	firstEventAt time.Time
	lastEventAt  time.Time
	longestGap   time.Duration
	// lastWasSingle reports whether the last event arrived by itself.
	lastWasSingle bool
}

func (e *exchange) now() time.Time { return e.g.config.Now() }

// run sends the request until it has its final answer. A returned error is that answer.
func (e *exchange) run() *result.Error {
	e.readAt = e.now()
	e.g.config.Budgets.RecordFirst(e.service.Name, e.arrived)
	e.retries = e.g.config.Budgets.ForService(e.service.Name)
	e.recogniseReturn()
	e.machine = attempt.New(attempt.Request{
		Deadline:         e.deadline,
		Repeatable:       e.route.Repeatable(),
		Continuable:      e.route.Kind == routes.Streaming && e.route.Resumable,
		MaxRetries:       e.route.MaxUpstreams - 1,
		Retries:          e.retries,
		ChargeEveryRetry: true,
	})
	defer e.dropHedge()
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
			e.g.config.Quarantine.RecordFailure(e.quarantineRequest(), action.Err.Execution)
			return action.Err
		default:
			action = e.wait()
		}
	}
}

// wait waits until the machine must act again or the caller has disconnected.
func (e *exchange) wait() attempt.Action {
	timer := time.NewTimer(e.machine.NextTimer().Sub(e.now()))
	defer timer.Stop()
	select {
	case <-timer.C:
		return e.machine.Timer(e.now())
	case <-e.r.Context().Done():
		return e.cancelled(e.now())
	}
}

// cancelled ends the request because its context has ended.
func (e *exchange) cancelled(now time.Time) attempt.Action {
	return e.machine.Cancelled(now, context.Cause(e.r.Context()))
}

// choose selects the upstream of the next attempt. The request waits in the queue while the
// engines are better used by other requests.
func (e *exchange) choose() attempt.Action {
	var queuedID dispatch.PlacementID
	// firstEvent is the last prediction of the time to the first event, while the request waits.
	var firstEvent time.Duration
	startedAt := e.now()
	probeRounds := 0
	if e.hedge != nil {
		return e.chooseHedge()
	}
	if e.wholeBegun {
		return e.machine.NoReplica(startedAt, newError(result.StreamBroken, result.Ran, "the answer broke off and is no stream that can be resumed"))
	}
	e.awaitCrashVerdict()
	for {
		e.g.config.Directory.AwaitCurrent(e.r.Context())
		now := e.now()
		if ended(e.r.Context()) {
			e.g.config.Fleet.Withdraw(queuedID)
			return e.cancelled(now)
		}
		if !now.Before(e.deadline) {
			e.g.config.Fleet.Withdraw(queuedID)
			return e.machine.Timer(now)
		}
		if action, held := e.heldBack(now); held {
			e.g.config.Fleet.Withdraw(queuedID)
			return action
		}
		if action, refused := e.refusedByStop(now, now.After(startedAt), firstEvent); refused {
			e.g.config.Fleet.Withdraw(queuedID)
			return action
		}
		request := e.dispatchRequest(now, queuedID)
		choice, id, verdict := e.g.config.Fleet.Choose(now, &request, e.service.Engine)
		switch verdict {
		case dispatch.NoUpstream:
			return e.machine.NoReplica(now, newError(result.NoReplica, result.NotRun, "no upstream of the service takes requests"))
		case dispatch.Overloaded:
			err := tooBusyError(choice.Explanation)
			if choice.Explanation.Scarcity != nil {
				e.g.returning.refused(now, e.fingerprint(), e.waitsSince, err.RetryAfter)
			}
			return e.machine.NoReplica(now, err)
		case dispatch.RateLimited:
			return e.machine.NoReplica(now, rateLimitedError(choice.Explanation))
		case dispatch.CoolingDown:
			return e.machine.NoReplica(now, cooldownError(choice.Explanation.ClearTime))
		case dispatch.Evacuated:
			e.g.config.Metrics.evacuationRefused()
			return e.machine.NoReplica(now, evacuatedError(choice.Explanation.ClearTime))
		case dispatch.NeedsPermit:
			queuedID = dispatch.PlacementID{}
			e.acquirePermit(choice)
			continue
		case dispatch.Queue:
			queuedID, firstEvent = id, choice.Explanation.FirstEvent
			e.awaitQueuePosition(choice.Retry)
			continue
		}
		if action, refused := e.refusedByStop(now, false, choice.Explanation.FirstEvent); refused {
			e.g.config.Fleet.RecordEnd(now, id, dispatch.Abandoned)
			return action
		}
		if choice.Probe && probeRounds < maxProbeRounds && !e.g.probeAll(e.r.Context(), choice) {
			probeRounds++
			queuedID = dispatch.PlacementID{}
			e.g.config.Fleet.RecordEnd(e.now(), id, dispatch.Abandoned)
			continue
		}
		e.chosenAt, e.grantedAt = now, now
		if e.permit.Upstream == choice.Upstream {
			e.grantedAt = e.permitDue
		}
		now = e.now()
		e.permit = dispatch.GrantedPermit{}
		e.choice, e.placementID = choice, id
		e.attempts = append(e.attempts, attemptRecord{choice: choice, at: now.Sub(e.arrived), queued: now.Sub(startedAt)})
		return e.machine.Chosen(now, attempt.Replica{Agent: choice.Upstream.Incarnation()})
	}
}

// maxProbeRounds bounds how often a request chooses again because a probe found that an upstream
// of its choice has ended.
const maxProbeRounds = 4

// dispatchRequest returns the request's current parameters for the choice of an upstream.
func (e *exchange) dispatchRequest(now time.Time, queuedID dispatch.PlacementID) dispatch.Request {
	waited := now.Sub(e.arrived)
	return dispatch.Request{
		Service:          e.service.Name,
		PromptTokens:     e.meta.PromptTokens,
		OutputTokens:     e.meta.OutputTokens,
		FirstEventTarget: e.route.TargetLatency - now.Sub(e.waitsSince),
		GapTarget:        e.route.TargetGap,
		TimeToDeadline:   e.deadline.Sub(now),
		Patience:         patience(e.route) - waited,
		Organisation:     e.organisation(),
		Priority:         e.priority(),
		QueueID:          queuedID,
		Exclude:          e.machine.Excluded(),
		PinnedTo:         e.machine.PinnedAgent(),
		Permit:           e.permit,
		Committed:        e.mayHaveRun(),
	}
}

// priority returns the request's priority: the organisation's if it has one, otherwise the
// route's.
func (e *exchange) priority() int {
	if e.caller != nil && e.caller.HasPriority {
		return e.caller.Priority
	}
	return e.route.Priority
}

// A caller gives up a stream that is silent, from the start or between events, for the longest of
// minPatience, patienceLatencyFactor times the target latency and patienceGapFactor times the
// target gap between events.
const (
	minPatience           = 2 * time.Second
	patienceLatencyFactor = 4
	patienceGapFactor     = 8
)

// patience returns how long callers of a route wait for the first event.
func patience(route *routes.Route) time.Duration {
	return max(minPatience, patienceLatencyFactor*route.TargetLatency, patienceGapFactor*route.TargetGap)
}

// awaitQueuePosition waits until the request may be placed or its queue position has changed,
// or until the caller disconnects.
func (e *exchange) awaitQueuePosition(retry dispatch.Retry) {
	timer := time.NewTimer(min(retry.After, e.deadline.Sub(e.now())))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-retry.Changed:
	case <-e.r.Context().Done():
	}
}

// pause waits for d or until the caller disconnects.
func (e *exchange) pause(d time.Duration) { pause.For(e.r.Context(), d) }

// mayHaveRun reports whether an upstream of an earlier attempt may have run the request.
func (e *exchange) mayHaveRun() bool {
	return slices.ContainsFunc(e.attempts, func(a attemptRecord) bool { return a.failure.Execution != result.NotRun })
}

// send sends the request to the chosen upstream and handles its answer to the end.
func (e *exchange) send() attempt.Action {
	now := e.now()
	e.sendCount++
	e.sentAt = now
	// Without an agent nothing accepts the call, so it counts as accepted when it is sent.
	if action := e.machine.Accepted(now, e.attemptNumber()); action.Kind != attempt.None {
		e.recordOutcome(now, dispatch.Abandoned)
		return action
	}
	if begun := e.hedge; begun != nil {
		e.hedge = nil
		return e.continueHedge(begun)
	}
	e.g.config.Metrics.sendStarted(e.choice.Explanation.KnownDown)
	e.g.countSendsToLimited(e.choice)
	ctx, cancel := context.WithTimeout(e.r.Context(), e.deadline.Sub(now))
	defer cancel()
	if e.choice.NeedsReservations() {
		if action, withdrawn := e.withdrawn(); withdrawn {
			return action
		}
		reservation, refuser, err := e.g.reserve(ctx, e.choice)
		if err != nil {
			return e.reservationFailed(refuser, err)
		}
		defer reservation.release()
	}
	e.g.config.Directory.AwaitCurrent(ctx)
	if action, withdrawn := e.withdrawn(); withdrawn {
		return action
	}
	if action, expired := e.permitExpired(); expired {
		return action
	}
	upstreamClient, releaseClient := e.g.config.Clients.acquire(e.choice.Upstream)
	defer releaseClient()
	defer context.AfterFunc(upstreamClient.ctx, cancel)()
	defer e.watch(upstreamClient, cancel)()
	answer, err := upstreamClient.http.Do(ctx, e.callTo(now, e.choice, e.lastEventID))
	if err != nil {
		return e.sendFailed(e.stall.explain(err))
	}
	defer answer.Body.Close()
	e.stall.received(e.now())
	e.g.config.Fleet.ZoneAnswered(e.now(), e.choice.Upstream.Zone)
	e.events = nil
	return e.handleAnswer(answer)
}

// watch starts the stall watch of the current attempt, whose call cancel ends, and returns a function that stops it.
func (e *exchange) watch(upstreamClient *client, cancel context.CancelFunc) (stop func()) {
	e.stall = &stallWatch{client: upstreamClient, timeout: e.stallAfter(), cancel: cancel, now: e.now, lastEventID: e.lastEventID,
		zone: e.choice.Upstream.Zone, zones: e.g.config.Clients.zones}
	if e.stall.timeout > 0 {
		e.stall.maxTimeout = time.Duration(stallPatience * float64(patience(e.route)))
		e.stall.hedge = e.newHedger(e.now()).begin
	}
	e.stall.start(stallPredictions * e.choice.Explanation.FirstEvent)
	remove := e.stall.zones.watch(e.stall)
	return func() {
		remove()
		e.stall.stop()
		e.countHedges()
	}
}

// attemptNumber returns the number of the current attempt, starting at 1.
func (e *exchange) attemptNumber() call.Attempt { return call.Attempt(e.sendCount) }

// callTo returns the service call for the upstream of a choice, which a stream resumes after the event with an id.
func (e *exchange) callTo(now time.Time, choice dispatch.Choice, lastEventID string) service.Call {
	header := e.r.Header.Clone()
	forward := ForwardMeta{
		Choice:      choice,
		TimeLeft:    e.deadline.Sub(now),
		Streaming:   e.route.Kind == routes.Streaming,
		LastEventID: lastEventID,

		Organisation: e.organisation(),
	}
	service.RemoveHopByHopHeaders(header)
	e.g.config.Dialect.Forward(header, forward)
	return service.Call{
		Method:   e.r.Method,
		Path:     e.target,
		Host:     e.r.Host,
		Header:   header,
		Body:     e.body,
		Reuse:    e.reuse(),
		TimeLeft: e.deadline.Sub(now),

		EventStream: e.route.Kind == routes.Streaming,
	}
}

// reuse returns ReuseNever for a request that must not be repeated: if an upstream closes a reused
// connection just as a request is sent, it is unknown whether the request ran.
func (e *exchange) reuse() service.Reuse {
	if e.route.Repeatable() {
		return service.ReuseAlways
	}
	return service.ReuseNever
}

// tooBusyError returns the refusal of a request whose prompt the engines are too busy to prefill.
func tooBusyError(why dispatch.Explanation) *result.Error {
	if why.Scarcity != nil {
		return scarcityError(why)
	}
	err := result.New(result.CannotStartInTime, result.NotRun,
		"engines are too busy for a prompt that takes %d ms to read: they have %d ms to read each on the mean, "+
			"and it would cost others %.2f of worth",
		why.Read.Milliseconds(), why.MeanBacklog.Milliseconds(), why.ExpectedLoss)
	err.RetryAfter = max(why.ClearTime, busyRetryAfter)
	return err
}

// scarcityError returns the refusal of a short prompt for which no slot is free in time.
func scarcityError(why dispatch.Explanation) *result.Error {
	scarcity := why.Scarcity
	err := result.New(result.CannotStartInTime, result.NotRun,
		"engines have no free slot in time (%s): %d requests are ahead for %d ms, and the first event would come after %d ms, "+
			"%d ms of it by recent errors; the organisation's rank by its share is %d",
		string(scarcity.Reason), scarcity.Ahead, scarcity.Wait.Milliseconds(), why.FirstEvent.Milliseconds(),
		scarcity.Correction.Milliseconds(), scarcity.Rank)
	err.RetryAfter = max(why.ClearTime, busyRetryAfter)
	return err
}

// busyRetryAfter is the minimum Retry-After for callers whose prompt the engines are too busy
// for. It is a few engine passes long, and applies if the engines expect to have prefilled all
// queued prompts sooner.
const busyRetryAfter = 500 * time.Millisecond
