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

// blockedDrainer is a process with an in-flight request that never ends.
type blockedDrainer struct{ draining chan struct{} }

func (s *blockedDrainer) Drain(ctx context.Context) {
	close(s.draining)
	<-ctx.Done()
}

func TestSecondSignalEndsDrainAtOnce(t *testing.T) {
	signals, done := make(chan os.Signal, 2), make(chan struct{})
	process := &blockedDrainer{draining: make(chan struct{})}
	go func() {
		defer close(done)
		DrainOnSignal(signals, process, time.Hour, zerolog.Nop())
	}()
	signals <- syscall.SIGTERM
	<-process.draining
	select {
	case <-done:
		require.Fail(t, "the drain did not wait for the in-flight request")
	default:
	}
	signals <- syscall.SIGTERM
	<-done
}
