package mix

import "math"

// The distributions of a Range.
const (
	// LogUniform has a uniform logarithm: as many lengths lie between 1,000 and 2,000 tokens as
	// between 2,000 and 4,000.
	LogUniform = "log-uniform"
	// LogNormal has the given Median, and Sigma as the standard deviation of its logarithm; values
	// outside the bounds are clamped to them.
	LogNormal = "lognormal"
)

// Range is a distribution of lengths in tokens between inclusive bounds.
type Range struct {
	Distribution string `json:"distribution" validate:"oneof=log-uniform lognormal"`
	Min          int    `json:"min" validate:"gte=1,lte=10000000"`
	Max          int    `json:"max" validate:"gte=1,lte=10000000"`
	// Median and Sigma apply only to LogNormal.
	Median float64 `json:"median" validate:"gte=0"`
	Sigma  float64 `json:"sigma" validate:"gte=0,lte=10"`
}

// Quantile returns the u-quantile of the lengths, for u in [0, 1). A uniformly distributed u gives a
// random sample.
func (r Range) Quantile(u float64) int {
	low, high := float64(r.Min), float64(r.Max)
	value := low * math.Pow(high/low, u)
	if r.Distribution == LogNormal {
		value = r.Median * math.Exp(r.Sigma*normalQuantile(u))
	}
	return int(math.Round(min(max(value, low), high)))
}

func normalQuantile(u float64) float64 { return math.Sqrt2 * math.Erfinv(2*u-1) }

// meanQuantiles is the number of quantiles that Mean averages, enough for an error below 0.1 % for
// lengths over three orders of magnitude.
const meanQuantiles = 2000

// Mean returns the mean length.
func (r Range) Mean() float64 {
	sum := 0.0
	for i := range meanQuantiles {
		sum += float64(r.Quantile((float64(i) + 0.5) / meanQuantiles))
	}
	return sum / meanQuantiles
}
