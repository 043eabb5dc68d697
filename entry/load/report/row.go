package report

import (
	"time"

	"acaciacleat.example/entry/load"
	"github.com/HdrHistogram/hdrhistogram-go"
)

// accumulator accumulates the results of one Row.
type accumulator struct {
	row           Row
	goodCount     int
	goodTokens    int64
	firstToken    *hdrhistogram.Histogram
	betweenTokens *hdrhistogram.Histogram
	total         *hdrhistogram.Histogram
}

func newAccumulators(names []string) map[string]*accumulator {
	accumulators := map[string]*accumulator{}
	for _, name := range names {
		accumulators[name] = &accumulator{
			row:           Row{Name: name, Failed: map[string]int{}},
			firstToken:    newHistogram(),
			betweenTokens: newHistogram(),
			total:         newHistogram(),
		}
	}
	return accumulators
}

func (a *accumulator) add(result *load.Result) {
	a.row.Count++
	if result.FirstToken > 0 {
		a.row.Started++
	}
	if !result.OK() {
		a.row.Failed[result.Code]++
		return
	}
	a.row.OK++
	a.row.PromptTokens += int64(result.Usage.PromptTokens)
	a.row.CachedTokens += int64(result.Usage.CachedTokens)
	a.row.ReusableTokens += int64(result.Request.Reusable)
	a.row.CompletionTokens += int64(result.Usage.CompletionTokens)
	a.recordTimes(result)
	if result.Late {
		a.row.Late++
	}
}

// addGoodput counts the response towards the goodput if it met its deadline and ended between the
// given times.
//
// Responses count by their end, not by the arrival of their request: under overload, requests of
// the window complete long after it, and counting them would report a goodput above the engines'
// capacity.
func (a *accumulator) addGoodput(result *load.Result, from, to time.Duration) {
	end := result.Request.At + result.Total
	if !result.OK() || result.Late || end < from || end >= to {
		return
	}
	a.goodCount++
	a.goodTokens += int64(result.Usage.PromptTokens + result.Usage.CompletionTokens)
}

func (a *accumulator) recordTimes(result *load.Result) {
	record(a.total, result.Total)
	if result.FirstToken > 0 {
		record(a.firstToken, result.FirstToken)
	}
	for _, gap := range result.Gaps {
		record(a.betweenTokens, gap)
	}
}

func (a *accumulator) toRow(window time.Duration) Row {
	row := a.row
	row.FirstToken = newLatency(a.firstToken)
	row.BetweenTokens = newLatency(a.betweenTokens)
	row.Total = newLatency(a.total)
	row.GoodPerSecond = float64(a.goodCount) / window.Seconds()
	row.GoodTokensPerSecond = float64(a.goodTokens) / window.Seconds()
	return row
}
