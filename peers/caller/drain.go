package caller

import (
	"context"
	"net"
	"net/http"
	"time"

	"acaciacleat.example/core/attempt"
)

// finalAnswerTime is the end of a drain in which requests that are still in flight get their final
// answers.
const finalAnswerTime = 100 * time.Millisecond

// Drainable prepares a server, before it serves, for Drain: the contexts of its requests end with
// attempt.ErrStopping when interrupt is called.
func Drainable(server *http.Server) (interrupt func()) {
	ctx, cancel := context.WithCancelCause(context.Background())
	server.BaseContext = func(net.Listener) context.Context { return ctx }
	return func() { cancel(attempt.ErrStopping) }
}

// Drain closes the server's listeners and waits for requests in flight. Those that last until
// shortly before the deadline of ctx, or until it is cancelled, are interrupted, so that they get a
// final answer instead of a closed connection. It returns an error if there were any.
func Drain(ctx context.Context, server *http.Server, interrupt func()) error {
	graceful := ctx
	if deadline, ok := ctx.Deadline(); ok {
		var cancel context.CancelFunc
		graceful, cancel = context.WithDeadline(ctx, deadline.Add(-finalAnswerTime))
		defer cancel()
	}
	err := server.Shutdown(graceful)
	if err == nil {
		return nil
	}
	interrupt()
	last, cancel := context.WithTimeout(context.WithoutCancel(ctx), finalAnswerTime)
	defer cancel()
	if lastErr := server.Shutdown(last); lastErr != nil {
		return lastErr
	}
	return err
}
