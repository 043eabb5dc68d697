package soak

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"acaciacleat.example/platform/standin"
)

const (
	// streamEvents and eventInterval make a stream last 0.6 s, so that stops happen during streams.
	streamEvents  = 12
	eventInterval = 50 * time.Millisecond
	// streamDeadline is the deadline that callers send for streams. clientTimeout is the time after
	// which they give up on an entry that does not answer.
	streamDeadline = 3 * time.Second
	clientTimeout  = 10 * time.Second
	// plainDeadline is the time limit of the routes of plain services.
	plainDeadline = 1500 * time.Millisecond
	// deadlineSlack is how far an answer may exceed its deadline on a busy machine.
	deadlineSlack = 1500 * time.Millisecond
	// requestsPerConnection is the number of requests that a caller sends over one connection
	// before it chooses another entry.
	requestsPerConnection = 25
	// longPromptTokens is the size of a prompt that several engines prefill for seconds. On average
	// one in longPromptEvery streams has it, so that the memory of the engines suffices.
	longPromptTokens   = 250_000
	longPromptEvery    = 40
	longPromptDeadline = 8 * time.Second
	// maxOutputTokens is the number of output tokens that callers ask for.
	maxOutputTokens = 170
	// maxThinkTime is the longest pause of a caller between two requests.
	maxThinkTime = 40 * time.Millisecond
)

// route is a route of the stand-ins' configuration, with the weight by which callers choose it.
type route struct {
	prefix string
	once   bool
	stream bool
	weight int
}

var routes = []route{
	{prefix: "/ask/", stream: true, weight: 2},
	{prefix: "/jobs/", once: true, weight: 4},
	{prefix: "/orders/", once: true, weight: 4},
	{prefix: "/lists/", weight: 3},
}

// caller sends requests one after another over a connection that it keeps as long as possible, also
// while its entry stops.
type caller struct {
	harness *harness
	number  int
	random  *rand.Rand

	entry       *entry
	process     *process
	client      *http.Client
	connectedAt time.Time
	remaining   int
	counter     int
}

func (c *caller) run(ctx context.Context) {
	for ctx.Err() == nil {
		if c.remaining == 0 && !c.connect(ctx) {
			continue
		}
		c.remaining--
		c.send(c.pickRoute())
		wait(ctx, time.Duration(c.random.Int64N(int64(maxThinkTime))))
	}
}

// connect chooses a ready entry, as a load balancer does, and drops the connection to the previous
// one. If the chosen entry is not ready, it returns false after a pause.
func (c *caller) connect(ctx context.Context) bool {
	if c.client != nil {
		c.client.CloseIdleConnections()
	}
	c.entry = c.harness.entries[c.random.IntN(len(c.harness.entries))]
	p, ready := c.entry.current()
	if !ready {
		wait(ctx, maxThinkTime)
		return false
	}
	c.process, c.connectedAt, c.remaining = p, time.Now(), requestsPerConnection
	c.client = &http.Client{Transport: &http.Transport{}, Timeout: clientTimeout,
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }}
	return true
}

func (c *caller) pickRoute() route {
	total := 0
	for _, r := range routes {
		total += r.weight
	}
	at := c.random.IntN(total)
	for _, r := range routes {
		if at -= r.weight; at < 0 {
			return r
		}
	}
	return routes[0]
}

// exchange is a caller's request with the response to it.
type exchange struct {
	route    route
	uri, id  string
	long     bool
	began    time.Time
	ended    time.Time
	status   int
	header   http.Header
	body     []byte
	err      error
	deadline time.Duration
	// closing reports whether the entry closes the connection after this answer.
	closing bool
}

func (c *caller) send(r route) {
	c.counter++
	ex := &exchange{route: r, id: fmt.Sprintf("caller-%d-%d", c.number, c.counter), deadline: plainDeadline}
	ex.uri = r.prefix + ex.id
	if r.once {
		c.harness.recorder.expectAtMostOnce(ex.uri)
	}
	call := standin.Call{ID: ex.id, Path: ex.uri, Body: "body"}
	if r.stream {
		ex.deadline = streamDeadline
		call.PromptTokens, call.OutputTokens = 500<<c.random.IntN(6), maxOutputTokens
		if ex.long = c.random.IntN(longPromptEvery) == 0; ex.long {
			call.PromptTokens, ex.deadline = longPromptTokens, longPromptDeadline
		}
		call.TimeLeft = ex.deadline
	}
	request, err := call.Request(c.entry.callerRelay.Addr())
	if err != nil {
		c.harness.recorder.addViolation(NotRecovered, "%v", err)
		return
	}
	c.harness.statements.recordSent(ex.id, sender{entry: c.entry.index, process: c.process, at: time.Now()})
	ex.began = time.Now()
	c.receive(request, ex)
	ex.ended = time.Now()
	c.check(ex)
}

// receive sends a request and reads its response.
func (c *caller) receive(request *http.Request, ex *exchange) {
	response, err := c.client.Do(request)
	if err != nil {
		ex.err = err
		return
	}
	defer response.Body.Close()
	ex.status, ex.header, ex.closing = response.StatusCode, response.Header, response.Close
	if response.Header.Get(standin.HeaderLimit) != "" {
		c.harness.statements.recordLimit(c.process, response.Header.Get(standin.HeaderSeal), time.Now())
	}
	if response.Header.Get(standin.HeaderLeaving) != "" {
		c.harness.statements.recordLeaving(c.process, response.Header.Get(standin.HeaderSeal), time.Now())
	}
	ex.body, ex.err = io.ReadAll(response.Body)
}

// check checks an answer against the guarantees.
func (c *caller) check(ex *exchange) {
	if ex.err != nil || ex.closing || c.process.ended() {
		c.remaining = 0
	}
	rec := c.harness.recorder
	rec.countOutcome(outcome(ex))
	if ex.status != 0 {
		c.checkClaims(ex)
	}
	switch {
	case ex.err != nil:
		c.checkFailed(ex)
	case ex.status == http.StatusOK:
		c.checkComplete(ex)
	case ex.status < http.StatusInternalServerError && !promisesNotRun(ex.status):
		rec.addViolation(Rejected, "entry %d answered %s with %d: %.200s", c.entry.index, ex.uri, ex.status, ex.body)
	}
	took := ex.ended.Sub(ex.began)
	if took > ex.deadline+deadlineSlack && rec.undisrupted(c.entry.index, c.connectedAt, ex.ended, partCallers, partProcess) {
		rec.addViolation(DeadlineMissed, "%s at entry %d ended after %s", ex.uri, c.entry.index, took.Round(time.Millisecond))
	}
	// A long prompt may be refused at any time to protect other requests.
	refused := ex.long && promisesNotRun(ex.status)
	if rec.mustSucceed(ex.began) && !refused && (ex.err != nil || ex.status != http.StatusOK) {
		rec.addViolation(NotRecovered, "%s at entry %d: %s: %v %.300s", ex.uri, c.entry.index, outcome(ex), ex.err, ex.body)
	}
}

func outcome(ex *exchange) string {
	switch {
	case ex.err != nil && ex.status == 0:
		return "no answer"
	case ex.err != nil:
		return "broken off"
	default:
		return strconv.Itoa(ex.status)
	}
}

// promisesNotRun reports whether a status means that the request has not run and never will.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	default:
		return false
	}
}

// checkClaims records an answer's statement that the request did not run, and checks that such a
// refusal has Retry-After.
func (c *caller) checkClaims(ex *exchange) {
	rec := c.harness.recorder
	notRun := ex.header.Get("X-Execution") == "not-run"
	if promisesNotRun(ex.status) && ex.route.once || notRun {
		rec.recordNotRun(ex.uri, fmt.Sprintf("entry %d said with %d %.200s", c.entry.index, ex.status, ex.body))
	}
	if promisesNotRun(ex.status) && ex.header.Get("Retry-After") == "" {
		rec.addViolation(NoRetryAfter, "%s at entry %d: %d without Retry-After", ex.uri, c.entry.index, ex.status)
	}
}

// checkFailed checks an answer that is missing or incomplete. The failure is excused by a disruption
// of the entry's process or of its connections to callers, by a disruption of upstreams once the
// answer has begun, and by a graceful stop if the request was sent later than one pollInterval
// before the end of notReadyDelay. Requests sent before that, streams included, must complete.
func (c *caller) checkFailed(ex *exchange) {
	rec := c.harness.recorder
	excused := !rec.undisrupted(c.entry.index, c.connectedAt, ex.ended, partCallers, partProcess)
	if ex.status != 0 {
		// A failure of an upstream in the middle of its answer can only be signalled by a broken
		// connection.
		excused = excused || !rec.undisrupted(c.entry.index, ex.began.Add(-reconnectTime), ex.ended, partUpstreams)
		// An answer that a slow engine has begun may not end in its time.
		usedUp := ex.ended.Sub(ex.began) >= ex.deadline
		excused = excused || usedUp && !rec.undisrupted(c.entry.index, ex.began.Add(-reconnectTime), ex.ended, partEngineSpeed)
	}
	if stopped, at := c.harness.stoppedAt(c.process); stopped && ex.began.After(at.Add(notReadyDelay-pollInterval)) {
		excused = true
	}
	if !excused {
		rec.addViolation(ConnectionLost, "%s at entry %d, %s after %s: %v", ex.uri, c.entry.index, outcome(ex), ex.ended.Sub(ex.began).Round(time.Millisecond), ex.err)
	}
}

// checkComplete checks an answer that was received to its end.
func (c *caller) checkComplete(ex *exchange) {
	rec := c.harness.recorder
	id, fromUpstream := standin.Origin(ex.header)
	if id != ex.id {
		rec.addViolation(WrongAnswer, "%s got an answer to %q", ex.uri, id)
	}
	if !fromUpstream {
		rec.addViolation(WrongAnswer, "%s got an answer that bears no upstream's seal", ex.uri)
	}
	want := []byte("answer to " + ex.uri)
	if ex.route.stream {
		want = fullStream
	}
	if !bytes.Equal(ex.body, want) {
		rec.addViolation(TruncatedAnswer, "%s ended with %d of %d bytes: %.200q", ex.uri, len(ex.body), len(want), ex.body)
	}
}

var fullStream = func() []byte {
	var b bytes.Buffer
	for i := 1; i <= streamEvents; i++ {
		fmt.Fprintf(&b, "id: %d\ndata: event %d\n\n", i, i)
	}
	return b.Bytes()
}()

// wait waits for d or the end of ctx.
func wait(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
