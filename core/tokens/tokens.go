// Package tokens estimates how many tokens a prompt has from its length in bytes, so
// that no tokenizer is needed on a request's path. Engines' usage counts correct it.
package tokens

import "math"

const (
	// defaultRatio is tokens per byte before any count is known: about 4 bytes of
	// English or Portuguese text a token in the usual vocabularies.
	defaultRatio = 0.25
	// weight is that of one new count: about the last 20 requests decide.
	weight = 0.05
	// minRatio and maxRatio bound what a single odd count can do: tokens are between
	// 1 and 16 bytes long in practice.
	minRatio = 1.0 / 16
	maxRatio = 1.0
	// maxModels bounds the memory should model names ever come from callers.
	maxModels = 1024
	// safety covers relative errors twice the running mean.
	safety = 2
	// leastMargin is the least share that Upper adds. The ratio follows the common short
	// prompts, whose JSON weighs more: with no margin a long one was estimated 1 % low and
	// engines refused its group's shares.
	leastMargin = 0.02
)

type ratio struct {
	tokensPerByte float64
	relativeError float64
}

// Estimator turns bytes into tokens for each model. It is not safe for concurrent use.
type Estimator struct {
	models map[string]ratio
}

// New returns an Estimator that knows no counts yet.
func New() *Estimator { return &Estimator{models: make(map[string]ratio)} }

func (e *Estimator) ratio(model string) ratio {
	if r, known := e.models[model]; known {
		return r
	}
	return ratio{tokensPerByte: defaultRatio}
}

// Tokens estimates the tokens of a prompt of the given bytes, at least 1.
func (e *Estimator) Tokens(model string, bytes int) int {
	return max(1, int(math.Ceil(float64(bytes)*e.ratio(model).tokensPerByte)))
}

// Upper estimates a number of tokens that is seldom exceeded, for memory reservations.
func (e *Estimator) Upper(model string, bytes int) int {
	r := e.ratio(model)
	margin := max(leastMargin, safety*r.relativeError)
	return max(1, int(math.Ceil(float64(bytes)*r.tokensPerByte*(1+margin))))
}

// Observe corrects the model's ratio by an engine's count for a prompt of the given bytes.
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
	miss := math.Abs(r.tokensPerByte-observed) / observed
	r.relativeError += weight * (miss - r.relativeError)
	r.tokensPerByte += weight * (observed - r.tokensPerByte)
	e.models[model] = r
}

// RelativeError is the running mean of |estimate - count| / count, 0 before any count.
func (e *Estimator) RelativeError(model string) float64 { return e.ratio(model).relativeError }
