package burn

import (
	"fmt"
	"image/color"
	"io"
	"math"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

const (
	plotWidth  = 24 * vg.Centimeter
	plotHeight = 11 * vg.Centimeter
	// plotRows bounds the number of lines in a plot; the most urgent rows are drawn.
	plotRows = 6
	// plotSmooth is the number of steps over which each point of a line is summed.
	plotSmooth = int(Window30m / coarseStep)
)

// WritePNG draws the burn of the most urgent rows over the last six hours, each
// point summed over 30 minutes, with the thresholds of the levels.
func WritePNG(w io.Writer, r Report) error {
	p := plot.New()
	p.Title.Text = "Error budget burn, sums of 30 minutes"
	p.X.Label.Text = "hours before " + r.Time.Format(time.DateTime)
	p.Y.Label.Text = "burn rate"
	p.X.Min, p.X.Max = -Window6h.Hours(), 0
	p.Y.Min = 0
	p.Legend.Top, p.Legend.Left = true, true
	p.Add(plotter.NewGrid())
	for i, row := range r.Rows[:min(len(r.Rows), plotRows)] {
		if err := addRow(p, row, r.Time, i); err != nil {
			return fmt.Errorf("plot %s: %w", row.Service, err)
		}
	}
	addThreshold(p, FastBurn, color.RGBA{R: 200, A: 255})
	addThreshold(p, SlowBurn, color.RGBA{R: 200, G: 150, A: 255})
	writer, err := p.WriterTo(plotWidth, plotHeight, "png")
	if err != nil {
		return fmt.Errorf("draw burn plot: %w", err)
	}
	if _, err := writer.WriteTo(w); err != nil {
		return fmt.Errorf("write burn plot: %w", err)
	}
	return nil
}

func addRow(p *plot.Plot, row Row, now time.Time, style int) error {
	points := row.line(now)
	if len(points) == 0 {
		return nil
	}
	line, err := plotter.NewLine(points)
	if err != nil {
		return err
	}
	line.Color = plotutil.Color(style)
	p.Add(line)
	p.Legend.Add(printable(row.Service)+" "+row.teamName(), line)
	return nil
}

// line returns the burn rates of the row by time, in hours relative to now.
func (r Row) line(now time.Time) plotter.XYs {
	var out plotter.XYs
	var sum Counts
	for i, c := range r.points {
		sum.add(c)
		if i >= plotSmooth {
			sum.Good -= r.points[i-plotSmooth].Good
			sum.Bad -= r.points[i-plotSmooth].Bad
		}
		end := time.Duration(r.first+int64(i)+1) * coarseStep
		x := math.Min(0, (end - time.Duration(now.UnixNano())).Hours())
		out = append(out, plotter.XY{X: x, Y: burnRate(sum, r.Target)})
	}
	return out
}

func addThreshold(p *plot.Plot, burn float64, c color.Color) {
	line := plotter.NewFunction(func(float64) float64 { return burn })
	line.Color = c
	line.Dashes = []vg.Length{vg.Points(4), vg.Points(3)}
	p.Add(line)
	p.Y.Max = math.Max(p.Y.Max, burn*1.1)
}
