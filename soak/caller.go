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
	// streamDeadline is the deadline that callers send for streams. After clientTimeout they give
	// up on an entry that does not answer.
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
	// one in longPromptEvery streams has it, so that the engines' published capacity suffices.
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
// one.
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
	c.client = &http.Client{Transport: &http.Transport{}, Timeout: clientTimeout}
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

// answer is a caller's request with the response to it.
type answer struct {
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
	a := &answer{route: r, id: fmt.Sprintf("caller-%d-%d", c.number, c.counter), deadline: plainDeadline}
	a.uri = r.prefix + a.id
	if r.once {
		c.harness.recorder.expectAtMostOnce(a.uri)
	}
	call := standin.Call{ID: a.id, Path: a.uri, Body: "body"}
	if r.stream {
		a.deadline = streamDeadline
		call.PromptTokens, call.OutputTokens = 500<<c.random.IntN(6), maxOutputTokens
		if a.long = c.random.IntN(longPromptEvery) == 0; a.long {
			call.PromptTokens, a.deadline = longPromptTokens, longPromptDeadline
		}
		call.TimeLeft = a.deadline
	}
	request, err := call.Request(c.entry.callers.Addr())
	if err != nil {
		c.harness.recorder.addViolation(NotRecovered, "%v", err)
		return
	}
	a.began = time.Now()
	c.receive(request, a)
	a.ended = time.Now()
	c.check(a)
}

// receive sends a request and reads its response.
func (c *caller) receive(request *http.Request, a *answer) {
	response, err := c.client.Do(request)
	if err != nil {
		a.err = err
		return
	}
	defer response.Body.Close()
	a.status, a.header, a.closing = response.StatusCode, response.Header, response.Close
	a.body, a.err = io.ReadAll(response.Body)
}

// check checks an answer against the guarantees.
func (c *caller) check(a *answer) {
	if a.err != nil || a.closing || c.process.ended() {
		c.remaining = 0
	}
	rec := c.harness.recorder
	rec.countOutcome(outcome(a))
	if a.status != 0 {
		c.checkClaims(a)
	}
	switch {
	case a.err != nil:
		c.checkFailed(a)
	case a.status == http.StatusOK:
		c.checkComplete(a)
	case a.status < http.StatusInternalServerError && !promisesNotRun(a.status):
		rec.addViolation(Rejected, "entry %d answered %s with %d: %.200s", c.entry.index, a.uri, a.status, a.body)
	}
	took := a.ended.Sub(a.began)
	if took > a.deadline+deadlineSlack && rec.undisrupted(c.entry.index, c.connectedAt, a.ended, hopCallers, hopProcess) {
		rec.addViolation(DeadlineMissed, "%s at entry %d ended after %s", a.uri, c.entry.index, took.Round(time.Millisecond))
	}
	// A long prompt may be refused at any time to protect other requests.
	refused := a.long && promisesNotRun(a.status)
	if rec.mustSucceed(a.began) && !refused && (a.err != nil || a.status != http.StatusOK) {
		rec.addViolation(NotRecovered, "%s at entry %d: %s: %v %.300s", a.uri, c.entry.index, outcome(a), a.err, a.body)
	}
}

func outcome(a *answer) string {
	switch {
	case a.err != nil && a.status == 0:
		return "no answer"
	case a.err != nil:
		return "broken off"
	default:
		return strconv.Itoa(a.status)
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

// checkClaims records the answer's statement that the request did not run, and checks that such a
// refusal has Retry-After.
func (c *caller) checkClaims(a *answer) {
	rec := c.harness.recorder
	notRun := a.header.Get("X-Execution") == "not-run"
	if promisesNotRun(a.status) && a.route.once || notRun {
		rec.recordNotRun(a.uri, fmt.Sprintf("entry %d said with %d %.200s", c.entry.index, a.status, a.body))
	}
	if promisesNotRun(a.status) && a.header.Get("Retry-After") == "" {
		rec.addViolation(NoRetryAfter, "%s at entry %d: %d without Retry-After", a.uri, c.entry.index, a.status)
	}
}

// checkFailed checks an answer that is missing or incomplete. A stop is no excuse before the entry
// reports that it is not ready, and neither is the end of a stream that had enough time to finish.
func (c *caller) checkFailed(a *answer) {
	rec := c.harness.recorder
	excused := !rec.undisrupted(c.entry.index, c.connectedAt, a.ended, hopCallers, hopProcess)
	if a.status != 0 {
		// A failure of an upstream in the middle of its answer can only be signalled by a broken
		// connection.
		excused = excused || !rec.undisrupted(c.entry.index, a.began.Add(-reconnectTime), a.ended, hopUpstreams)
	}
	if stopped, at := c.harness.stoppedAt(c.process); stopped && a.began.After(at.Add(readyOffDelay-pollInterval)) {
		excused = true
	}
	if !excused {
		rec.addViolation(ConnectionLost, "%s at entry %d, %s after %s: %v", a.uri, c.entry.index, outcome(a), a.ended.Sub(a.began).Round(time.Millisecond), a.err)
	}
}

// checkComplete checks an answer that was received to its end.
func (c *caller) checkComplete(a *answer) {
	rec := c.harness.recorder
	id, sealed := standin.Origin(a.header)
	if id != a.id {
		rec.addViolation(WrongAnswer, "%s got an answer to %q", a.uri, id)
	}
	if !sealed {
		rec.addViolation(WrongAnswer, "%s got an answer that bears no upstream's seal", a.uri)
	}
	want := []byte("answer to " + a.uri)
	if a.route.stream {
		want = fullStream
	}
	if !bytes.Equal(a.body, want) {
		rec.addViolation(TruncatedAnswer, "%s ended with %d of %d bytes: %.200q", a.uri, len(a.body), len(want), a.body)
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
