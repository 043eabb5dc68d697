package report

import (
	"time"

	"acaciacleat.example/entry/load"
	"github.com/HdrHistogram/hdrhistogram-go"
)

// row accumulates the results of one Class.
type row struct {
	class         Class
	goodCount     int
	goodTokens    int64
	firstToken    *hdrhistogram.Histogram
	betweenTokens *hdrhistogram.Histogram
	total         *hdrhistogram.Histogram
}

func newRows(names []string) map[string]*row {
	rows := map[string]*row{}
	for _, name := range names {
		rows[name] = &row{
			class:         Class{Class: name, Failed: map[string]int{}},
			firstToken:    newHistogram(),
			betweenTokens: newHistogram(),
			total:         newHistogram(),
		}
	}
	return rows
}

func (w *row) add(result *load.Result) {
	w.class.Count++
	if result.FirstToken > 0 {
		w.class.Started++
	}
	if !result.OK() {
		w.class.Failed[result.Code]++
		return
	}
	w.class.OK++
	w.class.PromptTokens += int64(result.Usage.PromptTokens)
	w.class.CachedTokens += int64(result.Usage.CachedTokens)
	w.class.ReusableTokens += int64(result.Request.Reusable)
	w.class.CompletionTokens += int64(result.Usage.CompletionTokens)
	w.recordTimes(result)
	if result.Late {
		w.class.Late++
	}
}

// addGoodput counts the response towards the goodput if it met its deadline and ended between the
// given times.
//
// Responses count by their end, not by the arrival of their request: under overload, requests of
// the window complete long after it, and counting them would report a goodput above the engines'
// capacity.
func (w *row) addGoodput(result *load.Result, from, to time.Duration) {
	end := result.Request.At + result.Total
	if !result.OK() || result.Late || end < from || end >= to {
		return
	}
	w.goodCount++
	w.goodTokens += int64(result.Usage.PromptTokens + result.Usage.CompletionTokens)
}

func (w *row) recordTimes(result *load.Result) {
	record(w.total, result.Total)
	if result.FirstToken > 0 {
		record(w.firstToken, result.FirstToken)
	}
	for _, gap := range result.Gaps {
		record(w.betweenTokens, gap)
	}
}

func (w *row) toClass(window time.Duration) Class {
	c := w.class
	c.FirstToken = newLatency(w.firstToken)
	c.BetweenTokens = newLatency(w.betweenTokens)
	c.Total = newLatency(w.total)
	c.GoodPerSecond = float64(w.goodCount) / window.Seconds()
	c.GoodTokensPerSecond = float64(w.goodTokens) / window.Seconds()
	return c
}
