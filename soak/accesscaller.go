package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httputil"
	"strings"
	"time"

	"acaciacleat.example/platform/standin"
	"github.com/pkg/errors"
)

const (
	// One in longBodyEvery requests has a body near a limit, one in longHeadEvery a head near one.
	longBodyEvery = 10
	longHeadEvery = 10
	// nearLimit is how far a length that is drawn near a limit may be from it.
	nearLimit = 100
	// maxAnswerExcerpt bounds what is kept of a failure's body.
	maxAnswerExcerpt = 200
)

// accessCaller sends requests whose host, path, key, head and body are drawn among what versions of the configuration allow,
// have allowed or never do. The judge of refusals looks at each answer.
type accessCaller struct {
	caller
	keys accessKeys
}

func newAccessCaller(h *harness, number int) *accessCaller {
	return &accessCaller{
		caller: caller{harness: h, number: number, random: rand.New(rand.NewPCG(h.plan.Seed, 1<<32+uint64(number)))},
		keys:   newAccessKeys(h.plan.Seed),
	}
}

func (c *accessCaller) run(ctx context.Context) {
	for ctx.Err() == nil {
		if c.remaining == 0 && !c.connect(ctx) {
			continue
		}
		c.remaining--
		c.sendDrawn()
		wait(ctx, time.Duration(c.random.Int64N(int64(maxThinkTime))))
	}
}

func pick[T any](random *rand.Rand, all []T) T { return all[random.IntN(len(all))] }

// drawCall draws a request.
func (c *accessCaller) drawCall() standin.Call {
	c.counter++
	call := standin.Call{ID: fmt.Sprintf("access-%d-%d", c.number, c.counter), Method: pick(c.random, []string{http.MethodPost, http.MethodGet}), TimeLeft: plainDeadline}
	call.Path = c.drawPrefix()
	call.Host = c.drawHost(call.Path)
	if c.random.IntN(8) > 0 {
		call.Path += call.ID
	}
	if call.Key = c.drawKey(); call.Key == "" {
		call.Anonymous = true
	}
	if call.Method == http.MethodPost {
		call.Body, call.Chunked = "body", c.random.IntN(2) == 0
		if c.random.IntN(longBodyEvery) == 0 {
			call.Body = strings.Repeat("b", c.drawLength(minBodyBytes, bodyDoublings))
		}
	}
	return call
}

// drawLength draws a length near one of the limits that versions have.
func (c *accessCaller) drawLength(least, doublings int) int {
	return least<<c.random.IntN(doublings) + pick(c.random, []int{-nearLimit, -1, 0, 1, nearLimit})
}

// padHead lengthens a call's head so that it has the given length on the wire.
func padHead(call *standin.Call, address string, length int) error {
	call.PaddingBytes = length
	request, err := call.Request(address)
	if err != nil {
		return err
	}
	head, err := httputil.DumpRequestOut(request, false)
	call.PaddingBytes -= len(head) - length
	return errors.Wrap(err, "measure the head of a request")
}

// drawHost draws a host for a prefix in one of the forms in which callers write it.
func (c *accessCaller) drawHost(prefix string) string {
	host := pick(c.random, accessHosts)
	if prefix == openPrefix {
		host = openHost
	}
	host = pick(c.random, hostForms)(host)
	if c.random.IntN(4) == 0 {
		host += ":8080"
	}
	return host
}

func (c *accessCaller) drawPrefix() string {
	switch c.random.IntN(10) {
	case 0:
		return neverPrefix
	case 1, 2:
		return pick(c.random, []string{gatePrefix, movingPrefix, openPrefix})
	case 3:
		return pick(c.random, fleetingPrefixes)
	case 4, 5, 6:
		return pick(c.random, specificPrefixes)
	default:
		return steadyPrefix
	}
}

// drawKey draws a key, or "" for none.
func (c *accessCaller) drawKey() string {
	switch c.random.IntN(10) {
	case 0:
		return ""
	case 1:
		return pick(c.random, c.keys.never)
	case 2, 3:
		return pick(c.random, c.keys.changing)
	case 4, 5, 6:
		return pick(c.random, c.keys.roaming)
	default:
		return pick(c.random, c.keys.steady)
	}
}

// sendDrawn sends a request that is drawn, and leaves the answer to the judge.
func (c *accessCaller) sendDrawn() {
	call := c.drawCall()
	address := c.entry.callerRelay.Addr()
	a := judgedAnswer{
		request: accessRequest{id: call.ID, host: call.Host, path: call.Path, key: call.Key, bodyBytes: len(call.Body)},
		entry:   c.entry.index, started: c.process.started,
	}
	if c.random.IntN(longHeadEvery) == 0 {
		a.request.headBytes = c.drawLength(minHeadBytes, headDoublings)
		if err := padHead(&call, address, a.request.headBytes); err != nil {
			c.harness.recorder.addViolation(NotRecovered, "%v", err)
			return
		}
	}
	request, err := call.Request(address)
	if err != nil {
		c.harness.recorder.addViolation(NotRecovered, "%v", err)
		return
	}
	c.harness.statements.recordSent(call.ID, sender{entry: c.entry.index, process: c.process, at: time.Now()})
	a.began = time.Now()
	err = c.exchange(request, call, &a)
	a.ended = time.Now()
	stopped, at := c.harness.stoppedAt(c.process)
	a.undisturbed = !c.process.ended() && !(stopped && at.Before(a.ended))
	a.mustSucceed = c.harness.recorder.mustSucceed(a.began)
	if err != nil || c.process.ended() {
		c.remaining = 0
	}
	c.harness.recorder.countOutcome("access " + outcome(&exchange{status: a.status, err: err}))
	c.harness.refusals.addAnswer(a)
}

// exchange sends a request and reads its answer, whose body must be that of this request.
func (c *accessCaller) exchange(request *http.Request, call standin.Call, a *judgedAnswer) error {
	response, err := c.client.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	a.status = response.StatusCode
	if response.Close {
		c.remaining = 0
	}
	var id string
	id, a.sealed = standin.Origin(response.Header)
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return err
	}
	a.body = body[:min(len(body), maxAnswerExcerpt)]
	rec := c.harness.recorder
	switch {
	case promisesNotRun(a.status):
		if response.Header.Get("Retry-After") == "" {
			rec.addViolation(NoRetryAfter, "%s at entry %d: %d without Retry-After", a.request, a.entry, a.status)
		}
	case a.status == http.StatusOK && (id != call.ID || !a.sealed):
		rec.addViolation(WrongAnswer, "%s got an answer to %q, sealed: %t", a.request, id, a.sealed)
	case a.status == http.StatusOK && string(body) != "answer to "+call.Path:
		rec.addViolation(TruncatedAnswer, "%s ended with %.200q", a.request, body)
	}
	return nil
}
