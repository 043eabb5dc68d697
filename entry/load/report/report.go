// Package report sums up the results of load runs by length class: as a table, as JSON
// and as a chart of times to first token.
package report

import (
	"math"
	"slices"
	"time"

	"acaciacleat.example/core/call"
	"acaciacleat.example/entry/load"
	"acaciacleat.example/entry/load/schedule"
	"github.com/HdrHistogram/hdrhistogram-go"
)

// Names of the rows that are no length class.
const (
	PlainClass = "plain"
	// AllClass joins the generations of all lengths.
	AllClass = "all"
)

// Report is the outcome of one run. Times are as measured, whatever Speed is.
type Report struct {
	// Label names the run, for instance by its policy.
	Label string `json:"label"`
	Seed  uint64 `json:"seed"`
	// Load is the offered load as a share of the engines' capacity; 0 when unknown.
	Load float64 `json:"load,omitempty"`
	// RequestsPerSecond is the offered rate, plain calls included.
	RequestsPerSecond float64 `json:"requests_per_second"`
	// Speed says how many times faster than usual the stand-in engines were; 1 for others.
	Speed float64 `json:"speed"`
	// WindowSeconds is the time of arrival that the report covers, without warm-up.
	WindowSeconds float64 `json:"window_seconds"`
	Interrupted   bool    `json:"interrupted,omitempty"`
	// Classes has the rows in order of length, then plain calls, then all generations.
	Classes []Class `json:"classes"`
	// Slowdown compares short requests with the same ones alone; nil when not measured.
	Slowdown *Slowdown `json:"slowdown,omitempty"`
	// LagP99Ms is how late the run itself sent its requests.
	LagP99Ms float64 `json:"lag_p99_ms"`
}

// Class is one row: a length class, plain calls or all generations.
type Class struct {
	Class string `json:"class"`
	Count int    `json:"count"`
	// OK counts whole answers, Late those of them that came after their deadline.
	OK   int `json:"ok"`
	Late int `json:"late"`
	// Started counts generations of which a token came, whole or not.
	Started int `json:"started"`
	// Failed counts failures by code.
	Failed map[string]int `json:"failed"`
	// The distributions are those of whole answers.
	FirstToken    Latency `json:"first_token"`
	BetweenTokens Latency `json:"between_tokens"`
	Whole         Latency `json:"whole"`
	// Token counts are the entries' own, of whole answers.
	PromptTokens     int64 `json:"prompt_tokens"`
	CachedTokens     int64 `json:"cached_tokens"`
	CompletionTokens int64 `json:"completion_tokens"`
	// GoodPerSecond is the goodput: answers that met their deadline, per second.
	GoodPerSecond       float64 `json:"good_per_second"`
	GoodTokensPerSecond float64 `json:"good_tokens_per_second"`
}

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

// Run is what New sums up, beside the results.
type Run struct {
	Label       string
	Seed        uint64
	Load        float64
	Rate        float64
	Speed       float64
	Warmup      time.Duration
	Duration    time.Duration
	Interrupted bool
}

// New sums up a run. Requests of the warm-up are left out.
func New(run Run, results []load.Result) *Report {
	window := run.window(results)
	r := &Report{
		Label:             run.Label,
		Seed:              run.Seed,
		Load:              run.Load,
		RequestsPerSecond: run.Rate,
		Speed:             run.Speed,
		WindowSeconds:     window.Seconds(),
		Interrupted:       run.Interrupted,
	}
	lag := newHistogram()
	rows := newRows()
	for i := range results {
		result := &results[i]
		if result.Request.At < run.Warmup {
			continue
		}
		record(lag, result.Lag)
		for _, name := range rowsOf(result.Request) {
			rows[name].add(result)
		}
	}
	for _, name := range rowNames() {
		if row := rows[name]; row.class.Count > 0 {
			r.Classes = append(r.Classes, row.finish(window))
		}
	}
	r.LagP99Ms = newLatency(lag).P99Ms
	return r
}

// window is the time that the results cover; an interrupted run covers less.
func (run *Run) window(results []load.Result) time.Duration {
	end := run.Duration
	if run.Interrupted && len(results) > 0 {
		end = results[len(results)-1].Request.At
	}
	return max(end-run.Warmup, time.Millisecond)
}

// Class returns the row with the given name, or an empty one.
func (r *Report) Class(name string) *Class {
	for i := range r.Classes {
		if r.Classes[i].Class == name {
			return &r.Classes[i]
		}
	}
	return &Class{Class: name}
}

// CachedShare is the share of prompt tokens that came from prefix caches.
func (c *Class) CachedShare() float64 {
	if c.PromptTokens == 0 {
		return 0
	}
	return float64(c.CachedTokens) / float64(c.PromptTokens)
}

func rowNames() []string {
	names := lengthClasses()
	return append(names, PlainClass, AllClass)
}

func lengthClasses() []string {
	var names []string
	for class := range call.NumClasses {
		names = append(names, class.String())
	}
	return names
}

func rowsOf(request *schedule.Request) []string {
	if request.Call != nil {
		return []string{PlainClass}
	}
	return []string{request.Class().String(), AllClass}
}

// row gathers what becomes a Class.
type row struct {
	class  Class
	good   int
	tokens int64
	first  *hdrhistogram.Histogram
	gaps   *hdrhistogram.Histogram
	whole  *hdrhistogram.Histogram
}

func newRows() map[string]*row {
	rows := map[string]*row{}
	for _, name := range rowNames() {
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
	w.class.CompletionTokens += int64(result.Usage.CompletionTokens)
	w.times(result)
	if result.Late {
		w.class.Late++
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
