package server

import (
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"acaciacleat.example/core/call"
	"acaciacleat.example/core/result"
	"acaciacleat.example/peers/service"
	"acaciacleat.example/standin/ending"
	"github.com/stretchr/testify/require"
)

// Guards against a truncated event stream of a plain service that the entry gets as a complete answer.
func TestTruncatedEventStreamOfPlainServiceFails(t *testing.T) {
	events := [][]byte{[]byte("data: 1\n\n"), []byte("data: 2\n\n")}
	for _, end := range ending.All() {
		t.Run(end.String(), func(t *testing.T) {
			plain := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				_, _ = io.Copy(io.Discard, r.Body)
				w.Header().Set("Content-Type", "text/event-stream")
				_ = ending.Write(w, http.StatusOK, events, end) // The agent may have disconnected.
			}))
			t.Cleanup(plain.Close)
			client := service.NewHTTP(plain.URL)
			t.Cleanup(client.CloseIdle)
			s := startServer(t, func(c *Config) { c.Engine, c.Plain = nil, client })
			e := dialEntry(t, "entry", s)
			offer := offerOf(call.ID{1}, s, false)
			offer.Plain, offer.Method, offer.Path = true, http.MethodPost, "/x"
			require.NoError(t, e.conn.Send(offer))
			e.await(t, "the end", func() bool { return e.answered(offer.ID) })
			require.Equal(t, end.Complete(true), e.end(offer.ID).Code == result.OK, e.end(offer.ID).Detail)
		})
	}
}
