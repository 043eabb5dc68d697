package httpserver

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
)

// startWith serves a handler with generous bounds and the given limits.
func startWith(t *testing.T, limits func() Limits, handler http.HandlerFunc) (*Server, string) {
	s := New(Config{Name: "test", Handler: handler, Footprint: generous, Limits: limits, Log: zerolog.New(zerolog.NewTestWriter(t))})
	address, err := s.Listen("127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = s.Close() })
	return s, address
}

func defaultLimits() Limits { return DefaultLimits }

// Guards against a connection that seems to be kept and is closed soon, because its handler neither answered nor read a body.
func TestBodyThatIsLeftBehindWithoutAnAnswerClosesTheConnection(t *testing.T) {
	_, address := startWith(t, defaultLimits, func(http.ResponseWriter, *http.Request) {})
	for length, closes := range map[int]bool{100: false, shortBody + 1: true} {
		status, _, closed := exchange(t, dial(t, address), post("/", withLength(strings.Repeat("x", length)), strings.Repeat("x", length)))
		require.Equal(t, http.StatusOK, status)
		require.Equal(t, closes, closed, length)
	}
}

func withLength(body string) string { return fmt.Sprintf("Content-Length: %d\r\n", len(body)) }
