package gateway

import (
	"context"
	"math"
	"sync/atomic"
	"time"

	"acaciacleat.example/core/reachability"
	"acaciacleat.example/core/routes"
	"acaciacleat.example/peers/service"
	"github.com/pkg/errors"
)

// errRestarted is the cause of a call cancelled because its upstream has restarted.
var errRestarted = errors.New("the upstream has started again")

// errStalled is the cause of a call cancelled because its upstream has gone silent.
var errStalled = errors.New("the upstream has gone silent")

// A connection can go silent for good, and an upstream can accept requests without answering
// any, and TCP reports neither. The caller would wait until it gives up. A request that may be
// repeated moves to another upstream instead once its upstream has sent this entry nothing at
// all for the times below. An upstream that is merely slow still answers other requests.
const (
	// stallGaps is the number of target gaps after which a stream counts as stalled. Callers
	// give up after eight; with three, an engine's passes over long prompts were mistaken for
	// silence.
	stallGaps = 6
	// stallPauses is the number of the engine's own pauses after which its stream counts as stalled. An engine
	// whose pauses are longer than the target is late, and not silent.
	stallPauses = 3
	// stallTargets is the number of target latencies after which an answer of a plain service
	// counts as stalled.
	stallTargets = 2
	// stallPredictions is the number of predicted times to the first event after which silence
	// begins to count.
	stallPredictions = 2
)

// stallAfter returns after how much silence, before the answer or between events, the request
// moves to another upstream. It returns zero if the request can't move.
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

// stallWatch cancels a call whose upstream has been silent for too long, provided that the
// request can move to another upstream: silence alone is no reason to break off an answer that
// the upstream may still finish. Silence before the first event counts only after the duration
// that is given to start.
type stallWatch struct {
	client  *client
	timeout time.Duration
	// canMove reports whether the request could move to another upstream.
	canMove func(now time.Time) bool
	cancel  context.CancelFunc
	now     func() time.Time
	// zone is the upstream's zone, zones says whether it can be reached.
	zone  string
	zones *ZoneWatch
	// silentSince is the time from which silence counts, in nanoseconds since the Unix epoch.
	silentSince atomic.Int64
	timer       *time.Timer
	// fired reports whether the call was cancelled, stopped whether it has ended.
	fired   atomic.Bool
	stopped atomic.Bool
}

// explain adds the stall or the upstream's restart to err if it was the cause. An error that proves that
// nothing was sent goes on proving it.
func (w *stallWatch) explain(err error) error {
	var cause error
	switch {
	case w.client.ctx.Err() != nil:
		cause = errRestarted
	case w.fired.Load():
		cause = errStalled
	default:
		return err
	}
	if errors.Is(err, service.ErrNotSent) {
		return errors.WithMessage(err, cause.Error())
	}
	return errors.WithMessage(cause, err.Error())
}

// start starts the watch. first is how long the upstream may take before silence counts. If
// timeout is zero, start does nothing.
func (w *stallWatch) start(first time.Duration) {
	if w.timeout <= 0 {
		return
	}
	w.silentSince.Store(w.now().Add(first).UnixNano())
	w.timer = time.AfterFunc(math.MaxInt64, w.check)
	w.timer.Reset(first + w.timeout) // check uses the timer, so it is set before it may expire.
}

// received records that this call has received data.
func (w *stallWatch) received(now time.Time) {
	w.client.lastReceived.Store(now.UnixNano())
	w.silentSince.Store(now.UnixNano())
}

// stallRecheckInterval is the interval at which a stalled request that can't yet move to
// another upstream is checked again.
const stallRecheckInterval = 100 * time.Millisecond

// check cancels the call if the upstream has been silent for the timeout and the request can move
// to another one. Otherwise it schedules the next check.
func (w *stallWatch) check() {
	if w.stopped.Load() {
		return // The timer was reset while the watch was stopped.
	}
	now := w.now()
	since := max(w.silentSince.Load(), w.client.lastReceived.Load())
	silent := now.Sub(time.Unix(0, since))
	timeout := w.timeout
	if w.zones.cut(w.zone) {
		timeout = min(timeout, reachability.SuspectAfter)
	}
	switch {
	case silent < timeout:
		w.timer.Reset(timeout - silent)
	case !w.canMove(now):
		w.timer.Reset(stallRecheckInterval)
	default:
		w.fired.Store(true)
		w.cancel()
	}
}

func (w *stallWatch) stop() {
	w.stopped.Store(true)
	if w.timer != nil {
		w.timer.Stop()
	}
}
