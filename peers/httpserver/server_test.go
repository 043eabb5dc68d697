package httpserver

import (
	"bufio"
	"errors"
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

const (
	maxBody = 1 << 20
	// waitTimeout bounds each wait for an expected event.
	waitTimeout = 10 * time.Second
)

var testLimits = Limits{HeadBytes: 16 << 10, HeadTimeout: 300 * time.Millisecond, IdleTimeout: time.Second}

// start serves requests with whole bodies, which must arrive within the given time.
func start(t *testing.T, bodyTimeout time.Duration, bounds footprint.Limits) (*Server, string) {
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/unread" {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		body, err := ReadBody(r, maxBody, time.Now().Add(bodyTimeout))
		switch {
		case err == nil:
			fmt.Fprintf(w, "%d", len(body))
		case errors.Is(err, ErrTooLarge):
			w.WriteHeader(http.StatusRequestEntityTooLarge)
		case errors.Is(err, ErrTooSlow):
			w.WriteHeader(http.StatusRequestTimeout)
		case errors.Is(err, ErrNoRoom):
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	s := New(Config{Name: "test", Handler: handler, Footprint: bounds, Limits: func() Limits { return testLimits }, Log: zerolog.Nop()})
	address, err := s.Listen("127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = s.Close() })
	return s, address
}

func dial(t *testing.T, address string) net.Conn {
	conn, err := net.Dial("tcp", address)
	require.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	require.NoError(t, conn.SetDeadline(time.Now().Add(waitTimeout)))
	return conn
}

// exchange sends text and returns the status and the body of the answer, and whether the connection is closed after it.
func exchange(t *testing.T, conn net.Conn, text string) (status int, body string, closed bool) {
	t.Helper()
	go func() { _, _ = io.WriteString(conn, text) }() // The server may refuse before it has read all.
	answer, err := http.ReadResponse(bufio.NewReader(conn), nil)
	require.NoError(t, err)
	defer answer.Body.Close()
	data, err := io.ReadAll(answer.Body)
	require.NoError(t, err)
	return answer.StatusCode, string(data), answer.Close
}

func post(path, fields, body string) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: x\r\n%s\r\n%s", path, fields, body)
}

var generous = footprint.Limits{Bytes: 64 << 20, Conns: 100}

// Guards against refusing requests within the limits.
func TestRequestsWithinTheLimitsAreServed(t *testing.T) {
	_, address := start(t, waitTimeout, generous)
	whole := strings.Repeat("x", maxBody)
	short := strings.Repeat("x", 1000)
	var manyFields strings.Builder
	for i := 0; manyFields.Len() < testLimits.HeadBytes-100; i++ {
		fmt.Fprintf(&manyFields, "q%d:\r\n", i)
	}
	var chunks strings.Builder
	for range maxBody / 1024 {
		fmt.Fprintf(&chunks, "400\r\n%s\r\n", strings.Repeat("x", 1024))
	}
	for name, text := range map[string]string{
		"whole body":       post("/", fmt.Sprintf("Content-Length: %d\r\n", maxBody), whole),
		"body in chunks":   post("/", "Transfer-Encoding: chunked\r\n", chunks.String()+"0\r\n\r\n"),
		"largest head":     post("/", "Content-Length: 1000\r\n"+manyFields.String(), short),
		"no body":          post("/", "", ""),
		"empty chunks":     post("/", "Transfer-Encoding: chunked\r\n", "0\r\n\r\n"),
		"refused with 404": post("/unread", "Content-Length: 1000\r\n", short),
	} {
		t.Run(name, func(t *testing.T) {
			conn := dial(t, address)
			for range 3 {
				status, _, closed := exchange(t, conn, text)
				require.Equal(t, strings.Contains(name, "404"), status == http.StatusNotFound)
				require.True(t, status == http.StatusOK || status == http.StatusNotFound, status)
				require.False(t, closed)
			}
		})
	}
}

// Guards against waits for a client without an end, and against a refusal that doesn't reach it.
func TestSlowClientsAreRefused(t *testing.T) {
	_, address := start(t, 500*time.Millisecond, generous)
	for text, want := range map[string]int{
		"POST / HT":                             http.StatusRequestTimeout,
		post("/", "Content-Length: 9\r\n", "x"): http.StatusRequestTimeout,
		post("/", "Transfer-Encoding: chunked\r\n", "1\r\n"): http.StatusRequestTimeout,
		post("/unread", "Content-Length: 9\r\n", "x"):        http.StatusNotFound,
	} {
		status, _, closed := exchange(t, dial(t, address), text)
		require.Equal(t, want, status, text)
		require.True(t, closed, text)
	}
	idle := dial(t, address)
	_, err := idle.Read(make([]byte, 1))
	require.ErrorIs(t, err, io.EOF)
}

// Guards against a refusal that is lost because the client is still sending.
func TestLargeRequestsAreRefusedWhileTheyAreSent(t *testing.T) {
	_, address := start(t, waitTimeout, generous)
	body := strings.Repeat("x", 5*maxBody)
	for text, want := range map[string]int{
		post("/", fmt.Sprintf("Content-Length: %d\r\n", len(body)), body):                                  http.StatusRequestEntityTooLarge,
		post("/unread", fmt.Sprintf("Content-Length: %d\r\n", len(body)), body):                            http.StatusNotFound,
		post("/", "Transfer-Encoding: chunked\r\n", fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(body), body)): http.StatusRequestEntityTooLarge,
		post("/", "X: "+body+"\r\n", ""):                                                                   http.StatusRequestHeaderFieldsTooLarge,
	} {
		// The client reads only after it has sent all.
		conn := dial(t, address)
		_, err := io.WriteString(conn, text)
		require.NoError(t, err)
		answer, err := http.ReadResponse(bufio.NewReader(conn), nil)
		require.NoError(t, err)
		require.Equal(t, want, answer.StatusCode)
		require.True(t, answer.Close)
		_ = conn.Close()
	}
}

// Guards against a refusal of a head that is followed by another answer, which says that the request was malformed.
func TestRefusalOfAHeadIsTheOnlyAnswer(t *testing.T) {
	_, address := start(t, waitTimeout, generous)
	_, small := start(t, waitTimeout, footprint.Limits{Bytes: footprint.ConnBytes + 1<<10, Conns: 1})
	long := "X: " + strings.Repeat("x", 2*testLimits.HeadBytes) + "\r\n"
	for text, want := range map[string]struct {
		address string
		status  int
	}{
		"POST / HT":             {address, http.StatusRequestTimeout},
		post("/", long, "")[1:]: {address, http.StatusRequestHeaderFieldsTooLarge},
		post("/", long, ""):     {small, http.StatusServiceUnavailable},
	} {
		conn := dial(t, want.address)
		_, err := io.WriteString(conn, text)
		require.NoError(t, err)
		answers := bufio.NewReader(conn)
		answer, err := http.ReadResponse(answers, nil)
		require.NoError(t, err)
		require.Equal(t, want.status, answer.StatusCode)
		_, err = io.Copy(io.Discard, answer.Body)
		require.NoError(t, err)
		rest, err := io.ReadAll(answers)
		require.NoError(t, err)
		require.Empty(t, string(rest), want.status)
	}
}

// Guards against a refusal for want of memory that waits for the rest of the body.
func TestRefusalForWantOfMemoryComesAtOnce(t *testing.T) {
	_, address := start(t, waitTimeout, footprint.Limits{Bytes: 200 << 10, Conns: 100})
	began := time.Now()
	status, _, closed := exchange(t, dial(t, address), post("/", "Transfer-Encoding: chunked\r\n", "ffff\r\n"+strings.Repeat("x", 40<<10)))
	require.Equal(t, http.StatusServiceUnavailable, status)
	require.True(t, closed)
	require.Less(t, time.Since(began), testLimits.HeadTimeout)
}

// Guards against clients that send requests ahead and take the processor time of those that wait for their answers.
func TestRequestsSentAheadArePaced(t *testing.T) {
	_, address := start(t, waitTimeout, generous)
	conn := dial(t, address)
	const requests = 8
	pauses := firstPause * (1<<(requests-1) - 1)
	began := time.Now()
	_, err := io.WriteString(conn, strings.Repeat(post("/", "Content-Length: 1\r\n", "x"), requests))
	require.NoError(t, err)
	answers := bufio.NewReader(conn)
	for range requests {
		answer, err := http.ReadResponse(answers, nil)
		require.NoError(t, err)
		_, err = io.Copy(io.Discard, answer.Body)
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, answer.StatusCode)
	}
	require.GreaterOrEqual(t, time.Since(began), pauses)
}

// Guards against memory that stays charged after its connection has ended, however that happened.
func TestNothingStaysCharged(t *testing.T) {
	s, address := start(t, 300*time.Millisecond, generous)
	body := strings.Repeat("x", maxBody)
	for _, text := range []string{
		"", "POST", post("/", "Content-Length: 9\r\n", "x"), post("/", fmt.Sprintf("Content-Length: %d\r\n", maxBody), body),
		post("/", fmt.Sprintf("Content-Length: %d\r\n", maxBody), body[1:]), post("/unread", "Content-Length: 90000000\r\n", body),
	} {
		for range 5 {
			conn := dial(t, address)
			_, err := io.WriteString(conn, text)
			require.NoError(t, err)
			go func() { _, _ = io.Copy(io.Discard, conn); _ = conn.Close() }()
		}
	}
	require.Eventually(t, func() bool { return s.Usage().Bytes == 0 }, waitTimeout, 10*time.Millisecond)
}

// Guards against a reader that never reads and keeps its connection.
func TestAnswerThatIsNotReadIsGivenUp(t *testing.T) {
	s := New(Config{
		Name: "test", Limits: func() Limits { return testLimits }, Log: zerolog.Nop(), Footprint: generous,
		Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			for {
				if _, err := w.Write(make([]byte, 1<<20)); err != nil {
					return
				}
			}
		}),
	})
	address, err := s.Listen("127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = s.Close() })
	_, err = io.WriteString(dial(t, address), post("/", "", ""))
	require.NoError(t, err)
	require.Eventually(t, func() bool { return s.Ended()[footprint.NotRead] == 1 && s.Usage().Bytes == 0 }, waitTimeout, 10*time.Millisecond)
}

// Guards against a panic of a handler that only a line of net/http tells of.
func TestPanicsOfHandlersAreCountedAndLogged(t *testing.T) {
	var log logBuffer
	s := New(Config{Name: "callers", Log: zerolog.New(&log), Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch r.URL.Path {
		case "/ends":
			panic(http.ErrAbortHandler)
		case "/panics":
			w.WriteHeader(0)
		}
	})})
	address, err := s.Listen("127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { require.NoError(t, s.Close()) })
	for path, served := range map[string]bool{"/": true, "/ends": false, "/panics": false} {
		response, err := http.Get("http://" + address + path)
		require.Equal(t, served, err == nil, path)
		if err == nil {
			require.NoError(t, response.Body.Close())
		}
	}
	require.EqualValues(t, 1, s.Panics())
	require.Equal(t, 1, strings.Count(log.String(), "has panicked"))
	require.Contains(t, log.String(), "/panics")
}
