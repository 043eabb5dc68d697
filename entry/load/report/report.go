// Package report aggregates the results of load runs by length class, as a table, as JSON and as
// a chart of times to first token.
package report

import (
	"time"

	"acaciacleat.example/core/call"
	"acaciacleat.example/entry/load"
	"acaciacleat.example/entry/load/mix"
	"acaciacleat.example/entry/load/schedule"
)

// Names of the rows of Report.Classes that are not length classes.
const (
	// PlainClass covers the calls of plain services.
	PlainClass = "plain"
	// AllClass covers generations of all lengths.
	AllClass = "all"
)

// Report is the outcome of one run. Times are as measured and not scaled by Speed.
type Report struct {
	// Label names the run, for instance by its policy.
	Label string `json:"label"`
	// Deployment describes the deployment under load.
	Deployment string `json:"deployment"`
	Seed       uint64 `json:"seed"`
	// Load is the offered load as a fraction of the engines' capacity; 0 when unknown.
	Load float64 `json:"load,omitempty"`
	// RequestsPerSecond is the offered rate, calls of plain services included.
	RequestsPerSecond float64 `json:"requests_per_second"`
	// Speed is the speed-up of the stand-in engines over their default; 1 for other engines.
	Speed float64 `json:"speed"`
	// WindowSeconds is the length of the measurement window, which excludes the warm-up.
	WindowSeconds float64 `json:"window_seconds"`
	Interrupted   bool    `json:"interrupted,omitempty"`
	// Classes has rows for the length classes in order of length, then for the calls of plain
	// services and for all generations. Rows without requests are left out.
	Classes []Row `json:"classes"`
	// Organisations has one row for the short requests of each organisation. Rows over all
	// lengths would not be comparable, because organisations differ in their mix of lengths.
	Organisations []Row `json:"organisations"`
	// Slowdown compares short requests with the same requests run alone; nil when not measured.
	Slowdown *Slowdown `json:"slowdown,omitempty"`
	// LagP99Ms is the 99th percentile of the client's own send delay.
	LagP99Ms float64 `json:"lag_p99_ms"`
}

// Row holds the figures of a length class, of the calls of plain services, of all generations, or of
// the short requests of an organisation.
type Row struct {
	Name  string `json:"class"`
	Count int    `json:"count"`
	// OK counts complete responses; Late counts those of them that missed their deadline.
	OK   int `json:"ok"`
	Late int `json:"late"`
	// Started counts generations with at least one token, whether complete or not.
	Started int `json:"started"`
	// Failed counts failures by code.
	Failed map[string]int `json:"failed"`
	// The distributions cover complete responses only.
	FirstToken    Latency `json:"first_token"`
	BetweenTokens Latency `json:"between_tokens"`
	Total         Latency `json:"whole"`
	// Token counts are as the entries reported them, for complete responses only.
	PromptTokens int64 `json:"prompt_tokens"`
	CachedTokens int64 `json:"cached_tokens"`
	// ReusableTokens is the upper bound of CachedTokens: the cache hits of an omniscient router
	// with prefix caches of unlimited size; see schedule.Request.
	ReusableTokens   int64 `json:"reusable_tokens"`
	CompletionTokens int64 `json:"completion_tokens"`
	// GoodPerSecond is the goodput: responses per second that met their deadline and ended
	// within the window. In rows of organisations, requests that arrived during the warm-up do
	// not count; in all other rows they do.
	GoodPerSecond       float64 `json:"good_per_second"`
	GoodTokensPerSecond float64 `json:"good_tokens_per_second"`
}

// Run describes a load run for its report.
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
	// Organisations are indexed by schedule.Request.Organisation.
	Organisations []mix.Organisation
}

// New aggregates the results of a run. Requests that arrive during the warm-up count only towards
// the goodput, and not at all in the rows of organisations.
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
	accumulators, organisationAccumulators := newAccumulators(rowNames()), newAccumulators(run.organisationNames())
	for i := range results {
		result := &results[i]
		for _, name := range rowsFor(result.Request) {
			accumulators[name].addGoodput(result, run.Warmup, run.Warmup+window)
		}
		if result.Request.At < run.Warmup {
			continue
		}
		record(lag, result.Lag)
		for _, name := range rowsFor(result.Request) {
			accumulators[name].add(result)
		}
		if isShort(result, run.Warmup) && len(run.Organisations) > 0 {
			organisation := organisationAccumulators[run.Organisations[result.Request.Organisation].Name]
			organisation.add(result)
			organisation.addGoodput(result, run.Warmup, run.Warmup+window)
		}
	}
	r.Classes = nonEmptyRows(rowNames(), accumulators, window)
	r.Organisations = nonEmptyRows(run.organisationNames(), organisationAccumulators, window)
	r.LagP99Ms = newLatency(lag).P99Ms
	return r
}

// nonEmptyRows returns the rows that have requests, in the order of names.
func nonEmptyRows(names []string, accumulators map[string]*accumulator, window time.Duration) []Row {
	var rows []Row
	for _, name := range names {
		if a := accumulators[name]; a.row.Count > 0 {
			rows = append(rows, a.toRow(window))
		}
	}
	return rows
}

func (run *Run) organisationNames() []string {
	var names []string
	for _, o := range run.Organisations {
		names = append(names, o.Name)
	}
	return names
}

// window returns the length of the measurement window. In an interrupted run, the window ends at the
// last request sent.
func (run *Run) window(results []load.Result) time.Duration {
	end := run.Duration
	if run.Interrupted && len(results) > 0 {
		end = results[len(results)-1].Request.At
	}
	return max(end-run.Warmup, time.Millisecond)
}

// Class returns the row of Classes with the given name, or an empty one.
func (r *Report) Class(name string) *Row {
	for i := range r.Classes {
		if r.Classes[i].Name == name {
			return &r.Classes[i]
		}
	}
	return &Row{Name: name}
}

// CachedShare returns the fraction of prompt tokens that were prefix cache hits.
func (r *Row) CachedShare() float64 {
	if r.PromptTokens == 0 {
		return 0
	}
	return float64(r.CachedTokens) / float64(r.PromptTokens)
}

// ReusedShare returns the prefix cache hits as a fraction of the reusable tokens.
func (r *Row) ReusedShare() float64 {
	if r.ReusableTokens == 0 {
		return 0
	}
	return float64(r.CachedTokens) / float64(r.ReusableTokens)
}

// rowNames returns the names of all rows of Report.Classes in their order.
func rowNames() []string {
	names := lengthClassNames()
	return append(names, PlainClass, AllClass)
}

func lengthClassNames() []string {
	var names []string
	for class := range call.NumClasses {
		names = append(names, class.String())
	}
	return names
}

// rowsFor returns the names of the rows in which a request counts.
func rowsFor(request *schedule.Request) []string {
	if request.Call != nil {
		return []string{PlainClass}
	}
	return []string{request.Class().String(), AllClass}
}
