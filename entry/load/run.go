// Package load is an open-loop load generator: it sends requests to entries over HTTP at times
// fixed before the run, regardless of the progress of earlier requests.
//
// A closed-loop client waits for each response before it sends the next request. It sends less
// while the system stalls, and counts the stall once instead of once for each request due during
// it (coordinated omission), so its report is better than what callers experience. Here each
// latency counts from the intended send time.
package load

import (
	"context"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"acaciacleat.example/entry/load/mix"
	"acaciacleat.example/entry/load/schedule"
)

// Config configures how a schedule is sent and to which entries.
type Config struct {
	// Targets are the entries' base URLs; requests go to them round robin.
	Targets []string
	Mix     *mix.Mix
	// MaxInFlight bounds the number of requests in flight. A request beyond it is not sent
	// and is reported as failed with CodeInFlight.
	MaxInFlight int
	// DefaultTimeout applies to a request without a deadline. GracePeriod is how long after its
	// deadline a request may still complete before it fails with CodeUnanswered.
	DefaultTimeout time.Duration
	GracePeriod    time.Duration
	// DrainTimeout bounds the wait for responses after the run is interrupted.
	DrainTimeout time.Duration
	// Transport sends the requests; nil for a transport created for the run.
	Transport http.RoundTripper
	// OnProgress, if not nil, is called after each request ends or fails with CodeInFlight; calls
	// are serialised.
	OnProgress func(ended int)
	// KeyPrefix prefixes the Idempotency-Key of calls. It must differ between runs, so that no
	// call gets the response of another run's call.
	KeyPrefix string
}

// Codes of failures that the client detects itself.
const (
	CodeInFlight    = "client: too many in flight"
	CodeUnanswered  = "client: no end in time"
	CodeTransport   = "client: connection failed"
	CodeBroken      = "client: stream broke off"
	CodeInterrupted = "client: run interrupted"
)

// Result is the outcome of one request. Durations except Gaps count from the intended send time.
type Result struct {
	Request *schedule.Request
	// Code is empty for a complete response. Otherwise it is the entry's result code with its
	// name and execution state, the HTTP status if the response has no such code, or one of
	// this package's codes.
	Code string
	// Lag is the delay from the intended to the actual send time.
	Lag time.Duration
	// FirstToken is the time to first token; 0 if there was none.
	FirstToken time.Duration
	// Gaps are the times between consecutive events with text.
	Gaps []time.Duration
	// Total is the time to the end of the response or to the failure.
	Total time.Duration
	// Late is whether a complete response ended after its deadline.
	Late  bool
	Usage Usage
}

// Usage holds the token counts that an entry reported.
type Usage struct {
	PromptTokens     int
	CachedTokens     int
	CompletionTokens int
}

// OK reports whether the response was complete, in time or late.
func (r *Result) OK() bool { return r.Code == "" }

// Run sends the requests at their scheduled times and returns a result for each request that was
// due before ctx ended, in the order of the requests. Once ctx ends it sends no more requests,
// waits at most DrainTimeout for responses and cancels the rest.
func Run(ctx context.Context, config Config, requests []schedule.Request) []Result {
	r := newRunner(config, len(requests))
	defer r.close()
	sent := r.sendAll(ctx, requests)
	r.awaitResponses(ctx)
	return r.results[:sent]
}

type runner struct {
	config  Config
	client  *http.Client
	results []Result
	start   time.Time
	// requestContext is the parent context of the requests in flight.
	requestContext context.Context
	cancelRequests context.CancelCauseFunc
	inFlight       atomic.Int64
	exchanges      sync.WaitGroup

	mu sync.Mutex
	// endedRequests is the argument of OnProgress; it is not counted without OnProgress.
	endedRequests int
}

func newRunner(config Config, n int) *runner {
	if config.Transport == nil {
		config.Transport = newTransport()
	}
	r := &runner{config: config, results: make([]Result, n), start: time.Now()}
	r.client = &http.Client{Transport: config.Transport}
	r.requestContext, r.cancelRequests = context.WithCancelCause(context.Background())
	return r
}

// newTransport returns a transport that keeps up to 4096 idle connections per entry for reuse. With
// the default of two, most latencies would include a connect.
func newTransport() *http.Transport {
	return &http.Transport{
		MaxIdleConnsPerHost: 4096,
		IdleConnTimeout:     30 * time.Second,
		DisableCompression:  true,
	}
}

func (r *runner) close() {
	r.cancelRequests(nil)
	r.client.CloseIdleConnections()
}

// sendAll sends each request at its time and returns how many were due before ctx ended.
func (r *runner) sendAll(ctx context.Context, requests []schedule.Request) int {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for i := range requests {
		timer.Reset(time.Until(r.start.Add(requests[i].At)))
		select {
		case <-ctx.Done():
			return i
		case <-timer.C:
		}
		r.send(i, &requests[i])
	}
	return len(requests)
}

func (r *runner) send(i int, request *schedule.Request) {
	result := &r.results[i]
	result.Request = request
	if r.inFlight.Add(1) > int64(r.config.MaxInFlight) {
		result.Code = CodeInFlight
		r.requestEnded()
		return
	}
	r.exchanges.Go(func() {
		defer r.requestEnded()
		r.exchange(request, result)
	})
}

func (r *runner) requestEnded() {
	r.inFlight.Add(-1)
	if r.config.OnProgress == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.endedRequests++
	r.config.OnProgress(r.endedRequests)
}

// awaitResponses waits for the requests in flight. Each ends at its deadline plus GracePeriod at the
// latest; after ctx ends, all are cancelled once DrainTimeout has passed.
func (r *runner) awaitResponses(ctx context.Context) {
	done := make(chan struct{})
	go func() {
		r.exchanges.Wait()
		close(done)
	}()
	select {
	case <-done:
		return
	case <-ctx.Done():
	}
	timer := time.NewTimer(r.config.DrainTimeout)
	defer timer.Stop()
	select {
	case <-done:
	case <-timer.C:
		r.cancelRequests(errInterrupted)
		<-done
	}
}

// sendTime returns the intended send time of a request.
func (r *runner) sendTime(request *schedule.Request) time.Time { return r.start.Add(request.At) }

// sinceSendTime returns the time elapsed since the intended send time.
func (r *runner) sinceSendTime(request *schedule.Request) time.Duration {
	return time.Since(r.sendTime(request))
}

func (r *runner) timeout(request *schedule.Request) time.Duration {
	if request.Timeout > 0 {
		return request.Timeout
	}
	return r.config.DefaultTimeout
}

func (r *runner) target(request *schedule.Request) string {
	return strings.TrimSuffix(r.config.Targets[request.Index%len(r.config.Targets)], "/")
}
