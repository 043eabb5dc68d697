// Package load drives entries over HTTP with requests whose arrival times were fixed
// before the run, whatever becomes of the requests before them (an open loop).
//
// What goes wrong without it: a client that waits for an answer before it sends the next
// request sends less while the system stalls, and the stall counts once instead of once
// for each request that should have been sent in it (coordinated omission). The report
// then looks better than what callers met. Here each latency counts from the intended
// time of sending.
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

// Config says where and how a schedule is sent.
type Config struct {
	// Targets are the entries' base URLs; requests go to them in turn.
	Targets []string
	Mix     *mix.Mix
	// MaxInFlight bounds the requests that wait for an answer at once. One beyond it is
	// not sent and is reported as failed with CodeInFlight.
	MaxInFlight int
	// DefaultTimeout bounds a request that asks for no deadline, Grace is how long after
	// its deadline a request may still end by itself before it is reported as unanswered.
	DefaultTimeout time.Duration
	Grace          time.Duration
	// Drain bounds the wait for answers once the run was interrupted.
	Drain time.Duration
	// Transport sends the requests; nil for one of the run's own.
	Transport http.RoundTripper
	// Progress is called after each request's end, never twice at once; nil for none.
	Progress func(ended int)
	// KeyPrefix begins the Idempotency-Key of calls, so that two runs share none.
	KeyPrefix string
}

// Codes of failures that no entry reported.
const (
	CodeInFlight    = "client: too many in flight"
	CodeUnanswered  = "client: no end in time"
	CodeTransport   = "client: connection failed"
	CodeBroken      = "client: stream broke off"
	CodeInterrupted = "client: run interrupted"
)

// Result is what became of one request. Durations count from the intended time of sending
// but for Gaps.
type Result struct {
	Request *schedule.Request
	// Code is empty for a whole answer; otherwise the entry's result code with its name
	// and execution, or one of this package's codes.
	Code string
	// Lag is how late the request was sent by the run itself.
	Lag time.Duration
	// FirstToken is 0 when no token came.
	FirstToken time.Duration
	// Gaps are the times between one event with text and the next.
	Gaps  []time.Duration
	Whole time.Duration
	// Late says that the answer was whole, but later than its deadline.
	Late  bool
	Usage Usage
}

// Usage is an entry's count of tokens.
type Usage struct {
	PromptTokens     int
	CachedTokens     int
	CompletionTokens int
}

// OK reports a whole answer, in time or late.
func (r *Result) OK() bool { return r.Code == "" }

// Run sends the requests at their times and returns a result for each that was due
// before ctx ended, in the order of the requests. Once ctx ends it sends no more, waits
// at most Drain for answers and gives up on the rest.
func Run(ctx context.Context, config Config, requests []schedule.Request) []Result {
	r := newRunner(config, len(requests))
	defer r.close()
	sent := r.sendAll(ctx, requests)
	r.finish(ctx)
	return r.results[:sent]
}

type runner struct {
	config  Config
	client  *http.Client
	results []Result
	start   time.Time
	// calls ends the requests in flight.
	calls   context.Context
	cut     context.CancelCauseFunc
	flying  atomic.Int64
	waiting sync.WaitGroup

	mu    sync.Mutex
	ended int
}

func newRunner(config Config, n int) *runner {
	if config.Transport == nil {
		config.Transport = newTransport()
	}
	r := &runner{config: config, results: make([]Result, n), start: time.Now()}
	r.client = &http.Client{Transport: config.Transport}
	r.calls, r.cut = context.WithCancelCause(context.Background())
	return r
}

// newTransport keeps a connection for each request in flight: with the default of two
// idle ones, connects would take part in the latencies.
func newTransport() *http.Transport {
	return &http.Transport{
		MaxIdleConnsPerHost: 4096,
		IdleConnTimeout:     30 * time.Second,
		DisableCompression:  true,
	}
}

func (r *runner) close() {
	r.cut(nil)
	r.client.CloseIdleConnections()
}

// sendAll returns how many requests were due before ctx ended.
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
	if r.flying.Add(1) > int64(r.config.MaxInFlight) {
		result.Code = CodeInFlight
		r.end()
		return
	}
	r.waiting.Go(func() {
		defer r.end()
		r.exchange(request, result)
	})
}

func (r *runner) end() {
	r.flying.Add(-1)
	if r.config.Progress == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ended++
	r.config.Progress(r.ended)
}

// finish waits for the requests in flight; each ends by its own deadline at the latest.
func (r *runner) finish(ctx context.Context) {
	done := make(chan struct{})
	go func() {
		r.waiting.Wait()
		close(done)
	}()
	select {
	case <-done:
		return
	case <-ctx.Done():
	}
	timer := time.NewTimer(r.config.Drain)
	defer timer.Stop()
	select {
	case <-done:
	case <-timer.C:
		r.cut(errInterrupted)
		<-done
	}
}

// due is the intended time of sending.
func (r *runner) due(request *schedule.Request) time.Time { return r.start.Add(request.At) }

// since returns the time from the intended sending until now.
func (r *runner) since(request *schedule.Request) time.Duration {
	return time.Since(r.due(request))
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
