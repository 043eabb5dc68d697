package httpjson

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"acaciacleat.example/standin/faults"
	"acaciacleat.example/standin/relay"
)

var post = Request{Method: http.MethodPost, Path: "/commit", JSON: "body"}

// Guards against taking an error status alone as proof that the call was not executed. The
// status may come from an intermediary, so only a code of the service that matches the
// status counts.
func TestOnlyMatchingCodeProvesNotApplied(t *testing.T) {
	cases := []struct {
		name, body string
		status     int
		code       Code
		notApplied bool
	}{
		{"stated", `{"code":"not-applied"}`, 503, CodeNotApplied, true},
		{"bare 503", "", 503, "", false},
		{"gateway page", "<html>", 503, "", false},
		{"code of another status", `{"code":"not-applied"}`, 500, "", false},
		{"conflict", `{"code":"conflict"}`, 409, CodeConflict, false},
		{"bare 409", "{}", 409, "", false},
		{"unknown code", `{"code":"x"}`, 500, "", false},
		{"redirect", "", 307, "", false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var calls atomic.Int32
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				calls.Add(1)
				w.Header().Set("Location", "/elsewhere")
				w.WriteHeader(c.status)
				fmt.Fprint(w, c.body)
			}))
			defer server.Close()
			_, err := New(server.URL, Options{}).Do(t.Context(), post)
			failure := AsFailure(err)
			require.Equal(t, c.code, failure.Code)
			require.Equal(t, c.notApplied, failure.NotApplied())
			require.EqualValues(t, 1, calls.Load())
		})
	}
}

// Checks that a call whose answer is not JSON, is cut short or is too large counts as sent.
func TestDamagedAnswersCountAsSent(t *testing.T) {
	for _, body := range []string{"{", "", `"longer than the bound"`} {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", fmt.Sprint(max(len(body), 1)))
			_, _ = io.WriteString(w, body)
		}))
		var out any
		err := New(server.URL, Options{MaxAnswerBytes: 8}).DoJSON(t.Context(), post, &out)
		require.False(t, AsFailure(err).NotApplied())
		server.Close()
	}
}

// Checks that a call counts as not sent when the dial is refused.
func TestRefusedDialIsNotSent(t *testing.T) {
	server := httptest.NewServer(http.NotFoundHandler())
	server.Close()
	_, err := New(server.URL, Options{}).Do(t.Context(), post)
	require.True(t, AsFailure(err).NotApplied())
}

// Guards against a transport that resends a call by itself: the service executes a call on
// a pooled connection and closes the connection without an answer. A resend would execute
// the call twice, or, if the service has also stopped listening, return "connection
// refused" for a call that was executed.
func TestCallOnBrokenPooledConnectionIsNotResent(t *testing.T) {
	for _, stopsListening := range []bool{false, true} {
		var calls atomic.Int32
		server := httptest.NewUnstartedServer(nil)
		server.Config.Handler = http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
			if calls.Add(1) == 1 {
				return
			}
			if stopsListening {
				_ = server.Listener.Close()
			}
			panic(http.ErrAbortHandler)
		})
		server.Start()
		client := New(server.URL, Options{})
		_, err := client.Do(t.Context(), post)
		require.NoError(t, err)
		_, err = client.Do(t.Context(), post)
		require.False(t, AsFailure(err).NotApplied())
		require.EqualValues(t, 2, calls.Load())
		server.Close()
	}
}

// Guards against a series of timeouts although the service works: an intermediary drops the
// state of all pooled connections, so that no more bytes arrive over them. After the first
// timeout the next call must succeed.
func TestTimeoutReplacesSilentConnections(t *testing.T) {
	const pooled = 3
	server := httptest.NewUnstartedServer(nil)
	listener := faults.NewListener(server.Listener)
	server.Listener = listener
	var together sync.WaitGroup
	together.Add(pooled)
	server.Config.Handler = http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/together" {
			together.Done()
			together.Wait()
		}
	})
	server.Start()
	defer server.Close()

	client := New(server.URL, Options{})
	var calls sync.WaitGroup
	for range pooled {
		calls.Go(func() { _, _ = client.Do(t.Context(), Request{Method: http.MethodGet, Path: "/together"}) })
	}
	calls.Wait()
	require.Equal(t, pooled, listener.Silence())

	client.options.Timeout = 200 * time.Millisecond
	_, err := client.Do(t.Context(), post)
	require.False(t, AsFailure(err).NotApplied())
	client.options.Timeout = DefaultTimeout
	_, err = client.Do(t.Context(), post)
	require.NoError(t, err)
}

// Guards against cutting off answers that take longer than the timeout but progress, and
// against waiting for an answer that has stalled.
func TestTimeoutBoundsPausesInAnswers(t *testing.T) {
	const timeout = 800 * time.Millisecond
	parts := 12
	stalls := make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		for i := range parts {
			if r.URL.Path == "/stalls" && i == parts/2 {
				<-stalls
			}
			fmt.Fprint(w, i%10)
			_ = http.NewResponseController(w).Flush()
			time.Sleep(timeout / 8)
		}
	}))
	defer server.Close()
	defer close(stalls)
	client := New(server.URL, Options{Timeout: timeout})

	body, err := client.Do(t.Context(), Request{Method: http.MethodGet, Path: "/goes-on"})
	require.NoError(t, err)
	require.Len(t, body, parts)
	_, err = client.Do(t.Context(), Request{Method: http.MethodGet, Path: "/stalls"})
	require.ErrorIs(t, err, ErrStalled)
	require.True(t, AsFailure(err).Sent)
}

// Guards against cutting off large requests that progress.
func TestTimeoutBoundsPausesInRequests(t *testing.T) {
	const timeout = time.Second
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		part := make([]byte, 1<<20)
		for {
			time.Sleep(timeout / 20)
			if _, err := io.ReadFull(r.Body, part); err != nil {
				return
			}
		}
	}))
	defer server.Close()
	_, err := New(server.URL, Options{Timeout: timeout}).Do(t.Context(), Request{Method: http.MethodPut, Path: "/", Raw: make([]byte, 24<<20)})
	require.NoError(t, err)
}

// Guards against treating a call that the service holds open on purpose as stalled.
func TestWaitIsAddedToTheTimeout(t *testing.T) {
	const timeout = 500 * time.Millisecond
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { time.Sleep(2 * timeout) }))
	defer server.Close()
	client := New(server.URL, Options{Timeout: timeout})
	get := Request{Method: http.MethodGet, Path: "/"}
	_, err := client.Do(t.Context(), get)
	require.ErrorIs(t, err, ErrStalled)
	get.Wait = 2 * timeout
	_, err = client.Do(t.Context(), get)
	require.NoError(t, err)
}

// Guards against treating a large answer as stalled while one read fills a large buffer.
func TestLargeAnswersInOneChunkDoNotStall(t *testing.T) {
	const size, bytesPerSecond = 3 << 20, 2 << 20
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write(make([]byte, size)) // Without a length it goes out as one chunk.
	}))
	defer server.Close()
	narrow, err := relay.New(server.Listener.Addr().String())
	require.NoError(t, err)
	defer narrow.Close()
	narrow.SetLink(relay.NewLink(bytesPerSecond))
	client := New("http://"+narrow.Addr(), Options{Timeout: 250 * time.Millisecond})
	body, err := client.Do(t.Context(), Request{Method: http.MethodGet, Path: "/"})
	require.NoError(t, err)
	require.Len(t, body, size)
}

// Guards against a service that sends a head or a body without end, of which the client keeps all.
func TestEndlessAnswersAreGivenUp(t *testing.T) {
	for name, head := range map[string]string{
		"head": "HTTP/1.1 200 OK\r\nX-Field: ",
		"body": "HTTP/1.1 200 OK\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(t, err)
			defer listener.Close()
			taken := make(chan int, 1)
			go func() {
				connection, err := listener.Accept()
				if err != nil {
					return
				}
				defer connection.Close()
				go func() { _, _ = io.Copy(io.Discard, connection) }() // Ends with the connection.
				n, err := io.WriteString(connection, head)
				for piece := strings.Repeat("x", 4096); err == nil; {
					var m int
					m, err = io.WriteString(connection, piece)
					n += m
				}
				taken <- n
			}()
			client := New("http://"+listener.Addr().String(), Options{Timeout: time.Minute, MaxAnswerBytes: 1 << 20})
			_, err = client.Do(t.Context(), Request{Method: http.MethodGet, Path: "/"})
			require.Error(t, err)
			require.Less(t, <-taken, 9<<20, "with what the two sockets hold")
		})
	}
}
