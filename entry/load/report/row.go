package report

import (
	"time"

	"acaciacleat.example/entry/load"
	"github.com/HdrHistogram/hdrhistogram-go"
)

// row gathers what becomes a Class.
type row struct {
	class  Class
	good   int
	tokens int64
	first  *hdrhistogram.Histogram
	gaps   *hdrhistogram.Histogram
	whole  *hdrhistogram.Histogram
}

func newRows(names []string) map[string]*row {
	rows := map[string]*row{}
	for _, name := range names {
		rows[name] = &row{
			class: Class{Class: name, Failed: map[string]int{}},
			first: newHistogram(),
			gaps:  newHistogram(),
			whole: newHistogram(),
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
	w.times(result)
	if result.Late {
		w.class.Late++
	}
}

// addGood counts the answer towards the goodput if it met its deadline and ended between
// the times given.
//
// What goes wrong if answers count by the time of their request: under an overload the
// requests of a window are answered long after it, and the goodput exceeds what the
// engines can do.
func (w *row) addGood(result *load.Result, from, to time.Duration) {
	end := result.Request.At + result.Whole
	if !result.OK() || result.Late || end < from || end >= to {
		return
	}
	w.good++
	w.tokens += int64(result.Usage.PromptTokens + result.Usage.CompletionTokens)
}

func (w *row) times(result *load.Result) {
	record(w.whole, result.Whole)
	if result.FirstToken > 0 {
		record(w.first, result.FirstToken)
	}
	for _, gap := range result.Gaps {
		record(w.gaps, gap)
	}
}

func (w *row) finish(window time.Duration) Class {
	c := w.class
	c.FirstToken = newLatency(w.first)
	c.BetweenTokens = newLatency(w.gaps)
	c.Whole = newLatency(w.whole)
	c.GoodPerSecond = float64(w.good) / window.Seconds()
	c.GoodTokensPerSecond = float64(w.tokens) / window.Seconds()
	return c
}
