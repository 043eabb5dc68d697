package service_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"acaciacleat.example/peers/service"
	"acaciacleat.example/standin/faults"
	"acaciacleat.example/standin/plain"
	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"
)

const tag = "card-7"

func start(t *testing.T) (*plain.Service, string) {
	t.Helper()
	s := plain.New(plain.Config{})
	server := httptest.NewServer(s)
	t.Cleanup(server.Close)
	return s, server.URL
}

func newCall(method, path, body string) service.Call {
	header := http.Header{plain.HeaderCallTag: {tag}, "Idempotency-Key": {"k"}}
	return service.Call{Method: method, Path: path, Header: header, Body: []byte(body), TimeLeft: time.Minute}
}

func do(t *testing.T, client service.Service, c service.Call) (int, string) {
	t.Helper()
	answer, err := client.Do(t.Context(), c)
	require.NoError(t, err)
	body, err := io.ReadAll(answer.Body)
	require.NoError(t, err)
	require.NoError(t, answer.Body.Close())
	return answer.Status, string(body)
}

func TestContract(t *testing.T) {
	s, url := start(t)
	client := service.NewHTTP(url)
	for _, c := range []struct {
		method, path, body string
		status             int
		answer             string
	}{
		{"POST", "/echo?x=1", "hello", 200, "hello"},
		{"POST", "/echo", "", 200, ""},
		{"PUT", "/echo", "p", 200, "p"},
		{"GET", "/echo", "", 200, ""},
		{"GET", "/echo", "odd", 200, "odd"},
		{"DELETE", "/echo", "", 200, ""},
		{"PATCH", "/echo?status=500", "e", 500, "e"},
		{"POST", "/echo?status=307", "r", 307, "r"},
		{"POST", "/jobs", "{}", 201, "{\"job\":1}\n"},
	} {
		before := s.Stats().RunsByTag[tag]
		status, body := do(t, client, newCall(c.method, c.path, c.body))
		require.Equal(t, c.status, status, "%s %s", c.method, c.path)
		require.Equal(t, c.answer, body, "%s %s", c.method, c.path)
		require.Equal(t, before+1, s.Stats().RunsByTag[tag], "%s %s", c.method, c.path)
	}
	require.NoError(t, client.Healthy(t.Context()))
	s.SetFaults(faults.Fault{Operation: plain.OpHealth, Kind: faults.Outage})
	require.Error(t, client.Healthy(t.Context()))
}

// doWithTransport sends a call with a plain net/http client.
func doWithTransport(t *testing.T, client *http.Client, url string, c service.Call) error {
	t.Helper()
	r, err := http.NewRequestWithContext(t.Context(), c.Method, url+c.Path, strings.NewReader(string(c.Body)))
	require.NoError(t, err)
	r.Header = c.Header
	response, err := client.Do(r)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, response.Body)
	return err
}

// Guards against a call that runs twice although it was sent once: the service runs a call
// that arrived over a kept-alive connection and closes the connection without an answer.
// net/http's transport would treat a GET, or a call with an Idempotency-Key, as repeatable
// and resend it over a new connection.
func TestBrokenKeptAliveConnectionRunsCallOnce(t *testing.T) {
	for _, c := range []struct{ method, body string }{
		{"POST", ""}, {"POST", `{"part":"HP-110"}`}, {"PUT", "x"}, {"DELETE", ""}, {"GET", ""}, {"GET", "x"}, {"HEAD", ""},
	} {
		t.Run(c.method+" body "+c.body, func(t *testing.T) {
			broken := faults.Fault{Operation: "*", Kind: faults.AnswerLost, Skip: 1, Count: 1}
			warm, next := newCall(c.method, "/warm", c.body), newCall(c.method, "/jobs-any", c.body)
			warm.Header = http.Header{}

			s, url := start(t)
			s.SetFaults(broken)
			defaultClient := &http.Client{Transport: &http.Transport{}}
			require.NoError(t, doWithTransport(t, defaultClient, url, warm))
			require.NoError(t, doWithTransport(t, defaultClient, url, next))
			require.Equal(t, 2, s.Stats().RunsByTag[tag], "the fault must make net/http resend the call")

			s, url = start(t)
			s.SetFaults(broken)
			client := service.NewHTTP(url)
			do(t, client, warm)
			_, err := client.Do(t.Context(), next)
			require.ErrorIs(t, err, service.ErrOutcomeUnknown)
			require.NotErrorIs(t, err, service.ErrNotSent)
			require.Equal(t, 1, s.Stats().RunsByTag[tag])
		})
	}
}

// A call whose answer is lost must never be reported as not sent, whether the service ran it or not:
// the caller would repeat a call that has run.
func TestFaults(t *testing.T) {
	for _, c := range []struct {
		name string
		kind faults.Kind
		want error
		runs int
	}{
		{"closed before the call ran", faults.Die, service.ErrOutcomeUnknown, 0},
		{"closed after the call ran", faults.AnswerLost, service.ErrOutcomeUnknown, 1},
		{"silent until the time passed", faults.Silent, context.DeadlineExceeded, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			s, url := start(t)
			s.SetFaults(faults.Fault{Operation: plain.OpWrite, Kind: c.kind, Count: 1})
			job := newCall("POST", "/jobs", "{}")
			job.TimeLeft = 50 * time.Millisecond
			if c.kind != faults.Silent {
				job.TimeLeft = time.Minute
			}
			_, err := service.NewHTTP(url).Do(t.Context(), job)
			require.ErrorIs(t, err, c.want)
			require.ErrorIs(t, err, service.ErrOutcomeUnknown)
			require.NotErrorIs(t, err, service.ErrNotSent)
			require.Equal(t, c.runs, s.Stats().RunsByTag[tag])
		})
	}
}

// A call of which no byte was sent must be reported as not sent, so that the caller can safely repeat it.
func TestErrNotSentWhenNoByteWasSent(t *testing.T) {
	server := httptest.NewServer(http.NotFoundHandler())
	server.Close()
	client := service.NewHTTP(server.URL)
	ended, cancel := context.WithCancel(t.Context())
	cancel()
	noTime := newCall("POST", "/jobs", "")
	noTime.TimeLeft = 0
	badPath := newCall("POST", "jobs", "")
	blocked := service.NewHTTPWith(server.URL, service.HTTPOptions{
		Dial: func(ctx context.Context, _, _ string) (net.Conn, error) {
			<-ctx.Done()
			return nil, ctx.Err()
		},
	})
	short := newCall("POST", "/jobs", "")
	short.TimeLeft = time.Millisecond
	for name, err := range map[string]error{
		"dial refused":   errorOf(client.Do(t.Context(), newCall("POST", "/jobs", "x"))),
		"dial too slow":  errorOf(blocked.Do(t.Context(), short)),
		"context ended":  errorOf(client.Do(ended, newCall("POST", "/jobs", "x"))),
		"no time left":   errorOf(client.Do(t.Context(), noTime)),
		"malformed path": errorOf(client.Do(t.Context(), badPath)),
	} {
		require.ErrorIs(t, err, service.ErrNotSent, name)
		require.NotErrorIs(t, err, service.ErrOutcomeUnknown, name)
	}
}

func errorOf(_ *service.Answer, err error) error { return err }

// Guards against a partial body that reads like a complete one: the service sends the head
// and a part of the body and then closes the connection.
func TestBrokenBodyReturnsErrOutcomeUnknown(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, "half")
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}))
	defer server.Close()
	answer, err := service.NewHTTP(server.URL).Do(t.Context(), newCall("GET", "/routes", ""))
	require.NoError(t, err)
	defer answer.Body.Close()
	_, err = io.ReadAll(answer.Body)
	require.ErrorIs(t, err, service.ErrOutcomeUnknown)
	require.False(t, errors.Is(err, io.EOF))
}
