package report

import (
	"fmt"
	"image/color"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/pkg/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// The size of a chart.
const (
	plotWidth  = 11 * vg.Inch
	plotHeight = 7 * vg.Inch
	// legendTimeFactor extends the logarithmic time axis to the left to make room for the legend.
	legendTimeFactor = 8
)

// Plot draws the cumulative distribution of times to first token into a PNG file, one curve for
// each label and length class. Reports with the same label are merged. The fractions are of all
// requests, so that a curve ends below 1 by the fraction of failed requests and a policy doesn't
// look fast by rejecting slow ones.
func Plot(path string, reports []*Report) error {
	p := plot.New()
	p.Title.Text = "Time to first token by prompt length"
	p.X.Label.Text = "ms from the intended time of sending"
	p.X.Scale = plot.LogScale{}
	p.X.Tick.Marker = plot.LogTicks{Prec: -1}
	p.Y.Label.Text = "share of requests"
	p.Y.Min, p.Y.Max = 0, 1
	p.Legend.Top = true
	p.Legend.Left = true
	p.Add(plotter.NewGrid())
	lines := 0
	for i, group := range groupByLabel(reports) {
		for j, class := range lengthClassNames() {
			added, err := addCurve(p, group, class, plotutil.Color(i), plotutil.Dashes(j))
			if err != nil {
				return err
			}
			lines += added
		}
	}
	if lines == 0 {
		return errors.New("no times to first token to draw")
	}
	p.X.Min /= legendTimeFactor
	return errors.Wrap(p.Save(plotWidth, plotHeight, path), "draw the chart")
}

// addCurve draws a curve if the class has data and returns the number of curves drawn, 0 or 1.
func addCurve(p *plot.Plot, group []*Report, class string, c color.Color, dashes []vg.Length) (int, error) {
	points, err := cumulativeCurve(group, class)
	if err != nil || len(points) == 0 {
		return 0, err
	}
	line, err := plotter.NewLine(points)
	if err != nil {
		return 0, errors.Wrap(err, "draw a curve")
	}
	line.Color = c
	line.Dashes = dashes
	line.StepStyle = plotter.PostStep
	p.Add(line)
	p.Legend.Add(fmt.Sprintf("%s, %s", group[0].Label, class), line)
	return 1, nil
}

// cumulativeCurve returns the cumulative distribution of times to first token over a group of
// reports.
func cumulativeCurve(group []*Report, class string) (plotter.XYs, error) {
	merged, count, err := mergeFirstTokens(group, class)
	if err != nil || merged.TotalCount() == 0 {
		return nil, err
	}
	var points plotter.XYs
	started := int64(0)
	for _, bar := range merged.Distribution() {
		if bar.Count == 0 {
			continue
		}
		started += bar.Count
		points = append(points, plotter.XY{X: float64(bar.To) / 1000, Y: float64(started) / float64(count)})
	}
	return points, nil
}

// mergeFirstTokens merges the times to first token of a class over a group of reports and counts
// the requests.
func mergeFirstTokens(group []*Report, class string) (*hdrhistogram.Histogram, int, error) {
	merged := newHistogram()
	count := 0
	for _, r := range group {
		c := r.Class(class)
		h, err := c.FirstToken.decode()
		if err != nil {
			return nil, 0, errors.WithMessagef(err, "%s, %s", r.Label, class)
		}
		merged.Merge(h)
		count += c.Count
	}
	return merged, count, nil
}

// groupByLabel groups reports by label, in the order of the first report of each label.
func groupByLabel(reports []*Report) [][]*Report {
	var groups [][]*Report
	groupIndex := map[string]int{}
	for _, r := range reports {
		i, known := groupIndex[r.Label]
		if !known {
			i = len(groups)
			groupIndex[r.Label] = i
			groups = append(groups, nil)
		}
		groups[i] = append(groups[i], r)
	}
	return groups
}
