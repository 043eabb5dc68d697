package httpserver

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"acaciacleat.example/core/footprint"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
)

// logBuffer holds log lines that may be read while others are written.
type logBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

// Write implements io.Writer.
func (b *logBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(p)
}

// String returns all lines so far.
func (b *logBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.String()
}

// startLogged serves requests whose bodies it reads, with a log.
func startLogged(t *testing.T) (s *Server, address string, lines func() []map[string]any) {
	var log logBuffer
	s = New(Config{
		Name: "test", Limits: func() Limits { limits := testLimits; limits.Version = 7; return limits },
		Log: zerolog.New(&log), Footprint: generous,
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body)
			w.WriteHeader(http.StatusNoContent)
		}),
	})
	address, err := s.Listen("127.0.0.1:0")
	require.NoError(t, err)
	return s, address, func() (all []map[string]any) {
		require.NoError(t, s.Close())
		for _, text := range strings.Split(strings.TrimSpace(log.String()), "\n") {
			var line map[string]any
			require.NoError(t, json.Unmarshal([]byte(text), &line), text)
			if line["from"] != nil {
				all = append(all, line)
			}
		}
		return all
	}
}

// Guards against answers of the HTTP library that nothing tells of, and against a line that shows a key.
func TestAnswersOfTheLibraryAreCountedAndLogged(t *testing.T) {
	s, address, lines := startLogged(t)
	texts := map[int]string{
		http.StatusBadRequest:              "GET /path?secret HTTP/1.1\r\nKey: secret\r\n\r\n",
		http.StatusExpectationFailed:       "GET /path HTTP/1.1\r\nHost: a\r\nExpect: secret\r\n\r\n",
		http.StatusNotImplemented:          "PUT /path HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: secret\r\n\r\n",
		http.StatusHTTPVersionNotSupported: "GET /path HTTP/2.0\r\nHost: a\r\n\r\n",
	}
	for status, text := range texts {
		got, _, closed := exchange(t, dial(t, address), text)
		require.Equal(t, status, got)
		require.True(t, closed)
		require.EqualValues(t, 1, s.Unread(status))
	}
	require.EqualValues(t, len(texts), s.UnreadTotal())
	all := lines()
	require.Len(t, all, len(texts))
	for _, line := range all {
		require.Contains(t, texts, int(line["status"].(float64)))
		require.Equal(t, "test", line["listener"])
		require.Contains(t, line["head"], "/path")
		require.EqualValues(t, 0, line["served"])
		require.NotContains(t, line["head"], "secret")
	}
}

// Guards against a line that doesn't tell what came before bytes that can't be read.
func TestLineOnUnreadBytesTellsOfTheRequestBefore(t *testing.T) {
	s, address, lines := startLogged(t)
	conn := dial(t, address)
	for range 2 {
		status, _, _ := exchange(t, conn, post("/", "Transfer-Encoding: chunked\r\n", "1\r\nx\r\n0\r\n\r\n"))
		require.Equal(t, http.StatusNoContent, status)
		require.Eventually(t, func() bool { return s.Usage().Phases[footprint.Idle] == 1 }, waitTimeout, time.Millisecond)
	}
	_, err := io.WriteString(conn, "Key: secret9\r\n\r\n")
	require.NoError(t, err)
	_, _ = io.Copy(io.Discard, conn)
	require.EqualValues(t, 1, s.Unread(http.StatusBadRequest))
	all := lines()
	require.Len(t, all, 1)
	require.EqualValues(t, 2, all[0]["served"])
	require.EqualValues(t, -1, all[0]["last_length"])
	require.EqualValues(t, http.StatusNoContent, all[0]["last_status"])
	require.Equal(t, http.MethodPost, all[0]["last_method"])
	require.Equal(t, `"aaa: aaaaaa0\r\n\r\n"`, all[0]["head"])
}

// Guards against the refusal of a head by a limit that no line names.
func TestRefusedHeadsAreLoggedWithTheirLimit(t *testing.T) {
	_, address, lines := startLogged(t)
	status, _, _ := exchange(t, dial(t, address), post("/path", "X: "+strings.Repeat("x", 2*testLimits.HeadBytes)+"\r\n", ""))
	require.Equal(t, http.StatusRequestHeaderFieldsTooLarge, status)
	status, _, _ = exchange(t, dial(t, address), "POST /path HT")
	require.Equal(t, http.StatusRequestTimeout, status)
	all := lines()
	require.Len(t, all, 2)
	require.Equal(t, "head_too_large", all[0]["reason"])
	require.Equal(t, "head_timeout", all[1]["reason"])
	for _, line := range all {
		require.EqualValues(t, testLimits.HeadBytes, line["limit_bytes"])
		require.EqualValues(t, testLimits.HeadTimeout.Milliseconds(), line["limit_ms"])
		require.EqualValues(t, 7, line["limits_version"])
		require.Equal(t, `"POST /path"`, strings.Replace(line["head"].(string), " HT", "", 1))
	}
}

// Guards against counting what handlers answer, or informational answers, as the library's.
func TestAnswersOfHandlersAreNotCountedAsTheLibrarys(t *testing.T) {
	s, address := start(t, waitTimeout, generous)
	conn := dial(t, address)
	for range 3 {
		status, _, _ := exchange(t, conn, post("/unread", "Content-Length: 1\r\n", "x"))
		require.Equal(t, http.StatusNotFound, status)
	}
	status, _, _ := exchange(t, dial(t, address), post("/unread", "Expect: 100-continue\r\nContent-Length: 100\r\n", ""))
	require.Equal(t, http.StatusNotFound, status)
	require.Zero(t, s.UnreadTotal())
}
