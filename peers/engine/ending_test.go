package engine_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"acaciacleat.example/peers/engine"
	"acaciacleat.example/peers/framing"
	"acaciacleat.example/standin/ending"
	"github.com/stretchr/testify/require"
)

// Guards against taking a part of a KV cache for the whole.
func TestTruncatedKVExportIsAnError(t *testing.T) {
	for _, end := range ending.All() {
		t.Run(end.String(), func(t *testing.T) {
			client := startEnding(t, end, "a KV cache")
			data, err := client.ExportKV(t.Context(), 1)
			if end.Cut == ending.Whole && end.Framing != framing.Close {
				require.NoError(t, err)
				require.Equal(t, "a KV cache", string(data))
				return
			}
			require.ErrorIs(t, err, engine.ErrBroken)
		})
	}
}

// Guards against a truncated generation that looks complete.
func TestTruncatedGenerationIsAnError(t *testing.T) {
	const events = `data: {"choices":[{"text":"a","finish_reason":"stop"}]}` + "\n\n"
	for _, end := range ending.All() {
		t.Run(end.String(), func(t *testing.T) {
			client := startEnding(t, end, events, "data: [DONE]\n\n")
			stream, err := client.Generate(t.Context(), request("x", 1))
			for more := true; more && err == nil; {
				_, more, err = stream.Next()
			}
			if end.Cut == ending.Whole {
				require.NoError(t, err)
				return
			}
			require.ErrorIs(t, err, engine.ErrBroken)
		})
	}
}

// startEnding returns a client of an engine whose answers consist of the pieces and end in the given way.
func startEnding(t *testing.T, end ending.Ending, pieces ...string) *engine.HTTP {
	var body [][]byte
	for _, piece := range pieces {
		body = append(body, []byte(piece))
	}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		_ = ending.Write(w, http.StatusOK, body, end) // The client may have disconnected.
	}))
	t.Cleanup(server.Close)
	client := engine.NewHTTP(server.URL)
	t.Cleanup(client.CloseIdle)
	return client
}
