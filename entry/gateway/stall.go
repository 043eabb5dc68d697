package gateway

import (
	"context"
	"math"
	"sync"
	"time"

	"acaciacleat.example/core/reachability"
	"acaciacleat.example/core/routes"
	"acaciacleat.example/peers/service"
	"github.com/pkg/errors"
)

// errRestarted is the cause of a call cancelled because its upstream has restarted.
var errRestarted = errors.New("the upstream has started again")

// errStalled is the cause of a call cancelled because its upstream has gone silent and another one answers.
var errStalled = errors.New("the upstream has gone silent")

// A connection can go silent for good, and an upstream can accept requests without answering
// any, and TCP reports neither. The caller would wait until it gives up. A request that may be
// repeated is therefore hedged once its upstream has sent this entry nothing at all for the times
// below. An upstream that is merely slow still answers other requests.
const (
	// stallGaps is the number of target gaps after which a stream counts as stalled. Callers
	// give up after eight; with three, an engine's passes over long prompts were mistaken for
	// silence.
	stallGaps = 6
	// stallPauses is the number of the engine's own pauses after which its stream counts as stalled. An engine
	// whose pauses are longer than the target is late, and not silent.
	stallPauses = 3
	// stallSeenPauses is the number of the longest pauses of the same answer after which it counts as stalled, up to
	// stallPatience of the caller's patience.
	stallSeenPauses = 2
	stallPatience   = 0.75
	// stallTargets is the number of target latencies after which an answer of a plain service
	// counts as stalled.
	stallTargets = 2
	// stallPredictions is the number of predicted times to the first event after which silence
	// begins to count.
	stallPredictions = 2
)

// stallAfter returns after how much silence, before the answer or between events, the request
// is hedged. It returns zero if it can't be.
func (e *exchange) stallAfter() time.Duration {
	switch {
	case !e.route.Repeatable() || !e.mayRetry():
		return 0
	case e.route.Kind == routes.Streaming:
		return max(stallGaps*e.route.TargetGap, stallPauses*e.choice.Explanation.FullPause)
	default:
		return stallTargets * e.route.TargetLatency
	}
}

// stallWatch hedges a call whose upstream has been silent for too long: it sends the request to another upstream as
// well. Silence alone is no reason to end a call that may still be answered, so whichever of the two upstreams sends
// something first serves the request, and the other call is ended. Silence before the first event counts only after the
// duration that is given to start.
type stallWatch struct {
	client  *client
	timeout time.Duration
	// maxTimeout bounds the timeout where the answer's own pauses are long.
	maxTimeout time.Duration
	// hedge sends the request to another upstream, to go on after the event with the given id. It returns nil if none
	// can take the request now.
	hedge  func(w *stallWatch, now time.Time, lastEventID string) *hedge
	cancel context.CancelFunc
	now    func() time.Time
	// zone is the upstream's zone, zones says whether it can be reached.
	zone  string
	zones *ZoneWatch
	timer *time.Timer

	mu    sync.Mutex
	state watchState
	// silentSince is the time from which silence counts. paused is set while the caller takes what was received.
	silentSince time.Time
	paused      bool
	// receivedAt is when the call last received data, longestPause the longest time between two such moments.
	receivedAt   time.Time
	longestPause time.Duration
	lastEventID  string
	// unresumable is set while the caller has events and none of them has an id after which another upstream could go on.
	unresumable bool
	// hedging is set while hedge is called. next is the hedge in progress, ended are those before.
	hedging bool
	next    *hedge
	ended   []endedHedge
}

// watchState is the state of a stallWatch.
type watchState uint8

const (
	// callWatched is the state while the call serves the request.
	callWatched watchState = iota
	// callReplaced means that a hedge serves the request. What the call still receives is dropped.
	callReplaced
	// callEnded means that the call has ended.
	callEnded
)

// explain adds the stall or the upstream's restart to err if it was the cause. An error that proves that
// nothing was sent goes on proving it.
func (w *stallWatch) explain(err error) error {
	var cause error
	switch {
	case w.client.ctx.Err() != nil:
		cause = errRestarted
	case w.isReplaced():
		cause = errStalled
	default:
		return err
	}
	if errors.Is(err, service.ErrNotSent) {
		return errors.WithMessage(err, cause.Error())
	}
	return errors.WithMessage(cause, err.Error())
}

// isReplaced reports whether a hedge has taken the call's place.
func (w *stallWatch) isReplaced() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.state == callReplaced
}

// start starts the watch. first is how long the upstream may take before silence counts. If
// timeout is zero, start does nothing.
func (w *stallWatch) start(first time.Duration) {
	if w.timeout <= 0 {
		return
	}
	w.silentSince = w.now().Add(first)
	w.timer = time.AfterFunc(math.MaxInt64, w.check)
	w.timer.Reset(first + w.timeout) // check uses the timer, so it is set before it may expire.
}

// received records that this call has received data, and ends a hedge. It reports false if a hedge has taken the
// call's place: the data must be dropped.
func (w *stallWatch) received(now time.Time) bool {
	w.client.lastReceived.Store(now.UnixNano())
	if w.timer == nil {
		return true
	}
	w.mu.Lock()
	if w.state == callReplaced {
		w.mu.Unlock()
		return false
	}
	if !w.receivedAt.IsZero() {
		w.longestPause = max(w.longestPause, now.Sub(w.receivedAt))
	}
	w.receivedAt, w.silentSince = now, now
	late := w.next
	w.next = nil
	if late != nil {
		w.ended = append(w.ended, late.overtaken())
	}
	w.mu.Unlock()
	if late != nil {
		late.abandon()
	}
	return true
}

// pause stops the watch while the caller takes what was received, during which nothing is read from the upstream.
func (w *stallWatch) pause() {
	if w.timer == nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.paused = true
}

// resume continues the watch. lastEventID is the id of the last event that the caller has.
func (w *stallWatch) resume(now time.Time, lastEventID string) {
	if w.timer == nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.paused, w.lastEventID, w.unresumable = false, lastEventID, lastEventID == ""
	w.receivedAt, w.silentSince = now, now
}

// stallRecheckInterval is the interval at which a stalled call that can't be hedged yet is checked again.
const stallRecheckInterval = 100 * time.Millisecond

// check hedges the call if the upstream has been silent for the timeout, and schedules the next check.
func (w *stallWatch) check() {
	now := w.now()
	due, lastEventID, again := w.hedgeDue(now)
	if due {
		w.hedged(w.hedge(w, now, lastEventID), now)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.state == callWatched {
		w.timer.Reset(again)
	}
}

// hedgeDue reports whether the call is to be hedged now, the id of the event after which the hedge goes on, and in what
// time to check again.
func (w *stallWatch) hedgeDue(now time.Time) (due bool, lastEventID string, again time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.state != callWatched {
		return false, "", 0
	}
	since := w.silentSince
	if elsewhere := time.Unix(0, w.client.lastReceived.Load()); elsewhere.After(since) {
		since = elsewhere
	}
	silent, timeout := now.Sub(since), w.expectedSilence()
	switch {
	case w.paused:
		return false, "", timeout
	case silent < timeout:
		return false, "", timeout - silent
	case w.next != nil, w.hedging, w.unresumable:
		return false, "", stallRecheckInterval
	default:
		w.hedging = true
		return true, w.lastEventID, stallRecheckInterval
	}
}

// expectedSilence returns after how much silence the call counts as stalled. It is called with mu held.
func (w *stallWatch) expectedSilence() time.Duration {
	timeout := max(w.timeout, min(stallSeenPauses*w.longestPause, w.maxTimeout))
	if w.zones.cut(w.zone) {
		timeout = min(timeout, reachability.SuspectAfter)
	}
	return timeout
}

// hedged takes note of a hedge that was begun at a time, or of nil if there is none. The hedge is ended if the call has
// received data since, or has ended.
func (w *stallWatch) hedged(h *hedge, at time.Time) {
	w.mu.Lock()
	w.hedging = false
	late := w.state != callWatched || w.paused || w.silentSince.After(at)
	if !late {
		w.next = h
	}
	w.mu.Unlock()
	switch {
	case h == nil:
	case late:
		h.abandon()
		close(h.done)
		h.settle()
	default:
		go h.run(w)
	}
}

// replaceBy has a hedge that has begun to answer take the call's place.
func (w *stallWatch) replaceBy(h *hedge) {
	w.mu.Lock()
	wins := w.state == callWatched && w.next == h
	if wins {
		w.state = callReplaced
	}
	w.mu.Unlock()
	if wins {
		w.cancel()
	}
}

// drop takes note of a hedge that has ended without an answer. It reports false if the hedge is no longer the call's
// own, but that of the exchange, or was abandoned.
func (w *stallWatch) drop(h *hedge, ended endedHedge) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.state != callWatched || w.next != h {
		return false
	}
	w.next = nil
	w.ended = append(w.ended, ended)
	return true
}

// takeNext stops the watch and returns its hedge, which then belongs to the exchange, or nil.
func (w *stallWatch) takeNext() *hedge {
	if w == nil || w.timer == nil {
		return nil
	}
	w.timer.Stop()
	w.mu.Lock()
	defer w.mu.Unlock()
	next := w.next
	w.next = nil
	if w.state == callWatched {
		w.state = callEnded
	}
	return next
}

// takeEnded returns the hedges that have ended without an answer since the last call.
func (w *stallWatch) takeEnded() []endedHedge {
	if w == nil || w.timer == nil {
		return nil
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	ended := w.ended
	w.ended = nil
	return ended
}

// stop stops the watch and ends its hedge.
func (w *stallWatch) stop() {
	if next := w.takeNext(); next != nil {
		w.mu.Lock()
		w.ended = append(w.ended, next.overtaken())
		w.mu.Unlock()
		next.abandon()
	}
}
