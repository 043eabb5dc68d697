package commandline

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/rs/zerolog"
)

// Signals returns the signals that stop a process, and a function that gives them back.
func Signals() (signals <-chan os.Signal, release func()) {
	taken := make(chan os.Signal, 2)
	signal.Notify(taken, syscall.SIGTERM, syscall.SIGINT)
	return taken, func() { signal.Stop(taken) }
}

// Drainer is a process that can stop gracefully.
type Drainer interface {
	// Drain takes no new work, waits for what is in flight until ctx ends, and stops.
	Drain(ctx context.Context)
}

// DrainOnSignal waits for a signal and drains process within limit. A second signal
// cuts the wait short.
func DrainOnSignal(signals <-chan os.Signal, process Drainer, limit time.Duration, log zerolog.Logger) {
	first := <-signals
	log.Info().Stringer("signal", first).Dur("limit_ms", limit).Msg("stopping: finishing what is in flight")
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	drained := make(chan struct{})
	go func() {
		defer close(drained)
		process.Drain(ctx)
	}()
	select {
	case <-drained:
		log.Info().Msg("stopped")
		return
	case second := <-signals:
		log.Warn().Stringer("signal", second).Msg("stopping at once")
	}
	cancel()
	<-drained
}
