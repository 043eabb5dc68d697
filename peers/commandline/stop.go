package commandline

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/rs/zerolog"
)

// Signals returns a channel of the signals that stop a process, and a function that
// unregisters it.
func Signals() (signals <-chan os.Signal, release func()) {
	received := make(chan os.Signal, 2)
	signal.Notify(received, syscall.SIGTERM, syscall.SIGINT)
	return received, func() { signal.Stop(received) }
}

// Drainer is a process that can stop gracefully.
type Drainer interface {
	// Drain rejects new requests, waits for in-flight requests until ctx ends, and stops.
	Drain(ctx context.Context)
}

// DrainOnSignal waits for a signal and then drains process for at most limit. A second
// signal ends the drain at once.
func DrainOnSignal(signals <-chan os.Signal, process Drainer, limit time.Duration, log zerolog.Logger) {
	first := <-signals
	log.Info().Stringer("signal", first).Dur("limit_ms", limit).Msg("stopping: waiting for in-flight requests")
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
