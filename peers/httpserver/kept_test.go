package httpserver

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"acaciacleat.example/core/footprint"
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

// answersTo sends text on a connection, closes the sending side if ended is set, and returns the statuses of all answers
// until the connection ends.
func answersTo(t *testing.T, conn net.Conn, text string, ended bool) (statuses []int) {
	t.Helper()
	_, err := io.WriteString(conn, text)
	require.NoError(t, err)
	if ended {
		require.NoError(t, conn.(*net.TCPConn).CloseWrite())
	}
	answers := bufio.NewReader(conn)
	for {
		answer, err := http.ReadResponse(answers, nil)
		if err != nil {
			require.ErrorIs(t, err, io.ErrUnexpectedEOF)
			return statuses
		}
		_, err = io.Copy(io.Discard, answer.Body)
		require.NoError(t, err)
		statuses = append(statuses, answer.StatusCode)
	}
}

// Guards against calling a request wrong of which only the beginning has arrived, and against losing the answer to a
// whole one before it.
func TestHeadThatEndsInItsMiddleIsNotAnswered(t *testing.T) {
	s, address := startWith(t, defaultLimits, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) })
	whole := "GET / HTTP/1.1\r\nHost: a\r\nOther: b\r\n\r\n"
	for cut := range len(whole) {
		require.Empty(t, answersTo(t, dial(t, address), whole[:cut], true), cut)
		require.Equal(t, []int{http.StatusNoContent}, answersTo(t, dial(t, address), whole+whole[:cut], true), cut)
	}
	require.Zero(t, s.UnreadTotal())
}

// Guards against counting the heads of requests for the server as a whole to the one that follows, and against waiting for
// the rest of such a head after its answer.
func TestOptionsOfTheServerLeaveNothingBehind(t *testing.T) {
	handled := 0
	s, address := startWith(t, func() Limits { return testLimits }, func(w http.ResponseWriter, _ *http.Request) { handled++ })
	conn := dial(t, address)
	fields := "X: " + strings.Repeat("x", testLimits.HeadBytes/4) + "\r\n"
	for range 8 {
		status, body, closed := exchange(t, conn, "OPTIONS * HTTP/1.1\r\nHost: a\r\n"+fields+"\r\n")
		require.Equal(t, http.StatusOK, status)
		require.Empty(t, body)
		require.False(t, closed)
	}
	require.Zero(t, handled)
	status, _, _ := exchange(t, conn, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
	require.Equal(t, http.StatusOK, status)
	status, _, _ = exchange(t, conn, "OPTIONS * HTTP/1.1\r\nHost: a\r\n\r\n")
	require.Equal(t, http.StatusOK, status)
	require.Eventually(t, func() bool { return s.Usage().Phases[footprint.Idle] == 1 }, waitTimeout, time.Millisecond)
}

// Guards against taking an empty line before a request for a malformed one, or for the beginning of a head that must arrive
// in time.
func TestEmptyLinesBeforeARequestAreIgnored(t *testing.T) {
	idle := make(chan struct{}, 1)
	s := New(Config{
		Name: "test", Footprint: generous, Log: zerolog.Nop(),
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { fmt.Fprint(w, r.Method) }),
	})
	s.http.ConnState = func(conn net.Conn, state http.ConnState) {
		trackState(conn, state)
		if state == http.StateIdle {
			idle <- struct{}{}
		}
	}
	address, err := s.Listen("127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = s.Close() })
	for _, first := range []string{"GET", "PUT", "POST", "DELETE"} {
		for _, second := range []string{"GET", "PUT", "POST", "DELETE"} {
			for _, lines := range []string{"\r\n", "\n", "\r\n\r\n"} {
				conn := dial(t, address)
				_, err := io.WriteString(conn, lines)
				require.NoError(t, err)
				for _, method := range []string{first, second} {
					status, body, closed := exchange(t, conn, method+" / HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\n\r\nx")
					require.Equal(t, http.StatusOK, status, "%s, %s, %q", first, second, lines)
					require.Equal(t, method, body)
					require.False(t, closed)
					<-idle
					_, err = io.WriteString(conn, lines)
					require.NoError(t, err)
				}
				require.NoError(t, conn.Close())
			}
		}
	}
	require.Zero(t, s.UnreadTotal())
}

// Guards against calling a request wrong for bytes on a connection that has served others.
func TestBytesThatAreNoRequestEndAKeptConnectionWithoutAnAnswer(t *testing.T) {
	s, address := startWith(t, defaultLimits, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) })
	whole := "GET / HTTP/1.1\r\nHost: a\r\n\r\n"
	unread := []string{"left: over\r\n\r\n", "GET /\r\n\r\n", "0\r\n\r\n" + whole, "\x00\x01\x02\r\n", "GET / HTTP/1.1\r\n\r\n", "GET / HTTP/1.1\r\nHost: a\r\nb\r\n\r\n"}
	for _, text := range unread {
		require.Equal(t, []int{http.StatusBadRequest}, answersTo(t, dial(t, address), text, false), text)
		require.Equal(t, []int{http.StatusNoContent, http.StatusNoContent}, answersTo(t, dial(t, address), whole+whole+text, false), text)
	}
	require.EqualValues(t, 2*len(unread), s.Unread(http.StatusBadRequest))
	supported := "GET / HTTP/1.1\r\nHost: a\r\nExpect: other\r\n\r\n"
	require.Equal(t, []int{http.StatusNoContent, http.StatusExpectationFailed}, answersTo(t, dial(t, address), whole+supported, false))
}
