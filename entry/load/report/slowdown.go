package report

import (
	"math"
	"slices"
	"time"

	"acaciacleat.example/core/call"
	"acaciacleat.example/entry/load"
)

// Slowdown is how much longer short requests waited for their first token than the same
// requests, at the same times, without the longer ones.
type Slowdown struct {
	// Pairs counts short requests answered in both runs, Lost those answered alone only.
	Pairs int `json:"pairs"`
	Lost  int `json:"lost"`
	// P50, P95 and P99 are ratios of the two runs' percentiles.
	P50 float64 `json:"p50"`
	P95 float64 `json:"p95"`
	P99 float64 `json:"p99"`
	// PairP50, PairP95 and PairP99 are percentiles of each request's own ratio.
	PairP50 float64 `json:"pair_p50"`
	PairP95 float64 `json:"pair_p95"`
	PairP99 float64 `json:"pair_p99"`
}

// Compare returns the slowdown of the short requests in mixed against those in alone,
// which are the same requests; nil when no request was answered in both.
func Compare(alone, mixed []load.Result, warmup time.Duration) *Slowdown {
	before := map[int]time.Duration{}
	for i := range alone {
		if isShort(&alone[i], warmup) && alone[i].OK() && alone[i].FirstToken > 0 {
			before[alone[i].Request.Index] = alone[i].FirstToken
		}
	}
	s := &Slowdown{}
	var first, second, ratios []float64
	for i := range mixed {
		was, answered := before[mixed[i].Request.Index]
		if !answered || !isShort(&mixed[i], warmup) {
			continue
		}
		if !mixed[i].OK() || mixed[i].FirstToken == 0 {
			s.Lost++
			continue
		}
		now := mixed[i].FirstToken
		first = append(first, was.Seconds())
		second = append(second, now.Seconds())
		ratios = append(ratios, now.Seconds()/was.Seconds())
	}
	if s.Pairs = len(ratios); s.Pairs == 0 {
		return nil
	}
	s.P50, s.P95, s.P99 = ratioAt(first, second, 50), ratioAt(first, second, 95), ratioAt(first, second, 99)
	s.PairP50, s.PairP95, s.PairP99 = percentile(ratios, 50), percentile(ratios, 95), percentile(ratios, 99)
	return s
}

func isShort(result *load.Result, warmup time.Duration) bool {
	r := result.Request
	return r.Call == nil && r.Class() == call.Short && r.At >= warmup
}

func ratioAt(first, second []float64, p float64) float64 {
	return percentile(second, p) / percentile(first, p)
}

// percentile returns the smallest value that at least p percent of the values do not
// exceed. It sorts the values.
func percentile(values []float64, p float64) float64 {
	slices.Sort(values)
	rank := int(math.Ceil(p / 100 * float64(len(values))))
	return values[max(rank, 1)-1]
}
