package service_test

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"acaciacleat.example/core/eventstream"
	"acaciacleat.example/peers/framing"
	"acaciacleat.example/peers/service"
	"acaciacleat.example/standin/ending"
	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"
)

// Guards against an answer, cut off after any of its bytes, that reads like a complete one.
func TestAnswerCutAtAnyByteIsComplete(t *testing.T) {
	const stream = "id: 1\ndata: a\n\n: wait\n\nid: 2\r\ndata: b\r\n\r\n"
	const pending = ": wait\n\n"
	completeAt := map[int]bool{15: true, 15 + len(pending) - 1: true, 15 + len(pending): true, len(stream) - 1: true, len(stream): true}
	for _, by := range []framing.Framing{framing.Length, framing.Chunks, framing.Close} {
		for _, contentType := range []string{eventstream.ContentType + "; charset=utf-8", "", "application/json"} {
			for cut := range len(stream) + 1 {
				for _, reset := range []bool{false, true} {
					end := ending.Ending{Framing: by, Cut: ending.BetweenEvents, Reset: reset}
					if cut == len(stream) {
						if reset && by != framing.Close {
							continue // The reset may come before or after the client has read the end.
						}
						end.Cut = ending.Whole
					}
					events := contentType != "application/json"
					want := !reset && (cut == len(stream) || by == framing.Close && (!events || completeAt[cut]))
					t.Run(fmt.Sprint(by, contentType, cut, reset), func(t *testing.T) {
						require.Equal(t, want, readsComplete(t, stream, cut, contentType, end))
					})
				}
			}
		}
	}
}

// readsComplete reports whether the client reads a stream, cut off after some bytes, to io.EOF.
func readsComplete(t *testing.T, stream string, cut int, contentType string, end ending.Ending) bool {
	pieces := [][]byte{[]byte(stream[:cut]), []byte(stream[cut:])}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body) // Closing a connection with unread bytes resets it.
		if contentType != "" {
			w.Header().Set("Content-Type", contentType)
		}
		_ = ending.Write(w, http.StatusOK, pieces, end) // The client may have disconnected.
	}))
	defer server.Close()
	client := service.NewHTTP(server.URL)
	defer client.CloseIdle()
	call := newCall("POST", "/ask", "question")
	call.EventStream = true
	answer, err := client.Do(t.Context(), call)
	if err != nil {
		require.ErrorIs(t, err, service.ErrOutcomeUnknown)
		return false
	}
	defer answer.Body.Close()
	require.Equal(t, end.Framing, answer.Framing)
	body, err := io.ReadAll(answer.Body)
	if err == nil {
		require.Equal(t, stream[:cut], string(body))
		return true
	}
	require.ErrorIs(t, err, service.ErrOutcomeUnknown)
	require.Equal(t, !end.Reset && end.Framing == framing.Close, errors.Is(err, service.ErrTruncated))
	return false
}
