// Package admission decides at once whether a request can still start in time, so that
// an overloaded fleet spends its work on requests that finish. Its decisions are pure and
// its state is not safe for concurrent use.
package admission

import (
	"time"

	"acaciacleat.example/core/call"
	"acaciacleat.example/core/result"
)

const (
	// biasWeight is that of one observation: about the last 50 starts of a class decide.
	biasWeight = 0.02
	// minBias and maxBias bound the correction. Above 4 the prediction is worthless and
	// refusing on it would refuse requests that could run.
	minBias = 0.5
	maxBias = 4
	// leastPredicted is the shortest prediction that is compared with what happened; below
	// it network delay outweighs the queue.
	leastPredicted = 50 * time.Millisecond
	// minRetryAfter and maxRetryAfter bound what callers are told: less makes them knock in
	// a loop, more leaves a fleet idle that has recovered.
	minRetryAfter = time.Second
	maxRetryAfter = 30 * time.Second
)

// Request is what admission weighs.
type Request struct {
	Work call.Work
	// Predicted is routing's predicted time to first token.
	Predicted time.Duration
	// Decode is the least time that the answer takes after its first token; 0 when only
	// the start matters.
	Decode   time.Duration
	Deadline time.Time
}

// Controller admits requests by the predicted start and learns how far off it is.
type Controller struct {
	bias [call.NumClasses]float64
}

// NewController returns a Controller that takes predictions at their word.
func NewController() *Controller {
	c := &Controller{}
	for i := range c.bias {
		c.bias[i] = 1
	}
	return c
}

// Admit returns nil, or a *result.Error (not-run): DeadlinePassed, or CannotStartInTime
// with RetryAfter.
//
// What goes wrong: under overload every request is queued, each waits past its time, and
// the engines prefill prompts whose callers have gone. It shows as full engines with few
// answers in time. Refusing at once what can't make it keeps the work for the rest, and
// the caller can go elsewhere while there is time.
func (c *Controller) Admit(request Request, now time.Time) error {
	left := request.Deadline.Sub(now)
	if left <= 0 {
		return result.New(result.DeadlinePassed, result.NotRun, "no time left at admission")
	}
	needed := c.Start(request) + request.Decode
	if needed <= left {
		return nil
	}
	refused := result.New(result.CannotStartInTime, result.NotRun, "needs %s, has %s", needed.Round(time.Millisecond), left.Round(time.Millisecond))
	refused.RetryAfter = min(max(needed-left, minRetryAfter), maxRetryAfter)
	return refused
}

// Start is the predicted time to first token, corrected by what was observed.
func (c *Controller) Start(request Request) time.Duration {
	class := call.ClassOf(request.Work.PromptTokens)
	return time.Duration(float64(request.Predicted) * c.bias[class])
}

// Observe tells the time to first token of an admitted request. For a request that was
// given up before its first token, tell the time that it had waited if that exceeds the
// prediction: else only the lucky would be counted.
func (c *Controller) Observe(class call.Class, predicted, actual time.Duration) {
	if predicted < leastPredicted {
		return
	}
	ratio := min(max(float64(actual)/float64(predicted), minBias), maxBias)
	c.bias[class] += biasWeight * (ratio - c.bias[class])
}

// Bias is the running mean of actual to predicted time to first token of a class.
func (c *Controller) Bias(class call.Class) float64 { return c.bias[class] }
