package gateway

import (
	"context"
	"sync/atomic"
	"time"

	"acaciacleat.example/core/routes"
	"github.com/pkg/errors"
)

// errRestarted ends a call to an upstream that has started again since.
var errRestarted = errors.New("the upstream has started again")

// errStalled ends a call to an upstream that has gone silent.
var errStalled = errors.New("the upstream has gone silent")

// A connection can go silent for good and an upstream can take requests and answer none,
// without TCP ever telling. The caller would wait until it leaves. A request that may be
// repeated is taken elsewhere instead, once its upstream has sent this entry nothing at all
// for as long as the figures below; an upstream that is only slow goes on answering others.
const (
	// stallGaps is the number of longest good pauses after which a stream counts as stalled.
	// Callers leave after eight. With three, passes that read long prompts were taken for
	// silence, and the mean worth of Faixa Verde's standard days fell from 0.68 to 0.66.
	stallGaps = 6
	// stallAims is the same for plain services, in aims of an answer.
	stallAims = 2
	// stallExpected is the part of a prediction that is waited for beyond it.
	stallExpected = 2
)

// stallAfter returns how long silence is waited for before an answer or event; zero where
// the request can't go elsewhere.
func (e *exchange) stallAfter() time.Duration {
	switch {
	case !e.route.Repeatable() || !e.mayRetry():
		return 0
	case e.route.Kind == routes.Streaming:
		return stallGaps * e.route.TargetGap
	default:
		return stallAims * e.route.TargetLatency
	}
}

// watch cancels a call once its upstream has been silent for too long, if the request could
// go on elsewhere: an upstream's silence alone is no reason to break off an answer that it
// may still finish. The first event may take as long as was predicted, and more.
type watch struct {
	client *client
	after  time.Duration
	// may tells whether the request could go on elsewhere.
	may    func(now time.Time) bool
	cancel context.CancelFunc
	now    func() time.Time
	// next is when silence may begin to count, in nanoseconds since the epoch.
	next  atomic.Int64
	timer *time.Timer
	// fired says that the call was cancelled.
	fired atomic.Bool
}

// reason names the stall, or the upstream's restart, where err follows from it.
func (w *watch) reason(err error) error {
	if w.client.life.Err() != nil {
		return errors.WithMessage(errRestarted, err.Error())
	}
	if w.fired.Load() {
		return errors.WithMessage(errStalled, err.Error())
	}
	return err
}

// start begins to watch; first is how long the first event may take. After zero it does
// nothing.
func (w *watch) start(first time.Duration) {
	if w.after <= 0 {
		return
	}
	w.next.Store(w.now().Add(first).UnixNano())
	w.timer = time.AfterFunc(first+w.after, w.check)
}

// heard records a sign of life in this call.
func (w *watch) heard(now time.Time) {
	w.client.heard.Store(now.UnixNano())
	w.next.Store(now.UnixNano())
}

// stallAgain is how often it is looked whether a request that its upstream is silent to
// could go elsewhere by now.
const stallAgain = 100 * time.Millisecond

func (w *watch) check() {
	now := w.now()
	since := max(w.next.Load(), w.client.heard.Load())
	silent := now.Sub(time.Unix(0, since))
	switch {
	case silent < w.after:
		w.timer.Reset(w.after - silent)
	case !w.may(now):
		w.timer.Reset(stallAgain)
	default:
		w.fired.Store(true)
		w.cancel()
	}
}

func (w *watch) stop() {
	if w.timer != nil {
		w.timer.Stop()
	}
}
