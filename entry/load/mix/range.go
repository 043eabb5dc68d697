package mix

import "math"

// The shapes of a Range.
const (
	// LogUniform gives every factor of length the same part: as many between 1,000 and
	// 2,000 tokens as between 2,000 and 4,000.
	LogUniform = "log-uniform"
	// LogNormal has its middle at Median and Sigma as the deviation of its logarithm;
	// what falls outside the bounds is moved to them.
	LogNormal = "lognormal"
)

// Range is a distribution of lengths in tokens, between bounds that it includes.
type Range struct {
	Distribution string `json:"distribution" validate:"oneof=log-uniform lognormal"`
	Min          int    `json:"min" validate:"gte=1,lte=10000000"`
	Max          int    `json:"max" validate:"gte=1,lte=10000000"`
	// Median and Sigma belong to lognormal.
	Median float64 `json:"median" validate:"gte=0"`
	Sigma  float64 `json:"sigma" validate:"gte=0,lte=10"`
}

// Quantile returns the length below which the part u of all lengths lies, u from 0 to
// below 1. A uniform random u makes it a draw.
func (r Range) Quantile(u float64) int {
	low, high := float64(r.Min), float64(r.Max)
	value := low * math.Pow(high/low, u)
	if r.Distribution == LogNormal {
		value = r.Median * math.Exp(r.Sigma*normalQuantile(u))
	}
	return int(math.Round(min(max(value, low), high)))
}

func normalQuantile(u float64) float64 { return math.Sqrt2 * math.Erfinv(2*u-1) }

// meanSteps is the number of quantiles that stand for a distribution: enough for a mean
// within a thousandth for three decades of length.
const meanSteps = 2000

// Mean returns the mean length.
func (r Range) Mean() float64 {
	sum := 0.0
	for i := range meanSteps {
		sum += float64(r.Quantile((float64(i) + 0.5) / meanSteps))
	}
	return sum / meanSteps
}
