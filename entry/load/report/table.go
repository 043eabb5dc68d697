package report

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"
)

// columnPadding is the number of spaces between two columns.
const columnPadding = 2

func newTable(w io.Writer) *tabwriter.Writer {
	return tabwriter.NewWriter(w, 0, 0, columnPadding, ' ', tabwriter.AlignRight)
}

// Print writes a report as human-readable text. Times are in milliseconds.
func (r *Report) Print(w io.Writer) error {
	fmt.Fprintf(w, "%s: seed %d, %.4g requests/s offered", r.Label, r.Seed, r.RequestsPerSecond)
	if r.Load > 0 {
		fmt.Fprintf(w, " (load %.4g)", r.Load)
	}
	fmt.Fprintf(w, ", %.4g s measured", r.WindowSeconds)
	if r.Speed != 1 {
		fmt.Fprintf(w, ", engines %.4g times faster than usual", r.Speed)
	}
	if r.Interrupted {
		fmt.Fprint(w, ", interrupted")
	}
	fmt.Fprintf(w, "\n%s\n\n", r.Deployment)
	if err := r.printRows(w); err != nil {
		return err
	}
	r.printFailures(w)
	r.printSlowdown(w)
	_, err := fmt.Fprintf(w, "requests were sent %.3g ms late at p99\n", r.LagP99Ms)
	return err
}

func (r *Report) printRows(w io.Writer) error {
	t := newTable(w)
	fmt.Fprintln(t, "class\tcount\tok\tlate\tfailed\tTTFT p50\tp95\tp99\tbetween p50\tp95\tp99\twhole p50\tp95\tp99\tcached\tof reusable\tgoodput/s\t")
	for i := range r.Classes {
		row := &r.Classes[i]
		fmt.Fprintf(t, "%s\t%d\t%d\t%d\t%d\t", row.Name, row.Count, row.OK, row.Late, row.Count-row.OK)
		for _, l := range []Latency{row.FirstToken, row.BetweenTokens, row.Total} {
			fmt.Fprint(t, l.cells())
		}
		fmt.Fprintf(t, "%.1f%%\t%.0f%%\t%.4g\t\n", 100*row.CachedShare(), 100*row.ReusedShare(), row.GoodPerSecond)
	}
	return t.Flush()
}

// cells returns three tab-terminated columns with the percentiles, or dashes for an empty
// distribution.
func (l Latency) cells() string {
	if l.Count == 0 {
		return "-\t-\t-\t"
	}
	return fmt.Sprintf("%s\t%s\t%s\t", milliseconds(l.P50Ms), milliseconds(l.P95Ms), milliseconds(l.P99Ms))
}

func milliseconds(ms float64) string {
	if ms < 10 {
		return fmt.Sprintf("%.2f", ms)
	}
	return fmt.Sprintf("%.0f", ms)
}

func (r *Report) printFailures(w io.Writer) {
	for i := range r.Classes {
		row := &r.Classes[i]
		if row.Name == AllClass {
			continue
		}
		for _, code := range slices.Sorted(maps.Keys(row.Failed)) {
			fmt.Fprintf(w, "failed: %d %s with %s\n", row.Failed[code], row.Name, code)
		}
	}
}

func (r *Report) printSlowdown(w io.Writer) {
	s := r.Slowdown
	if s == nil {
		return
	}
	fmt.Fprintf(w, "slowdown of short requests by longer ones: p50 %.2f, p95 %.2f, p99 %.2f", s.P50, s.P95, s.P99)
	fmt.Fprintf(w, "; each against itself: p50 %.2f, p95 %.2f, p99 %.2f", s.PairP50, s.PairP95, s.PairP99)
	fmt.Fprintf(w, " (%d pairs, %d lost)\n", s.Pairs, s.Lost)
}
