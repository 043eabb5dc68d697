package report

import (
	"math"
	"slices"
	"time"

	"acaciacleat.example/core/call"
	"acaciacleat.example/entry/load"
)

// Slowdown compares the times to first token of short requests with those of the same requests, at
// the same times, in a run without longer requests.
type Slowdown struct {
	// Pairs counts short requests completed in both runs, Lost those completed only in the run
	// without longer requests.
	Pairs int `json:"pairs"`
	Lost  int `json:"lost"`
	// P50, P95 and P99 are the ratios of the two runs' percentiles.
	P50 float64 `json:"p50"`
	P95 float64 `json:"p95"`
	P99 float64 `json:"p99"`
	// PairP50, PairP95 and PairP99 are the percentiles of the per-request ratios.
	PairP50 float64 `json:"pair_p50"`
	PairP95 float64 `json:"pair_p95"`
	PairP99 float64 `json:"pair_p99"`
}

// Compare returns the slowdown of the short requests in mixed against the same requests in alone,
// or nil if no request completed in both.
func Compare(alone, mixed []load.Result, warmup time.Duration) *Slowdown {
	aloneTimes := map[int]time.Duration{}
	for i := range alone {
		if isShort(&alone[i], warmup) && alone[i].OK() && alone[i].FirstToken > 0 {
			aloneTimes[alone[i].Request.Index] = alone[i].FirstToken
		}
	}
	s := &Slowdown{}
	var aloneSeconds, mixedSeconds, ratios []float64
	for i := range mixed {
		aloneTime, paired := aloneTimes[mixed[i].Request.Index]
		if !paired || !isShort(&mixed[i], warmup) {
			continue
		}
		if !mixed[i].OK() || mixed[i].FirstToken == 0 {
			s.Lost++
			continue
		}
		mixedTime := mixed[i].FirstToken
		aloneSeconds = append(aloneSeconds, aloneTime.Seconds())
		mixedSeconds = append(mixedSeconds, mixedTime.Seconds())
		ratios = append(ratios, mixedTime.Seconds()/aloneTime.Seconds())
	}
	if s.Pairs = len(ratios); s.Pairs == 0 {
		return nil
	}
	s.P50, s.P95, s.P99 = percentileRatio(aloneSeconds, mixedSeconds, 50), percentileRatio(aloneSeconds, mixedSeconds, 95), percentileRatio(aloneSeconds, mixedSeconds, 99)
	s.PairP50, s.PairP95, s.PairP99 = percentile(ratios, 50), percentile(ratios, 95), percentile(ratios, 99)
	return s
}

// isShort reports whether a result is of a short generation that arrived after the warm-up.
func isShort(result *load.Result, warmup time.Duration) bool {
	r := result.Request
	return r.Call == nil && r.Class() == call.Short && r.At >= warmup
}

func percentileRatio(aloneSeconds, mixedSeconds []float64, p float64) float64 {
	return percentile(mixedSeconds, p) / percentile(aloneSeconds, p)
}

// percentile returns the p-th percentile by the nearest-rank method: the smallest value for which at
// least p percent of the values are equal or smaller. It sorts values in place.
func percentile(values []float64, p float64) float64 {
	slices.Sort(values)
	rank := int(math.Ceil(p / 100 * float64(len(values))))
	return values[max(rank, 1)-1]
}
