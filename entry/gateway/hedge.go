package gateway

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"slices"
	"sync/atomic"
	"time"

	"acaciacleat.example/core/attempt"
	"acaciacleat.example/core/dispatch"
	"acaciacleat.example/core/result"
	"acaciacleat.example/peers/service"
)

// hedge is a call of a request to another upstream while that of the current attempt is silent. It takes the attempt's
// place only once its answer has begun; until then either may serve the request.
type hedge struct {
	e           *exchange
	choice      dispatch.Choice
	placementID dispatch.PlacementID
	chosenAt    time.Time
	sentAt      time.Time
	call        service.Call
	// resumes is set if the caller has received a part of the answer, afterCrash if an upstream may have crashed under the
	// request before.
	resumes, afterCrash bool

	client        *client
	releaseClient func()
	reservation   *reservation
	ctx           context.Context
	cancel        context.CancelFunc

	// done is closed when the call has failed, was refused, or has begun to answer. The fields below are then set.
	done    chan struct{}
	answer  *service.Answer
	events  *eventReader
	err     error
	refuser dispatch.Upstream
	// closedBy counts what must come together before the call is closed: its end and who abandons it.
	closedBy atomic.Int32
}

// endedHedge is a hedge that has ended without an answer, as it is logged.
type endedHedge struct {
	record      attemptRecord
	incarnation string
	// broken reports whether the upstream may have crashed under the request.
	broken bool
}

// hedgeEnd is how a hedge ended.
type hedgeEnd string

// The values of hedgeEnd.
const (
	// hedgeServes means that its answer was relayed.
	hedgeServes hedgeEnd = "serves"
	// hedgeFails means that it was refused or failed, while the other call went on.
	hedgeFails hedgeEnd = "fails"
	// hedgeOvertaken means that the other call went on first.
	hedgeOvertaken hedgeEnd = "overtaken"
)

// hedger sends the hedges of one attempt. It reads only what of the exchange is set before its first attempt.
type hedger struct {
	e *exchange
	// request is the request as it was at madeAt.
	request dispatch.Request
	madeAt  time.Time
	// left is the number of upstreams that may still be tried.
	left int
	// resumes is set if the caller had received a part of the answer before, afterCrash if an upstream may have crashed under
	// the request before.
	resumes, afterCrash bool
}

// newHedger returns the hedger of the current attempt.
func (e *exchange) newHedger(now time.Time) *hedger {
	h := &hedger{e: e, request: e.dispatchRequest(now, dispatch.PlacementID{}), madeAt: now, left: e.machine.RetriesLeft(),
		resumes: e.headSent, afterCrash: e.possibleCrashes > 0}
	h.request.Exclude = append(slices.Clone(h.request.Exclude), e.choice.Upstream.Incarnation())
	h.request.PinnedTo, h.request.Permit = "", dispatch.GrantedPermit{}
	h.request.Committed, h.request.Beside = true, true
	return h
}

// requestAt returns the request for the choice of an upstream at a time.
func (h *hedger) requestAt(now time.Time) dispatch.Request {
	request, since := h.request, now.Sub(h.madeAt)
	request.FirstEventTarget -= since
	request.TimeToDeadline -= since
	request.Patience -= since
	return request
}

// begin takes a retry from the budget and chooses another upstream for the request. It returns nil if there is no retry, or
// no upstream that has room. Behind a cut of its zone, the current upstream can't be expected to go on, and one without
// room will do.
func (h *hedger) begin(w *stallWatch, now time.Time, lastEventID string) *hedge {
	e := h.e
	if h.left <= 0 || !now.Before(e.deadline) || h.heldBack() || !e.g.config.Directory.Current() || !e.retries.Allow(now) {
		return nil
	}
	request := h.requestAt(now)
	request.FreeSlot = !w.zones.cut(w.zone)
	choice, id, verdict := e.g.config.Fleet.Choose(now, &request, e.service.Engine)
	switch {
	case verdict != dispatch.Place:
		e.retries.prepay()
		e.g.config.Fleet.Withdraw(id)
		return nil
	case w.zones.cut(choice.Upstream.Zone), !e.g.takes(now, choice):
		e.retries.prepay()
		e.g.config.Fleet.RecordEnd(now, id, dispatch.Abandoned)
		return nil
	}
	h.left--
	h.request.Exclude = append(h.request.Exclude, choice.Upstream.Incarnation())
	begun := &hedge{
		e: e, choice: choice, placementID: id, chosenAt: now, sentAt: now, done: make(chan struct{}),
		call: e.callTo(now, choice, lastEventID), resumes: h.resumes || lastEventID != "", afterCrash: h.afterCrash,
	}
	begun.ctx, begun.cancel = context.WithTimeout(e.r.Context(), e.deadline.Sub(now))
	begun.client, begun.releaseClient = e.g.config.Clients.acquire(choice.Upstream)
	return begun
}

// heldBack reports whether the request is held back.
func (h *hedger) heldBack() bool {
	_, held := h.e.g.config.Quarantine.Held(h.e.quarantineRequest())
	return held
}

// takes reports whether no upstream of a choice has said that it takes no requests.
func (g *Gateway) takes(now time.Time, choice dispatch.Choice) bool {
	if _, objects := g.config.Fleet.Objection(now, now, choice.Upstream); objects {
		return false
	}
	return !slices.ContainsFunc(choice.Helpers, func(helper dispatch.Helper) bool {
		_, objects := g.config.Fleet.Objection(now, now, helper.Upstream)
		return objects
	})
}

// run makes the call, up to the beginning of its answer.
func (h *hedge) run(w *stallWatch) {
	defer h.settle()
	defer close(h.done)
	defer context.AfterFunc(h.client.ctx, h.cancel)()
	h.e.g.config.Metrics.sendStarted(h.choice.Explanation.KnownDown)
	h.e.g.countSendsToLimited(h.choice)
	if h.choice.NeedsReservations() {
		if h.reservation, h.refuser, h.err = h.e.g.reserve(h.ctx, h.choice); h.err != nil {
			h.fail(w, dispatch.Abandoned, attempt.Outcome{Code: result.MemoryFull, Execution: result.NotRun, Detail: h.err.Error()})
			return
		}
	}
	h.answer, h.err = h.client.http.Do(h.ctx, h.call)
	if h.err != nil {
		h.e.g.config.Metrics.answerFailed(h.err)
		h.fail(w, transportOutcome(h.err), attempt.Outcome{Code: result.UpstreamFailed, Execution: result.Unknown, Detail: h.err.Error()})
		return
	}
	now := h.e.now()
	h.client.lastReceived.Store(now.UnixNano())
	h.e.g.config.Fleet.ZoneAnswered(now, h.choice.Upstream.Zone)
	meta := h.e.g.config.Dialect.Answer(h.answer.Header)
	if fault := h.e.faultOf(now, h.sent(), h.answer, meta); fault != nil {
		if h.fail(w, fault.outcome, fault.failure) {
			h.e.g.observeLimit(now, h.choice.Upstream, h.answer.Status, dispatch.LimitAnswer{Statement: meta.Limit, SentAt: h.sentAt, ReceivedAt: now})
			h.e.g.observeStatements(now, h.choice.Upstream, h.answer.Status, meta)
		}
		return
	}
	if err := h.awaitBody(); err != nil {
		h.e.g.config.Metrics.answerFailed(err)
		h.fail(w, dispatch.Lost, attempt.Outcome{Code: result.StreamBroken, Execution: result.Ran, Detail: err.Error()})
		return
	}
	w.replaceBy(h)
}

// sent returns the call as faultOf judges its answer.
func (h *hedge) sent() sentCall {
	return sentCall{choice: h.choice, sentAt: h.sentAt, resumes: h.resumes, mayRetry: true}
}

// awaitBody waits for the first event of a stream, or for the first byte of another answer.
func (h *hedge) awaitBody() error {
	if isStream(h.answer) {
		h.events = newEventReader(h.answer.Body)
		return h.events.peek()
	}
	body := bufio.NewReader(h.answer.Body)
	h.answer.Body = readCloser{body, h.answer.Body}
	if _, err := body.Peek(1); err != nil && err != io.EOF {
		return err
	}
	return nil
}

// readCloser reads from one reader and closes another.
type readCloser struct {
	io.Reader
	io.Closer
}

// fail records how the call ended, unless the exchange has taken it over or it was abandoned. It reports whether it did.
func (h *hedge) fail(w *stallWatch, outcome dispatch.Outcome, failure attempt.Outcome) bool {
	failure.Detail = "beside a silent upstream: " + failure.Detail
	ended := h.ended(failure)
	ended.broken = outcome == dispatch.Lost && !errors.Is(h.err, service.ErrNotSent)
	if !w.drop(h, ended) {
		return false
	}
	if ended.broken {
		h.e.g.config.Crashes.answerBroken(h.choice.Upstream, h.e.suspect(h.sentAt, h.afterCrash))
	}
	h.e.g.config.Metrics.hedgeEnded(hedgeFails)
	h.e.g.config.Metrics.attemptFailed(failure)
	h.e.g.config.Fleet.RecordEnd(h.e.now(), h.placementID, outcome)
	h.close()
	return true
}

// ended returns the record of the hedge.
func (h *hedge) ended(failure attempt.Outcome) endedHedge {
	record := attemptRecord{choice: h.choice, at: h.chosenAt.Sub(h.e.arrived)}
	record.fail(failure)
	return endedHedge{record: record, incarnation: h.choice.Upstream.Incarnation()}
}

// overtaken returns the record of a hedge that is ended because the other call went on.
func (h *hedge) overtaken() endedHedge {
	return h.ended(attempt.Outcome{Code: result.UpstreamTimeout, Execution: result.Unknown,
		Detail: fmt.Sprintf("beside a silent upstream, which then went on first, after %d ms", h.e.now().Sub(h.sentAt).Milliseconds())})
}

// abandon ends the call without an answer.
func (h *hedge) abandon() {
	h.e.g.config.Metrics.hedgeEnded(hedgeOvertaken)
	h.e.g.config.Fleet.RecordEnd(h.e.now(), h.placementID, dispatch.Abandoned)
	h.close()
}

// close ends the call. What it holds is released once run has returned too.
func (h *hedge) close() {
	h.cancel()
	h.settle()
}

// settle releases what the call holds the second time it is called: by run and by close.
func (h *hedge) settle() {
	if h.closedBy.Add(1) != 2 {
		return
	}
	if h.answer != nil {
		h.answer.Body.Close()
	}
	if h.reservation != nil {
		h.reservation.release()
	}
	h.releaseClient()
}

// takeHedge takes the hedge of the current attempt, if there is one, for the next attempt. Its retry has been charged.
func (e *exchange) takeHedge() {
	if e.hedge = e.stall.takeNext(); e.hedge != nil {
		e.retries.prepay()
	}
}

// dropHedge ends a hedge that was not needed.
func (e *exchange) dropHedge() {
	if e.hedge != nil {
		e.hedge.abandon()
		e.hedge = nil
	}
}

// countHedges records the hedges that have ended without an answer.
func (e *exchange) countHedges() {
	for _, ended := range e.stall.takeEnded() {
		e.machine.TriedBeside(ended.incarnation)
		if ended.broken {
			e.possibleCrashes++
		}
		e.attempts = slices.Insert(e.attempts, len(e.attempts)-1, ended.record)
	}
}

// chooseHedge makes the hedge's upstream that of the next attempt.
func (e *exchange) chooseHedge() attempt.Action {
	h, now := e.hedge, e.now()
	e.chosenAt, e.grantedAt = h.chosenAt, now
	e.permit = dispatch.GrantedPermit{}
	e.choice, e.placementID = h.choice, h.placementID
	e.attempts = append(e.attempts, attemptRecord{choice: h.choice, at: h.chosenAt.Sub(e.arrived)})
	return e.machine.Chosen(now, attempt.Replica{Agent: h.choice.Upstream.Incarnation()})
}

// continueHedge awaits the answer of the hedge, which has become the current attempt, and handles it to the end.
func (e *exchange) continueHedge(h *hedge) attempt.Action {
	defer h.close()
	e.g.config.Metrics.hedgeEnded(hedgeServes)
	e.sentAt = h.sentAt
	defer e.watch(h.client, h.cancel)()
	<-h.done
	switch {
	case h.refuser.ID != "":
		return e.reservationFailed(h.refuser, h.err)
	case h.err != nil:
		return e.sendFailed(e.stall.explain(h.err))
	}
	e.stall.received(e.now())
	e.events = h.events
	return e.handleAnswer(h.answer)
}
