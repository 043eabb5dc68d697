// Package admission decides on arrival whether a request can still start in time, so that
// an overloaded fleet works only on requests that can finish. It does no I/O, and its
// types are not safe for concurrent use.
package admission

import (
	"time"

	"acaciacleat.example/core/call"
	"acaciacleat.example/core/result"
)

const (
	// biasWeight is the weight of one observation in the moving average, which thus
	// reflects about the last 50 requests of a class that started.
	biasWeight = 0.02
	// minBias and maxBias bound the correction factor. If predictions are off by more than
	// a factor of 4, they are useless and would refuse requests that could run.
	minBias = 0.5
	maxBias = 4
	// minPredicted is the shortest prediction that is compared with the actual time. For
	// shorter ones, network delay outweighs the time in the queue.
	minPredicted = 50 * time.Millisecond
	// minRetryAfter and maxRetryAfter bound the Retry-After of a refusal. With less, callers
	// would retry in a loop; with more, a fleet that has recovered would stay idle.
	minRetryAfter = time.Second
	maxRetryAfter = 30 * time.Second
)

// Request holds the properties of a request on which admission decides.
type Request struct {
	Demand call.TokenDemand
	// Predicted is the time to first token that routing predicts.
	Predicted time.Duration
	// Decode is the minimum time from the first token to the end of the answer; 0 if only
	// the start must be in time.
	Decode   time.Duration
	Deadline time.Time
}

// Controller admits requests by their predicted time to first token and corrects the
// predictions by the observed times.
type Controller struct {
	bias [call.NumClasses]float64
}

// NewController returns a Controller that does not correct predictions until it has
// observed requests.
func NewController() *Controller {
	c := &Controller{}
	for i := range c.bias {
		c.bias[i] = 1
	}
	return c
}

// Admit returns nil if the request is admitted. Otherwise it returns a *result.Error with
// NotRun and the code DeadlinePassed, or CannotStartInTime with RetryAfter.
//
// Without admission control, an overload would queue every request past its deadline: the
// engines would be busy with prompts whose callers have gone, and few answers would be in
// time. Refusing such requests on arrival keeps capacity for the others, and their
// callers still have time to try elsewhere.
func (c *Controller) Admit(request Request, now time.Time) error {
	left := request.Deadline.Sub(now)
	if left <= 0 {
		return result.New(result.DeadlinePassed, result.NotRun, "no time left at admission")
	}
	needed := c.PredictedStart(request) + request.Decode
	if needed <= left {
		return nil
	}
	refused := result.New(result.CannotStartInTime, result.NotRun, "needs %s, has %s", needed.Round(time.Millisecond), left.Round(time.Millisecond))
	refused.RetryAfter = min(max(needed-left, minRetryAfter), maxRetryAfter)
	return refused
}

// PredictedStart returns the predicted time to first token, corrected by the class's bias.
func (c *Controller) PredictedStart(request Request) time.Duration {
	class := call.ClassOf(request.Demand.PromptTokens)
	return time.Duration(float64(request.Predicted) * c.bias[class])
}

// Observe records the actual time to first token of an admitted request. For a request
// that was given up before its first token, the time that it had waited must be recorded
// if it exceeds the prediction. Otherwise only requests that started would count, and the
// bias would be too low.
func (c *Controller) Observe(class call.Class, predicted, actual time.Duration) {
	if predicted < minPredicted {
		return
	}
	ratio := min(max(float64(actual)/float64(predicted), minBias), maxBias)
	c.bias[class] += biasWeight * (ratio - c.bias[class])
}

// Bias returns the moving average of the ratio of actual to predicted time to first token
// in a class.
func (c *Controller) Bias(class call.Class) float64 { return c.bias[class] }
