package bench

import (
	"fmt"
	"math"
	"slices"
	"strconv"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// plotted are the waiting times that the plot shows, in milliseconds.
var plotted = []struct {
	name, label string
	scale       float64
}{
	{RequestP50, "request p50", 1e-3}, {RequestP99, "request p99", 1e-3},
	{UrgentP50, "urgent p50", 1}, {UrgentP99, "urgent p99", 1},
	{BatchP50, "batch p50", 1}, {BatchP99, "batch p99", 1}, {GangP50, "gang p50", 1},
}

const (
	plotWidth  = 20 * vg.Centimeter
	plotHeight = 10 * vg.Centimeter
	barWidth   = 24
	// axisStart is the start of the axis, in ms; smaller values have bars of no height.
	axisStart = 0.1
	// decadesShown covers waits of up to a day.
	decadesShown = 9
)

// decades labels the axis. The values are logarithms on a linear axis, since the
// library's bar charts start at 0, which its logarithmic axis cannot show.
func decades() plot.ConstantTicks {
	var ticks plot.ConstantTicks
	for i := range decadesShown {
		ticks = append(ticks, plot.Tick{Value: float64(i), Label: strconv.FormatFloat(axisStart*math.Pow10(i), 'f', -1, 64)})
	}
	return ticks
}

// Plot writes a bar chart of the median waiting times to a PNG file.
func (r *Result) Plot(path string) error {
	p := plot.New()
	p.Title.Text = fmt.Sprintf("Waiting times, %s, %d daemons, %.0f requests/s, task load %.2f",
		r.Setting.User, r.Setting.Daemons, r.Setting.Rate, r.Setting.TaskLoad)
	p.Y.Label.Text = "ms (logarithmic)"
	p.Y.Tick.Marker = decades()
	var values plotter.Values
	var labels []string
	for _, m := range plotted {
		values = append(values, math.Log10(max(axisStart, r.median(m.name)*m.scale)/axisStart))
		labels = append(labels, m.label)
	}
	bars, err := plotter.NewBarChart(values, vg.Points(barWidth))
	if err != nil {
		return fmt.Errorf("bench: plot: %w", err)
	}
	bars.LineStyle.Width = 0
	p.Add(bars)
	p.NominalX(labels...)
	if err := p.Save(plotWidth, plotHeight, path); err != nil {
		return fmt.Errorf("bench: plot: %w", err)
	}
	return nil
}

func (r *Result) median(name string) float64 {
	var values []float64
	for _, m := range r.Repetitions {
		values = append(values, m[name])
	}
	slices.Sort(values)
	return values[len(values)/2]
}

// curve is one line of a plot; the x values are times in seconds.
type curve struct {
	name   string
	points [][2]float64
}

// plotCurves writes a plot of lines over time to a PNG file.
func plotCurves(path, title, label string, curves []curve) error {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = title, "s", label
	p.Legend.Top = true
	for i, c := range curves {
		points := make(plotter.XYs, len(c.points))
		for k, at := range c.points {
			points[k].X, points[k].Y = at[0], at[1]
		}
		line, err := plotter.NewLine(points)
		if err != nil {
			return fmt.Errorf("bench: plot: %w", err)
		}
		line.Color, line.Dashes = plotutil.Color(i), plotutil.Dashes(i)
		p.Add(line)
		p.Legend.Add(c.name, line)
	}
	if err := p.Save(plotWidth, plotHeight, path); err != nil {
		return fmt.Errorf("bench: plot: %w", err)
	}
	return nil
}
