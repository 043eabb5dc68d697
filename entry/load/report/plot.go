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
	// legendRoom is the factor of time left of all curves, for the legend.
	legendRoom = 8
)

// Plot draws the times to first token into a PNG file: for each label and length class
// the share of all requests whose first token had come by a time. Reports with one label
// are drawn as one. Requests that failed never count as started, so that a curve ends
// below 1 by their share and a policy can't look fast by what it refuses.
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
	for i, group := range byLabel(reports) {
		for j, class := range lengthClasses() {
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
	p.X.Min /= legendRoom
	return errors.Wrap(p.Save(plotWidth, plotHeight, path), "draw the chart")
}

// addCurve returns how many curves it drew.
func addCurve(p *plot.Plot, group []*Report, class string, c color.Color, dashes []vg.Length) (int, error) {
	points, err := curve(group, class)
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

// curve returns the cumulative distribution over all reports of a group.
func curve(group []*Report, class string) (plotter.XYs, error) {
	merged, count, err := merge(group, class)
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

// merge joins the times to first token of a class and counts its requests.
func merge(group []*Report, class string) (*hdrhistogram.Histogram, int, error) {
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

// byLabel groups reports by label, in the order in which the labels first come.
func byLabel(reports []*Report) [][]*Report {
	var groups [][]*Report
	place := map[string]int{}
	for _, r := range reports {
		i, known := place[r.Label]
		if !known {
			i = len(groups)
			place[r.Label] = i
			groups = append(groups, nil)
		}
		groups[i] = append(groups[i], r)
	}
	return groups
}
