package policytest

import (
	"flag"
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// plotFile is the file that TestPlotGoodput writes. Without the flag, the test plots fewer loads
// and one seed into a temporary folder.
var plotFile = flag.String("plot", "", "PNG file for the curves of goodput")

// TestPlotGoodput plots the goodput by load, with one line for each variant.
//
//	go test -run TestPlotGoodput ./core/policytest -plot ../../docs/plots/goodput.png
func TestPlotGoodput(t *testing.T) {
	loads, seeds := []float64{1, 2, 3}, 1
	if *plotFile == "" {
		*plotFile = t.TempDir() + "/goodput.png"
	} else {
		loads, seeds = []float64{1, 1.25, 1.5, 1.75, 2, 2.25, 2.5, 2.75, 3}, seedCount
	}
	p := plot.New()
	p.Title.Text = "Goodput by load"
	p.X.Label.Text = "load, in multiples of the usual load"
	p.Y.Label.Text = "value of answers per second"
	p.Y.Min = 0
	p.Legend.Top, p.Legend.Left = true, true
	p.Add(plotter.NewGrid())
	for i, v := range variants {
		var points plotter.XYs
		for _, load := range loads {
			points = append(points, plotter.XY{X: load, Y: meanGoodputOf(v, seeds, load, bursts).valuePerSecond})
		}
		line, err := plotter.NewLine(points)
		require.NoError(t, err)
		line.Color = plotutil.Color(i)
		p.Add(line)
		p.Legend.Add(fmt.Sprintf("%s, %s", v.rule, v.visibility), line)
	}
	require.NoError(t, p.Save(9*vg.Inch, 6*vg.Inch, *plotFile))
}
