package commandline

import (
	"context"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
)

// stuck is a process with a request in flight that never ends.
type stuck struct{ draining chan struct{} }

func (s *stuck) Drain(ctx context.Context) {
	close(s.draining)
	<-ctx.Done()
}

func TestSecondSignalEndsTheDrainAtOnce(t *testing.T) {
	signals, done := make(chan os.Signal, 2), make(chan struct{})
	process := &stuck{draining: make(chan struct{})}
	go func() {
		defer close(done)
		DrainOnSignal(signals, process, time.Hour, zerolog.Nop())
	}()
	signals <- syscall.SIGTERM
	<-process.draining
	select {
	case <-done:
		require.Fail(t, "the drain didn't wait")
	default:
	}
	signals <- syscall.SIGTERM
	<-done
}
