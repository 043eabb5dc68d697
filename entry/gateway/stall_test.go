package gateway

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"acaciacleat.example/peers/service"
	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"
)

// Guards against a call without a connection that counts as one that may have run, because its dial and its
// silence were ended at the same moment.
func TestStalledDialIsProvedNotSent(t *testing.T) {
	restarted, cancel := context.WithCancel(t.Context())
	cancel()
	for name, w := range map[string]*stallWatch{
		"silent":    {client: &client{ctx: t.Context()}},
		"restarted": {client: &client{ctx: restarted}},
	} {
		w.state = callReplaced
		err := w.explain(errors.WithMessage(service.ErrNotSent, "dial"))
		require.ErrorIs(t, err, service.ErrNotSent, name)
		require.Contains(t, err.Error(), "the upstream has", name)
		require.NotErrorIs(t, w.explain(service.ErrOutcomeUnknown), service.ErrNotSent, name)
	}
}

// Guards against a watch that goes on for good, and cancels a later call, because its call ended while it was
// checked or while a cut of its zone was announced.
func TestStoppedStallWatchChecksNoMore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		checks := 0
		w := &stallWatch{client: &client{ctx: t.Context()}, timeout: time.Second, now: time.Now}
		w.hedge = func(*stallWatch, time.Time, string) *hedge {
			checks++
			w.stop()
			return nil
		}
		w.start(0)
		time.Sleep(time.Minute)
		w.timer.Reset(0)
		synctest.Wait()
		require.Equal(t, 1, checks)
	})
}
