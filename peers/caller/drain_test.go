package caller

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"acaciacleat.example/core/attempt"
	"github.com/stretchr/testify/require"
)

// Guards against a drain that closes the connections of requests in flight without an answer, and against
// taking its interruption for a caller that has left.
func TestDrainInterruptsRequestsInFlight(t *testing.T) {
	began := make(chan struct{})
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		close(began)
		<-r.Context().Done()
		if context.Cause(r.Context()) == attempt.ErrStopping {
			w.WriteHeader(http.StatusBadGateway)
		}
	}))
	interrupt := Drainable(server.Config)
	server.Start()
	defer server.Close()
	type outcome struct {
		status int
		err    error
	}
	answered := make(chan outcome, 1)
	go func() {
		answer, err := http.Get(server.URL)
		if err != nil {
			answered <- outcome{err: err}
			return
		}
		defer answer.Body.Close()
		_, err = io.Copy(io.Discard, answer.Body)
		answered <- outcome{answer.StatusCode, err}
	}()
	<-began
	ctx, cancel := context.WithTimeout(t.Context(), 2*finalAnswerTime)
	defer cancel()
	deadline, _ := ctx.Deadline()
	require.Error(t, Drain(ctx, server.Config, interrupt), "a request was in flight")
	require.True(t, time.Now().Before(deadline.Add(finalAnswerTime)))
	require.Equal(t, outcome{status: http.StatusBadGateway}, <-answered)
}
