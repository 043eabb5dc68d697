package httpserver

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"acaciacleat.example/core/attempt"
	"acaciacleat.example/core/footprint"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
)

// Guards against a drain that closes the connections of requests in flight without an answer, and against
// taking its interruption for a caller that has left.
func TestDrainInterruptsRequestsInFlight(t *testing.T) {
	began := make(chan struct{})
	server := New(Config{Name: "test", Log: zerolog.Nop(), Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		close(began)
		<-r.Context().Done()
		if context.Cause(r.Context()) == attempt.ErrStopping {
			w.WriteHeader(http.StatusBadGateway)
		}
	})})
	address, err := server.Listen("127.0.0.1:0")
	require.NoError(t, err)
	defer server.Close()
	type outcome struct {
		status int
		err    error
	}
	answered := make(chan outcome, 1)
	go func() {
		answer, err := http.Get("http://" + address)
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
	require.Error(t, server.Drain(ctx), "a request was in flight")
	require.True(t, time.Now().Before(deadline.Add(finalAnswerTime)))
	require.Equal(t, outcome{status: http.StatusBadGateway}, <-answered)
}

// Guards against a drain that reads a request over a connection that was open and closes it without an answer, and
// against one that does not end once all connections have.
func TestRequestOverAnOpenConnectionIsAnsweredWhileDraining(t *testing.T) {
	server, address := start(t, time.Second, AuxiliaryLimits)
	unused, used := dial(t, address), dial(t, address)
	reader := bufio.NewReader(used)
	_, err := io.WriteString(used, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\nab")
	require.NoError(t, err)
	require.Eventually(t, func() bool { usage := server.Usage(); return usage.Phases[footprint.Body] == 1 && usage.Conns() == 2 }, waitTimeout, time.Millisecond)
	drained := make(chan error, 1)
	go func() { drained <- server.Drain(t.Context()) }()
	require.Eventually(t, func() bool {
		refused, err := net.Dial("tcp", address)
		if err == nil {
			refused.Close()
		}
		return err != nil
	}, waitTimeout, time.Millisecond)
	_, err = io.WriteString(used, "cd")
	require.NoError(t, err)
	_, err = io.WriteString(unused, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\nabcd")
	require.NoError(t, err)
	for _, connection := range []*bufio.Reader{reader, bufio.NewReader(unused)} {
		answer, err := http.ReadResponse(connection, nil)
		require.NoError(t, err)
		require.True(t, answer.Close)
		body, err := io.ReadAll(answer.Body)
		require.NoError(t, err)
		require.Equal(t, "4", string(body))
		_, err = connection.ReadByte()
		require.ErrorIs(t, err, io.EOF)
	}
	require.NoError(t, <-drained)
}
