// Package report sums up the results of load runs by length class: as a table, as JSON
// and as a chart of times to first token.
package report

import (
	"time"

	"acaciacleat.example/core/call"
	"acaciacleat.example/entry/load"
	"acaciacleat.example/entry/load/mix"
	"acaciacleat.example/entry/load/schedule"
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
	// Deployment says what was called.
	Deployment string `json:"deployment"`
	Seed       uint64 `json:"seed"`
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
	// Organisations has one row for each organisation's short requests, which can be
	// compared where mixes of lengths can't.
	Organisations []Class `json:"organisations"`
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
	PromptTokens int64 `json:"prompt_tokens"`
	CachedTokens int64 `json:"cached_tokens"`
	// ReusableTokens is what a router that knows everything could have had from caches that
	// forget nothing; see schedule.Request.
	ReusableTokens   int64 `json:"reusable_tokens"`
	CompletionTokens int64 `json:"completion_tokens"`
	// GoodPerSecond is the goodput: answers that met their deadline and ended within the
	// window, whenever they were asked for, per second.
	GoodPerSecond       float64 `json:"good_per_second"`
	GoodTokensPerSecond float64 `json:"good_tokens_per_second"`
}

// Run is what New sums up, beside the results.
type Run struct {
	Label       string
	Deployment  string
	Seed        uint64
	Load        float64
	Rate        float64
	Speed       float64
	Warmup      time.Duration
	Duration    time.Duration
	Interrupted bool
	// Organisations are those that requests name by their index.
	Organisations []mix.Organisation
}

// New sums up a run. Requests of the warm-up are left out but for the goodput.
func New(run Run, results []load.Result) *Report {
	window := run.window(results)
	r := &Report{
		Label:             run.Label,
		Deployment:        run.Deployment,
		Seed:              run.Seed,
		Load:              run.Load,
		RequestsPerSecond: run.Rate,
		Speed:             run.Speed,
		WindowSeconds:     window.Seconds(),
		Interrupted:       run.Interrupted,
	}
	lag := newHistogram()
	rows, callers := newRows(rowNames()), newRows(run.callers())
	for i := range results {
		result := &results[i]
		for _, name := range rowsOf(result.Request) {
			rows[name].addGood(result, run.Warmup, run.Warmup+window)
		}
		if result.Request.At < run.Warmup {
			continue
		}
		record(lag, result.Lag)
		for _, name := range rowsOf(result.Request) {
			rows[name].add(result)
		}
		if isShort(result, run.Warmup) && len(run.Organisations) > 0 {
			caller := callers[run.Organisations[result.Request.Organisation].Name]
			caller.add(result)
			caller.addGood(result, run.Warmup, run.Warmup+window)
		}
	}
	r.Classes = finish(rowNames(), rows, window)
	r.Organisations = finish(run.callers(), callers, window)
	r.LagP99Ms = newLatency(lag).P99Ms
	return r
}

// finish returns the rows that have requests, in order of their names.
func finish(names []string, rows map[string]*row, window time.Duration) []Class {
	var classes []Class
	for _, name := range names {
		if row := rows[name]; row.class.Count > 0 {
			classes = append(classes, row.finish(window))
		}
	}
	return classes
}

func (run *Run) callers() []string {
	var names []string
	for _, o := range run.Organisations {
		names = append(names, o.Name)
	}
	return names
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

// ReusedShare is the share of the reusable tokens that came from prefix caches.
func (c *Class) ReusedShare() float64 {
	if c.ReusableTokens == 0 {
		return 0
	}
	return float64(c.CachedTokens) / float64(c.ReusableTokens)
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
