package report

import (
	"bytes"
	"image/png"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"acaciacleat.example/entry/load"
	"acaciacleat.example/entry/load/mix"
	"acaciacleat.example/entry/load/schedule"
	"github.com/stretchr/testify/require"
)

func newResult(i, tokens int, first time.Duration, code string) load.Result {
	return load.Result{
		Request:    &schedule.Request{Index: i, At: time.Duration(i) * 10 * time.Millisecond, PromptTokens: tokens},
		Code:       code,
		FirstToken: first,
		Gaps:       []time.Duration{first / 10},
		Total:      2 * first,
		Usage:      load.Usage{PromptTokens: tokens, CachedTokens: tokens / 4, CompletionTokens: 10},
	}
}

func sampleResults() []load.Result {
	var results []load.Result
	for i := range 200 {
		results = append(results, newResult(i, 1_000, time.Duration(i+1)*time.Millisecond, ""))
	}
	results[150].Late = true
	results[151].Code, results[151].FirstToken = "2003 queue_full (not-run)", 0
	results[152].Request.PromptTokens, results[152].Code = 1_000_000, "3001 deadline_passed (ran)"
	results[153].Request.Call = &mix.Call{}
	return results
}

var testRun = Run{Label: "test", Speed: 1, Warmup: time.Second, Duration: 2 * time.Second, Rate: 100}

// Each request must count in the row of its length class and in the row of all generations, or in
// that of plain services. Failures must stay out of the distributions and the goodput, late
// responses out of the goodput.
func TestReportCountsByClass(t *testing.T) {
	r := New(testRun, sampleResults())
	short, huge, all := r.Class("short"), r.Class("huge"), r.Class(AllClass)
	require.Equal(t, 98, short.Count)
	require.Equal(t, 97, short.OK)
	require.Equal(t, 1, short.Late)
	require.Equal(t, 97, short.Started)
	require.Equal(t, map[string]int{"2003 queue_full (not-run)": 1}, short.Failed)
	require.Equal(t, map[string]int{"3001 deadline_passed (ran)": 1}, huge.Failed)
	require.Equal(t, 1, huge.Started)
	require.Equal(t, 99, all.Count)
	require.Equal(t, 1, r.Class(PlainClass).Count)
	// Request i ends at 10 i + 2 (i+1) ms, so requests 84 to 166 end within the window of one
	// second. Of these, 150 is late and 151 to 153 are not successful short requests.
	require.InDelta(t, 83-4, short.GoodPerSecond, 1e-9)
	require.InDelta(t, 0.25, short.CachedShare(), 1e-9)
	// The times to first token of requests 100 to 199 are 101 to 200 ms; 151 to 153 don't count.
	require.InEpsilon(t, 149, short.FirstToken.P50Ms, 0.001)
	// HdrHistogram rounds the rank: 0.95 × 97 gives the 92nd value.
	require.InEpsilon(t, 195, short.FirstToken.P95Ms, 0.001)
	require.InEpsilon(t, 19.5, short.BetweenTokens.P95Ms, 0.001)
	require.InEpsilon(t, 400, short.Total.MaxMs, 0.001)
	var table strings.Builder
	require.NoError(t, r.Print(&table))
	require.Contains(t, table.String(), "failed: 1 huge with 3001 deadline_passed (ran)\n")
}

func TestSlowdownComparesEqualRequests(t *testing.T) {
	var alone, mixed []load.Result
	for i := range 100 {
		alone = append(alone, newResult(i, 1_000, 10*time.Millisecond, ""))
		mixed = append(mixed, newResult(i, 1_000, 20*time.Millisecond, ""), newResult(1000+i, 200_000, time.Second, ""))
	}
	mixed[2*90].FirstToken = 100 * time.Millisecond
	mixed[2*91].Code = "2002 cannot_start_in_time (not-run)"
	s := Compare(alone, mixed, 100*time.Millisecond)
	require.Equal(t, &Slowdown{Pairs: 89, Lost: 1, P50: 2, P95: 2, P99: 10, PairP50: 2, PairP95: 2, PairP99: 10}, s)
	require.Nil(t, Compare(nil, mixed, 0))
}

func TestSummaryHasMediansAndRanges(t *testing.T) {
	var reports []*Report
	for i, rate := range []float64{30, 10, 20} {
		r := &Report{Label: "combined", Seed: uint64(i), Classes: []Row{{Name: AllClass, Count: 4, OK: i + 1, GoodPerSecond: rate}}}
		reports = append(reports, r)
	}
	reports = append(reports, &Report{Label: "combined", Interrupted: true}, &Report{Label: "naive"})
	summaries := Summarise(reports)
	require.Len(t, summaries, 2)
	require.Equal(t, 3, summaries[0].Runs)
	require.Contains(t, summaries[0].Metrics, Metric{Name: "goodput/s", Runs: 3, Median: 20, Min: 10, Max: 30})
	require.Contains(t, summaries[0].Metrics, Metric{Name: "failed %", Runs: 3, Median: 50, Min: 25, Max: 75})
	var table strings.Builder
	require.NoError(t, PrintSummaries(&table, summaries))
	require.Contains(t, table.String(), "20 (10 to 30)")
}

// Half of the requests fail and the others start immediately. A distribution over the started requests
// alone would give the steepest curve to a policy that rejects its slow requests.
func TestFailedRequestsKeepCurveBelowOne(t *testing.T) {
	results := sampleResults()[100:150]
	for i := range 25 {
		results[2*i].Code = "2002 cannot_start_in_time (not-run)"
	}
	r := New(testRun, results)
	points, err := cumulativeCurve([]*Report{r, r}, "short")
	require.NoError(t, err)
	require.InDelta(t, 0.5, points[len(points)-1].Y, 1e-9)
	path := filepath.Join(t.TempDir(), "chart.png")
	require.NoError(t, Plot(path, []*Report{r}))
	data, err := os.ReadFile(path)
	require.NoError(t, err)
	_, err = png.Decode(bytes.NewReader(data))
	require.NoError(t, err)
	require.Error(t, Plot(path, nil))
}

func TestReportFileRoundTrip(t *testing.T) {
	r := New(testRun, sampleResults())
	path := filepath.Join(t.TempDir(), "reports.json")
	require.NoError(t, (&File{Reports: []*Report{r}}).Write(path))
	f, err := Read(path)
	require.NoError(t, err)
	require.Equal(t, r, f.Reports[0])
	h, err := f.Reports[0].Class("short").FirstToken.decode()
	require.NoError(t, err)
	require.EqualValues(t, 97, h.TotalCount())
}
