package report

import (
	"fmt"
	"io"
	"slices"
)

// Summary holds the medians and ranges over all runs with one label.
type Summary struct {
	Label   string   `json:"label"`
	Runs    int      `json:"runs"`
	Metrics []Metric `json:"metrics"`
}

// Metric summarises one figure over several runs.
type Metric struct {
	Name string `json:"name"`
	// Runs counts the runs that have the figure; a run without requests in a row has none.
	Runs   int     `json:"runs"`
	Median float64 `json:"median"`
	Min    float64 `json:"min"`
	Max    float64 `json:"max"`
}

// measure is a named figure of a report; read returns ok false if the report doesn't have it.
type measure struct {
	name string
	read func(*Report) (value float64, ok bool)
}

var measures = []measure{
	{"short slowdown p95", func(r *Report) (float64, bool) { return slowdown(r, func(s *Slowdown) float64 { return s.P95 }) }},
	{"short slowdown p99", func(r *Report) (float64, bool) { return slowdown(r, func(s *Slowdown) float64 { return s.P99 }) }},
	firstTokenP95("short"),
	firstTokenP95("medium"),
	firstTokenP95("long"),
	firstTokenP95("huge"),
	firstTokenP95(AllClass),
	percentOf("failed %", AllClass, func(row *Row) int { return row.Count - row.OK }),
	percentOf("failed long %", "long", func(row *Row) int { return row.Count - row.OK }),
	percentOf("failed huge %", "huge", func(row *Row) int { return row.Count - row.OK }),
	{"cached %", func(r *Report) (float64, bool) {
		row := r.Class(AllClass)
		return 100 * row.CachedShare(), row.PromptTokens > 0
	}},
	{"cached of reusable %", func(r *Report) (float64, bool) {
		row := r.Class(AllClass)
		return 100 * row.ReusedShare(), row.ReusableTokens > 0
	}},
	{"goodput/s", func(r *Report) (float64, bool) { return r.Class(AllClass).GoodPerSecond, true }},
	{"goodput tokens/s", func(r *Report) (float64, bool) { return r.Class(AllClass).GoodTokensPerSecond, true }},
	{"sent late p99 ms", func(r *Report) (float64, bool) { return r.LagP99Ms, true }},
}

func slowdown(r *Report, read func(*Slowdown) float64) (float64, bool) {
	if r.Slowdown == nil {
		return 0, false
	}
	return read(r.Slowdown), true
}

func firstTokenP95(class string) measure {
	return measure{class + " TTFT p95 ms", func(r *Report) (float64, bool) {
		l := r.Class(class).FirstToken
		return l.P95Ms, l.Count > 0
	}}
}

func percentOf(name, class string, read func(*Row) int) measure {
	return measure{name, func(r *Report) (float64, bool) {
		row := r.Class(class)
		return 100 * float64(read(row)) / float64(max(row.Count, 1)), row.Count > 0
	}}
}

// Summarise aggregates reports by label. It skips interrupted runs, because their figures cover
// shorter windows.
func Summarise(reports []*Report) []Summary {
	complete := slices.DeleteFunc(slices.Clone(reports), func(r *Report) bool { return r.Interrupted })
	var summaries []Summary
	for _, group := range groupByLabel(complete) {
		s := Summary{Label: group[0].Label, Runs: len(group)}
		for _, m := range measures {
			if metric, ok := m.summarise(group); ok {
				s.Metrics = append(s.Metrics, metric)
			}
		}
		summaries = append(summaries, s)
	}
	return summaries
}

func (m measure) summarise(group []*Report) (Metric, bool) {
	var values []float64
	for _, r := range group {
		if value, ok := m.read(r); ok {
			values = append(values, value)
		}
	}
	if len(values) == 0 {
		return Metric{}, false
	}
	slices.Sort(values)
	last := len(values) - 1
	return Metric{
		Name:   m.name,
		Runs:   len(values),
		Median: (values[last/2] + values[(last+1)/2]) / 2,
		Min:    values[0],
		Max:    values[last],
	}, true
}

// PrintSummaries writes a table with one column for each label: the median over its runs, with the
// range if there are several.
func PrintSummaries(w io.Writer, summaries []Summary) error {
	t := newTable(w)
	fmt.Fprint(t, "median (range)\t")
	for _, s := range summaries {
		fmt.Fprintf(t, "%s, %d runs\t", s.Label, s.Runs)
	}
	fmt.Fprintln(t)
	for _, m := range measures {
		fmt.Fprintf(t, "%s\t", m.name)
		for i := range summaries {
			fmt.Fprintf(t, "%s\t", summaries[i].cell(m.name))
		}
		fmt.Fprintln(t)
	}
	return t.Flush()
}

func (s *Summary) cell(name string) string {
	for _, m := range s.Metrics {
		switch {
		case m.Name != name:
			continue
		case m.Runs == 1:
			return fmt.Sprintf("%.4g", m.Median)
		default:
			return fmt.Sprintf("%.4g (%.4g to %.4g)", m.Median, m.Min, m.Max)
		}
	}
	return "-"
}
