package load

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"acaciacleat.example/entry/load/mix"
	"acaciacleat.example/entry/load/schedule"
	"github.com/stretchr/testify/require"
)

// modelledServer answers within a synctest bubble, where its delays are exact.
type modelledServer struct {
	start time.Time
	// firstToken tells how long the server takes for a request that comes at a time.
	firstToken func(at time.Duration) time.Duration
	gap        time.Duration
	tokens     int
	// end is what the stream ends with.
	end string
}

// RoundTrip implements http.RoundTripper.
func (s *modelledServer) RoundTrip(request *http.Request) (*http.Response, error) {
	if _, err := io.Copy(io.Discard, request.Body); err != nil {
		return nil, err
	}
	reader, writer := io.Pipe()
	context.AfterFunc(request.Context(), func() { writer.CloseWithError(request.Context().Err()) })
	go s.answer(request.Context(), writer)
	return &http.Response{StatusCode: http.StatusOK, Body: reader, Header: http.Header{}, Request: request}, nil
}

func (s *modelledServer) answer(ctx context.Context, w *io.PipeWriter) {
	pause(ctx, s.firstToken(time.Since(s.start)))
	for i := range s.tokens {
		if i > 0 {
			pause(ctx, s.gap)
		}
		fmt.Fprint(w, `data: {"choices":[{"delta":{"content":"x "}}]}`, "\n\n")
	}
	fmt.Fprint(w, s.end)
	w.Close()
}

// pause lets the bubble's clock go on, as long as there is a caller.
func pause(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

const regularEnd = `data: {"choices":[],"usage":{"prompt_tokens":9,"completion_tokens":3,"prompt_tokens_details":{"cached_tokens":4}}}` +
	"\n\ndata: [DONE]\n\n"

func testConfig(server http.RoundTripper) Config {
	return Config{
		Targets:        []string{"http://entry.example"},
		Mix:            &mix.Mix{Model: "assistant-1", Organisations: []mix.Organisation{{Name: "one", Key: "k", Weight: 1}}},
		MaxInFlight:    100,
		DefaultTimeout: 10 * time.Second,
		Grace:          time.Second,
		Drain:          2 * time.Second,
		Transport:      server,
	}
}

// every returns n requests, one each interval.
func every(interval time.Duration, n int) []schedule.Request {
	requests := make([]schedule.Request, n)
	for i := range requests {
		requests[i] = schedule.Request{Index: i, At: time.Duration(i) * interval, PromptTokens: 10, AnswerTokens: 3, Text: schedule.Text{Tokens: 10}}
	}
	return requests
}

// Symptom: the report shows one slow request where callers met a stall of seconds.
// Sequence: a server answers nothing for two seconds; ten requests a second are due.
// Cause: a load client that sends the next request only after an answer, or counts from
// when it got round to sending.
func TestAStallShowsInEveryRequestDueDuringIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const usual = 10 * time.Millisecond
		stallFrom, stallTo := time.Second, 3*time.Second
		server := &modelledServer{start: time.Now(), gap: 5 * time.Millisecond, tokens: 3, end: regularEnd}
		server.firstToken = func(at time.Duration) time.Duration {
			if at >= stallFrom && at < stallTo {
				return stallTo - at + usual
			}
			return usual
		}
		results := Run(t.Context(), testConfig(server), every(100*time.Millisecond, 50))
		require.Len(t, results, 50)
		for i, r := range results {
			require.Equal(t, time.Duration(i)*100*time.Millisecond, r.Request.At)
			want := usual
			if r.Request.At >= stallFrom && r.Request.At < stallTo {
				want = stallTo - r.Request.At + usual
			}
			require.Equal(t, want, r.FirstToken, "due at %v", r.Request.At)
			require.Equal(t, []time.Duration{server.gap, server.gap}, r.Gaps)
			require.Equal(t, want+2*server.gap, r.Whole)
			require.Equal(t, Usage{PromptTokens: 9, CachedTokens: 4, CompletionTokens: 3}, r.Usage)
			require.True(t, r.OK())
		}
	})
}

// Symptom: a run hides that its own client sent late.
// Sequence: the client is held up for a second; the requests due meanwhile go out late.
// Cause: latencies that count from the real time of sending.
func TestLatenciesCountFromTheIntendedTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		server := &modelledServer{start: time.Now(), tokens: 1, end: regularEnd, firstToken: func(time.Duration) time.Duration { return 0 }}
		config := testConfig(server)
		r := newRunner(config, 3)
		defer r.close()
		pause(t.Context(), time.Second)
		requests := every(100*time.Millisecond, 3)
		require.Equal(t, 3, r.sendAll(t.Context(), requests))
		r.finish(t.Context())
		for i, want := range []time.Duration{time.Second, 900 * time.Millisecond, 800 * time.Millisecond} {
			require.Equal(t, want, r.results[i].FirstToken)
			require.Equal(t, want, r.results[i].Lag)
		}
	})
}

func TestEndsThatAreNoAnswer(t *testing.T) {
	slow := func(time.Duration) time.Duration { return time.Hour }
	fast := func(time.Duration) time.Duration { return time.Millisecond }
	failed := "event: error\ndata: {\"error\":{\"code\":\"upstream_failed\",\"result_code\":3002,\"execution\":\"ran\"}}\n\n"
	cases := []struct {
		name   string
		server modelledServer
		stop   time.Duration
		want   string
	}{
		{"silent", modelledServer{firstToken: slow}, time.Hour, CodeUnanswered},
		{"broken", modelledServer{firstToken: fast, tokens: 2}, time.Hour, CodeBroken},
		{"failed", modelledServer{firstToken: fast, tokens: 1, end: failed}, time.Hour, "3002 upstream_failed (ran)"},
		{"interrupted", modelledServer{firstToken: slow}, time.Second, CodeInterrupted},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithTimeout(t.Context(), tc.stop)
				defer cancel()
				tc.server.start = time.Now()
				results := Run(ctx, testConfig(&tc.server), every(300*time.Millisecond, 3))
				require.Len(t, results, 3)
				for _, r := range results {
					require.Equal(t, tc.want, r.Code)
				}
				require.LessOrEqual(t, time.Since(tc.server.start), 12*time.Second)
			})
		})
	}
}

func TestInterruptKeepsWhatWasSent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		server := &modelledServer{start: time.Now(), tokens: 1, end: regularEnd, firstToken: func(time.Duration) time.Duration { return time.Second }}
		ctx, cancel := context.WithTimeout(t.Context(), 950*time.Millisecond)
		defer cancel()
		results := Run(ctx, testConfig(server), every(100*time.Millisecond, 100))
		require.Len(t, results, 10)
		for _, r := range results {
			require.True(t, r.OK())
		}
	})
}

func TestRequestsBeyondTheBoundFailOpenly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		server := &modelledServer{start: time.Now(), tokens: 1, end: regularEnd, firstToken: func(time.Duration) time.Duration { return time.Second }}
		config := testConfig(server)
		config.MaxInFlight = 2
		var codes []string
		for _, r := range Run(t.Context(), config, every(time.Millisecond, 4)) {
			codes = append(codes, r.Code)
		}
		require.Equal(t, ",,"+CodeInFlight+","+CodeInFlight, strings.Join(codes, ","))
	})
}
