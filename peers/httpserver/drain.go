package httpserver

import (
	"context"
	"net"
	"net/http"
	"time"

	"acaciacleat.example/core/attempt"
	"github.com/pkg/errors"
)

const (
	// finalAnswerTime is the end of a drain in which requests that are still in flight get their final
	// answers.
	finalAnswerTime = 100 * time.Millisecond
	// drainInterval is the interval at which a drain closes idle connections and looks for those that are left.
	drainInterval = 10 * time.Millisecond
)

// errInFlight is the error of a drain at the end of which requests were in flight.
var errInFlight = errors.New("requests were in flight")

// Drain closes the listener and idle connections, and waits for requests in flight. A request that comes over a
// connection that was open is still served: http.Server.Shutdown would read it and close the connection without an
// answer. Requests that last until shortly before the deadline of ctx, or until it is cancelled, are interrupted, so that
// they get a final answer instead of a closed connection: their contexts end with attempt.ErrStopping. It returns an
// error if there were any.
func (s *Server) Drain(ctx context.Context) error {
	graceful := ctx
	if deadline, ok := ctx.Deadline(); ok {
		var cancel context.CancelFunc
		graceful, cancel = context.WithDeadline(ctx, deadline.Add(-finalAnswerTime))
		defer cancel()
	}
	if err := s.listener.Close(); err != nil {
		s.config.Log.Debug().Err(err).Str("listener", s.config.Name).Msg("listener could not be closed")
	}
	if s.awaitConnections(graceful) {
		return nil
	}
	s.interrupt(attempt.ErrStopping)
	last, cancel := context.WithTimeout(context.WithoutCancel(ctx), finalAnswerTime)
	defer cancel()
	s.awaitConnections(last)
	return errInFlight
}

// awaitConnections closes connections as they become idle. It reports whether all have ended before ctx has.
func (s *Server) awaitConnections(ctx context.Context) bool {
	ticker := time.NewTicker(drainInterval)
	defer ticker.Stop()
	for {
		s.http.SetKeepAlivesEnabled(false) // Closes idle connections each time.
		if s.ledger.Usage().Conns() == 0 {
			return true
		}
		select {
		case <-ctx.Done():
			return false
		case <-ticker.C:
		}
	}
}

// interruptible makes the contexts of requests end when interrupt is called.
func interruptible(server *http.Server) (interrupt context.CancelCauseFunc) {
	ctx, cancel := context.WithCancelCause(context.Background())
	server.BaseContext = func(net.Listener) context.Context { return ctx }
	return cancel
}
