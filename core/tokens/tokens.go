// Package tokens estimates the number of tokens of a prompt from its length in bytes, so that
// requests need no tokenizer. Usage counts from engines correct the estimate.
package tokens

import "math"

const (
	// defaultRatio is tokens per byte before any count is known: common vocabularies have about
	// 4 bytes of English or Portuguese text per token.
	defaultRatio = 0.25
	// sampleWeight is the weight of a new count in the moving averages, which follow about the
	// last 20 requests.
	sampleWeight = 0.05
	// minRatio and maxRatio bound the effect of a single odd count: tokens are between 1 and 16
	// bytes long in practice.
	minRatio = 1.0 / 16
	maxRatio = 1.0
	// maxModels bounds the memory if callers can choose model names.
	maxModels = 1024
	// errorMultiplier makes UpperBound cover relative errors of twice the running mean.
	errorMultiplier = 2
	// minMargin is the least relative margin that UpperBound adds. Short prompts, which contain a
	// larger share of JSON, dominate the ratio, so that the estimate of a long prompt can be 1 %
	// too low. Without the margin, the engines that share a long prompt would refuse its parts.
	minMargin = 0.02
)

type ratio struct {
	tokensPerByte float64
	relativeError float64
}

// Estimator estimates token counts for each model. It is not safe for concurrent use.
type Estimator struct {
	models map[string]ratio
}

// New returns an Estimator without any counts.
func New() *Estimator { return &Estimator{models: make(map[string]ratio)} }

func (e *Estimator) ratio(model string) ratio {
	if r, known := e.models[model]; known {
		return r
	}
	return ratio{tokensPerByte: defaultRatio}
}

// Tokens estimates the number of tokens of a prompt with the given bytes, at least 1.
func (e *Estimator) Tokens(model string, bytes int) int {
	return max(1, int(math.Ceil(float64(bytes)*e.ratio(model).tokensPerByte)))
}

// UpperBound estimates a number of tokens that is seldom exceeded, for memory reservations.
func (e *Estimator) UpperBound(model string, bytes int) int {
	r := e.ratio(model)
	margin := max(minMargin, errorMultiplier*r.relativeError)
	return max(1, int(math.Ceil(float64(bytes)*r.tokensPerByte*(1+margin))))
}

// Observe corrects the model's ratio by an engine's count for a prompt with the given bytes. It
// ignores counts that are not positive, and new models once maxModels are known.
func (e *Estimator) Observe(model string, bytes, promptTokens int) {
	if bytes <= 0 || promptTokens <= 0 {
		return
	}
	r, known := e.models[model]
	if !known && len(e.models) >= maxModels {
		return
	}
	if !known {
		r = ratio{tokensPerByte: defaultRatio}
	}
	observed := min(max(float64(promptTokens)/float64(bytes), minRatio), maxRatio)
	relativeError := math.Abs(r.tokensPerByte-observed) / observed
	r.relativeError += sampleWeight * (relativeError - r.relativeError)
	r.tokensPerByte += sampleWeight * (observed - r.tokensPerByte)
	e.models[model] = r
}

// RelativeError is the running mean of |estimate - count| / count, 0 before any count.
func (e *Estimator) RelativeError(model string) float64 { return e.ratio(model).relativeError }
