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

// simulatedServer is a transport that streams responses inside a synctest bubble, where delays
// are exact.
type simulatedServer struct {
	start time.Time
	// firstTokenDelay returns the time to first token of a request that arrives at the given time.
	firstTokenDelay func(at time.Duration) time.Duration
	gap             time.Duration
	tokens          int
	// streamEnd is written after the last token.
	streamEnd string
}

// RoundTrip implements http.RoundTripper.
func (s *simulatedServer) RoundTrip(request *http.Request) (*http.Response, error) {
	if _, err := io.Copy(io.Discard, request.Body); err != nil {
		return nil, err
	}
	reader, writer := io.Pipe()
	context.AfterFunc(request.Context(), func() { writer.CloseWithError(request.Context().Err()) })
	go s.writeStream(request.Context(), writer)
	return &http.Response{StatusCode: http.StatusOK, Body: reader, Header: http.Header{}, Request: request}, nil
}

func (s *simulatedServer) writeStream(ctx context.Context, w *io.PipeWriter) {
	pause(ctx, s.firstTokenDelay(time.Since(s.start)))
	for i := range s.tokens {
		if i > 0 {
			pause(ctx, s.gap)
		}
		fmt.Fprint(w, `data: {"choices":[{"delta":{"content":"x "}}]}`, "\n\n")
	}
	fmt.Fprint(w, s.streamEnd)
	w.Close()
}

// pause sleeps on the bubble's clock until d has passed or ctx ends.
func pause(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

const regularStreamEnd = `data: {"choices":[],"usage":{"prompt_tokens":9,"completion_tokens":3,"prompt_tokens_details":{"cached_tokens":4}}}` +
	"\n\ndata: [DONE]\n\n"

func testConfig(server http.RoundTripper) Config {
	return Config{
		Targets:        []string{"http://entry.example"},
		Mix:            &mix.Mix{Model: "assistant-1", Organisations: []mix.Organisation{{Name: "one", Key: "k", Weight: 1}}},
		MaxInFlight:    100,
		DefaultTimeout: 10 * time.Second,
		GracePeriod:    time.Second,
		DrainTimeout:   2 * time.Second,
		Transport:      server,
	}
}

// requestsEvery returns n requests, one per interval.
func requestsEvery(interval time.Duration, n int) []schedule.Request {
	requests := make([]schedule.Request, n)
	for i := range requests {
		requests[i] = schedule.Request{Index: i, At: time.Duration(i) * interval, PromptTokens: 10, AnswerTokens: 3, Text: schedule.Text{Tokens: 10}}
	}
	return requests
}

// The server stalls for two seconds while ten requests a second are due. A client that sends the
// next request only after a response, or counts from the actual send time, would report one slow
// request instead of twenty.
func TestStallDelaysEveryRequestDueDuringIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const usual = 10 * time.Millisecond
		stallFrom, stallTo := time.Second, 3*time.Second
		server := &simulatedServer{start: time.Now(), gap: 5 * time.Millisecond, tokens: 3, streamEnd: regularStreamEnd}
		server.firstTokenDelay = func(at time.Duration) time.Duration {
			if at >= stallFrom && at < stallTo {
				return stallTo - at + usual
			}
			return usual
		}
		results := Run(t.Context(), testConfig(server), requestsEvery(100*time.Millisecond, 50))
		require.Len(t, results, 50)
		for i, r := range results {
			require.Equal(t, time.Duration(i)*100*time.Millisecond, r.Request.At)
			want := usual
			if r.Request.At >= stallFrom && r.Request.At < stallTo {
				want = stallTo - r.Request.At + usual
			}
			require.Equal(t, want, r.FirstToken, "due at %v", r.Request.At)
			require.Equal(t, []time.Duration{server.gap, server.gap}, r.Gaps)
			require.Equal(t, want+2*server.gap, r.Total)
			require.Equal(t, Usage{PromptTokens: 9, CachedTokens: 4, CompletionTokens: 3}, r.Usage)
			require.True(t, r.OK())
		}
	})
}

// The client itself is delayed for a second, so requests go out late. Latencies that count from
// the actual send time would hide this delay.
func TestLatenciesCountFromIntendedSendTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		server := &simulatedServer{start: time.Now(), tokens: 1, streamEnd: regularStreamEnd, firstTokenDelay: func(time.Duration) time.Duration { return 0 }}
		config := testConfig(server)
		r := newRunner(config, 3)
		defer r.close()
		pause(t.Context(), time.Second)
		requests := requestsEvery(100*time.Millisecond, 3)
		require.Equal(t, 3, r.sendAll(t.Context(), requests))
		r.awaitResponses(t.Context())
		for i, want := range []time.Duration{time.Second, 900 * time.Millisecond, 800 * time.Millisecond} {
			require.Equal(t, want, r.results[i].FirstToken)
			require.Equal(t, want, r.results[i].Lag)
		}
	})
}

func TestFailureCodes(t *testing.T) {
	slow := func(time.Duration) time.Duration { return time.Hour }
	fast := func(time.Duration) time.Duration { return time.Millisecond }
	failed := "event: error\ndata: {\"error\":{\"code\":\"upstream_failed\",\"result_code\":3002,\"execution\":\"ran\"}}\n\n"
	cases := []struct {
		name   string
		server simulatedServer
		stop   time.Duration
		want   string
	}{
		{"silent", simulatedServer{firstTokenDelay: slow}, time.Hour, CodeUnanswered},
		{"broken", simulatedServer{firstTokenDelay: fast, tokens: 2}, time.Hour, CodeBroken},
		{"failed", simulatedServer{firstTokenDelay: fast, tokens: 1, streamEnd: failed}, time.Hour, "3002 upstream_failed (ran)"},
		{"interrupted", simulatedServer{firstTokenDelay: slow}, time.Second, CodeInterrupted},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithTimeout(t.Context(), tc.stop)
				defer cancel()
				tc.server.start = time.Now()
				results := Run(ctx, testConfig(&tc.server), requestsEvery(300*time.Millisecond, 3))
				require.Len(t, results, 3)
				for _, r := range results {
					require.Equal(t, tc.want, r.Code)
				}
				require.LessOrEqual(t, time.Since(tc.server.start), 12*time.Second)
			})
		})
	}
}

func TestInterruptKeepsResultsOfSentRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		server := &simulatedServer{start: time.Now(), tokens: 1, streamEnd: regularStreamEnd, firstTokenDelay: func(time.Duration) time.Duration { return time.Second }}
		ctx, cancel := context.WithTimeout(t.Context(), 950*time.Millisecond)
		defer cancel()
		results := Run(ctx, testConfig(server), requestsEvery(100*time.Millisecond, 100))
		require.Len(t, results, 10)
		for _, r := range results {
			require.True(t, r.OK())
		}
	})
}

func TestRequestsBeyondMaxInFlightFail(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		server := &simulatedServer{start: time.Now(), tokens: 1, streamEnd: regularStreamEnd, firstTokenDelay: func(time.Duration) time.Duration { return time.Second }}
		config := testConfig(server)
		config.MaxInFlight = 2
		var codes []string
		for _, r := range Run(t.Context(), config, requestsEvery(time.Millisecond, 4)) {
			codes = append(codes, r.Code)
		}
		require.Equal(t, ",,"+CodeInFlight+","+CodeInFlight, strings.Join(codes, ","))
	})
}
