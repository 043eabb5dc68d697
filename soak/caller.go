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
	// streamEvents and eventEvery make streams that last 0.6 s, so that stops meet them.
	streamEvents = 12
	eventEvery   = 50 * time.Millisecond
	// callersTime is the deadline that callers send for streams, callersPatience the time
	// after which they give up on an entry that does not answer at all.
	callersTime     = 3 * time.Second
	callersPatience = 10 * time.Second
	// routesTime is the time that the routes of plain services allow.
	routesTime = 1500 * time.Millisecond
	// lateSlack is what an answer may take beyond its time on a busy machine.
	lateSlack = 1500 * time.Millisecond
	// stickTo is how many requests a caller sends over one connection before it looks for
	// another entry.
	stickTo = 25
	// longPrompt is a prompt that several engines read for seconds; one question in
	// oneLong has it, so that the engines' time by their published figures suffices.
	longPrompt = 250_000
	oneLong    = 40
	longTime   = 8 * time.Second
	// answerTokens is the largest number of tokens that callers ask for.
	answerTokens = 170
	// thinks is the longest pause of a caller between two requests.
	thinks = 40 * time.Millisecond
)

// route is a route of the stand-ins' configuration as callers use it.
type route struct {
	prefix string
	once   bool
	stream bool
	share  int
}

var routes = []route{
	{prefix: "/ask/", stream: true, share: 2},
	{prefix: "/jobs/", once: true, share: 4},
	{prefix: "/orders/", once: true, share: 4},
	{prefix: "/lists/", share: 3},
}

// caller sends one request after another, over a connection that it keeps as long as it
// can, also while its entry stops.
type caller struct {
	world  *world
	number int
	random *rand.Rand

	entry   *entry
	life    *process
	client  *http.Client
	opened  time.Time
	left    int
	counter int
}

func (c *caller) run(ctx context.Context) {
	for ctx.Err() == nil {
		if c.left == 0 && !c.turn(ctx) {
			continue
		}
		c.left--
		c.send(c.pick())
		wait(ctx, time.Duration(c.random.Int64N(int64(thinks))))
	}
}

// turn chooses a ready entry, as a balancer does, and forgets the connection to the last.
func (c *caller) turn(ctx context.Context) bool {
	if c.client != nil {
		c.client.CloseIdleConnections()
	}
	c.entry = c.world.entries[c.random.IntN(len(c.world.entries))]
	life, ready := c.entry.now()
	if !ready {
		wait(ctx, thinks)
		return false
	}
	c.life, c.opened, c.left = life, time.Now(), stickTo
	c.client = &http.Client{Transport: &http.Transport{}, Timeout: callersPatience}
	return true
}

func (c *caller) pick() route {
	total := 0
	for _, r := range routes {
		total += r.share
	}
	at := c.random.IntN(total)
	for _, r := range routes {
		if at -= r.share; at < 0 {
			return r
		}
	}
	return routes[0]
}

// answer is what a caller got, and when.
type answer struct {
	route     route
	uri, id   string
	long      bool
	began     time.Time
	ended     time.Time
	status    int
	header    http.Header
	body      []byte
	err       error
	timeGiven time.Duration
	// closing says that the entry ends the connection with this answer.
	closing bool
}

func (c *caller) send(r route) {
	c.counter++
	a := &answer{route: r, id: fmt.Sprintf("caller-%d-%d", c.number, c.counter), timeGiven: routesTime}
	a.uri = r.prefix + a.id
	if r.once {
		c.world.book.mayRunOnce(a.uri)
	}
	call := standin.Call{ID: a.id, Path: a.uri, Body: "body"}
	if r.stream {
		a.timeGiven = callersTime
		call.PromptTokens, call.OutputTokens = 500<<c.random.IntN(6), answerTokens
		if a.long = c.random.IntN(oneLong) == 0; a.long {
			call.PromptTokens, a.timeGiven = longPrompt, longTime
		}
		call.TimeLeft = a.timeGiven
	}
	request, err := call.Request(c.entry.callers.Addr())
	if err != nil {
		c.world.book.broken(Unwell, "%v", err)
		return
	}
	a.began = time.Now()
	c.receive(request, a)
	a.ended = time.Now()
	c.judge(a)
}

// receive sends a request and reads its answer.
func (c *caller) receive(request *http.Request, a *answer) {
	got, err := c.client.Do(request)
	if err != nil {
		a.err = err
		return
	}
	defer got.Body.Close()
	a.status, a.header, a.closing = got.StatusCode, got.Header, got.Close
	a.body, a.err = io.ReadAll(got.Body)
}

// judge holds an answer against what was promised.
func (c *caller) judge(a *answer) {
	if a.err != nil || a.closing || c.life.ended() {
		c.left = 0
	}
	b := c.world.book
	b.count(outcome(a))
	if a.status != 0 {
		c.judgeClaims(a)
	}
	switch {
	case a.err != nil:
		c.judgeBroken(a)
	case a.status == http.StatusOK:
		c.judgeWhole(a)
	case a.status < http.StatusInternalServerError && !promisesNotRun(a.status):
		b.broken(Denied, "entry %d answered %s with %d: %.200s", c.entry.index, a.uri, a.status, a.body)
	}
	took := a.ended.Sub(a.began)
	if took > a.timeGiven+lateSlack && b.calm(c.entry.index, c.opened, a.ended, hopCallers, hopProcess) {
		b.broken(Late, "%s at entry %d ended after %s", a.uri, c.entry.index, took.Round(time.Millisecond))
	}
	// The longest prompts may be refused whenever others would pay for them.
	refused := a.long && promisesNotRun(a.status)
	if b.isQuiet(a.began) && !refused && (a.err != nil || a.status != http.StatusOK) {
		b.broken(Unwell, "%s at entry %d: %s: %v %.300s", a.uri, c.entry.index, outcome(a), a.err, a.body)
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

// promisesNotRun tells whether a status says that the request has not run and never will.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	default:
		return false
	}
}

// judgeClaims notes what an answer says about the request's run.
func (c *caller) judgeClaims(a *answer) {
	b := c.world.book
	said := a.header.Get("X-Execution") == "not-run"
	if promisesNotRun(a.status) && a.route.once || said {
		b.saidNotRun(a.uri, fmt.Sprintf("entry %d said with %d %.200s", c.entry.index, a.status, a.body))
	}
	if promisesNotRun(a.status) && a.header.Get("Retry-After") == "" {
		b.broken(Unadvised, "%s at entry %d: %d without Retry-After", a.uri, c.entry.index, a.status)
	}
}

// judgeBroken judges an answer that did not come or broke off. A stop is no excuse, up to
// the time when its entry looks away from new requests; nor is the end of a stream that
// had the time to finish.
func (c *caller) judgeBroken(a *answer) {
	b := c.world.book
	excused := !b.calm(c.entry.index, c.opened, a.ended, hopCallers, hopProcess)
	if a.status != 0 {
		// Only a broken connection tells that an upstream failed in the middle.
		excused = excused || !b.calm(c.entry.index, a.began.Add(-aftermath), a.ended, hopUpstreams)
	}
	if stopped, at := c.world.stoppedAt(c.life); stopped && a.began.After(at.Add(readyOff-lookEvery)) {
		excused = true
	}
	if !excused {
		b.broken(CutOff, "%s at entry %d, %s after %s: %v", a.uri, c.entry.index, outcome(a), a.ended.Sub(a.began).Round(time.Millisecond), a.err)
	}
}

// judgeWhole judges an answer that came to its end.
func (c *caller) judgeWhole(a *answer) {
	b := c.world.book
	id, sealed := standin.Origin(a.header)
	if id != a.id {
		b.broken(Foreign, "%s got an answer to %q", a.uri, id)
	}
	if !sealed {
		b.broken(Foreign, "%s got an answer that bears no upstream's seal", a.uri)
	}
	want := []byte("answer to " + a.uri)
	if a.route.stream {
		want = wholeStream
	}
	if !bytes.Equal(a.body, want) {
		b.broken(Short, "%s ended with %d of %d bytes: %.200q", a.uri, len(a.body), len(want), a.body)
	}
}

var wholeStream = func() []byte {
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
