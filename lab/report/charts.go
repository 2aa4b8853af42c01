package report

import (
	"fmt"
	"image/color"
	"maps"
	"math"
	"slices"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/font"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/text"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"

	"ryerill/lab/experiment"
	"ryerill/lab/metrics"
)

// figure is a chart that may be drawn. Its plot is nil if the results have no values for it.
type figure interface {
	plot(res *experiment.Results) (*plot.Plot, error)
}

// namedFigure is a figure with the name of its files.
type namedFigure struct {
	name string
	figure
}

// figures lists the charts of results in the order of the page.
func figures(res *experiment.Results) []namedFigure {
	all := []namedFigure{
		{"goodput", metricBars{
			title:  "Goodput: worth answered over worth asked (bar: mean, line: 95% interval, dots: runs)",
			y:      "goodput",
			metric: "goodput",
		}},
		{"goodput-time", seriesOverTime{
			title:      "Goodput over time (mean of runs; shade: middle 80% of them)",
			y:          "goodput",
			series:     func(s metrics.Series) []float64 { return s.Goodput },
			neighbours: 1,
		}},
		{"latency-time", seriesOverTime{
			title:      "95th percentile of latency over time",
			y:          "latency (s)",
			series:     func(s metrics.Series) []float64 { return s.P95 },
			neighbours: 1,
		}},
		{"limit-time", seriesOverTime{
			title:  "Limit on calls in flight, all proxies of the first tier",
			y:      "calls",
			series: func(s metrics.Series) []float64 { return s.Limit },
		}},
		{"flight-time", seriesOverTime{
			title:  "Calls in flight, all proxies of the first tier",
			y:      "calls",
			series: func(s metrics.Series) []float64 { return s.InFlight },
		}},
	}
	for _, class := range classNames(res) {
		all = append(all, namedFigure{"cdf-" + class, latencyDistribution{class}})
	}
	return append(all,
		namedFigure{"waste", metricBars{
			title:  "Waste: work that went into no answer, as a part of all work",
			y:      "waste",
			metric: "waste",
		}},
		namedFigure{"recover", metricBars{
			title:  "Time from the end of the trouble until goodput was back",
			y:      "seconds",
			metric: "recover",
		}},
		namedFigure{"cpu", metricBars{
			title:  "CPU of the proxy for each request",
			y:      "microseconds",
			metric: "cpu_us",
		}},
	)
}

// Charts draws all charts that the results have values for.
func Charts(res *experiment.Results) ([]Chart, error) {
	var charts []Chart
	for _, f := range figures(res) {
		p, err := f.plot(res)
		if err != nil {
			return nil, fmt.Errorf("chart %s: %w", f.name, err)
		}
		if p == nil {
			continue
		}
		chart, err := render(f.name, p)
		if err != nil {
			return nil, err
		}
		charts = append(charts, chart)
	}
	return charts, nil
}

// classNames lists the classes that any run has latencies of.
func classNames(res *experiment.Results) []string {
	names := map[string]bool{}
	for _, run := range res.Runs {
		for class := range run.Result.CDF {
			names[class] = true
		}
	}
	return slices.Sorted(maps.Keys(names))
}

// faultShades marks the times of faults behind the lines, and names them.
type faultShades struct{ spans []experiment.FaultSpan }

// Plot draws the shades; it makes them a plot.Plotter.
func (s faultShades) Plot(canvas draw.Canvas, p *plot.Plot) {
	const (
		labelRows      = 3 // neighbours stand below each other
		labelRowHeight = 11
		labelInset     = 3
		labelSize      = 9
	)
	toX, _ := p.Transforms(&canvas)
	style := p.Legend.TextStyle
	style.Font = font.From(style.Font, labelSize)
	style.Color = color.Gray{Y: 90}
	style.YAlign = text.YTop
	style.XAlign = text.XLeft
	bottom := canvas.Min.Y
	top := canvas.Max.Y
	for i, span := range s.spans {
		left := toX(math.Max(span.From, p.X.Min))
		right := toX(math.Min(span.To, p.X.Max))
		if right <= left {
			continue
		}
		canvas.FillPolygon(color.NRGBA{R: 255, G: 214, B: 150, A: 110}, []vg.Point{
			{X: left, Y: bottom}, {X: right, Y: bottom}, {X: right, Y: top}, {X: left, Y: top},
		})
		label := vg.Point{X: left + labelInset, Y: top - labelInset - vg.Length(i%labelRows)*labelRowHeight}
		canvas.FillText(style, label, span.Kind)
	}
}

// maxBands is how many variants are drawn with their ranges: more would cover each other.
const maxBands = 3

// Ends of the range of runs that is shaded: the middle 80% of them.
const (
	bandLow  = 0.1
	bandHigh = 0.9
)

// seriesOverTime draws a series of each variant: the mean over its runs, with their range.
type seriesOverTime struct {
	title      string
	y          string
	series     func(metrics.Series) []float64
	neighbours int // with so many on each side a value is averaged
}

func (f seriesOverTime) plot(res *experiment.Results) (*plot.Plot, error) {
	p := newPlot(f.title, "time (s)", f.y)
	p.Add(faultShades{res.Faults})
	p.Y.Min = 0
	hasValues := false
	for i, variant := range res.Variants {
		line := f.mean(res.Of(variant))
		hasValues = hasValues || slices.ContainsFunc(line.Y, func(y float64) bool { return y > 0 })
		if len(line.X) < 2 {
			continue
		}
		if len(res.Variants) <= maxBands {
			if err := addBand(p, i, line); err != nil {
				return nil, err
			}
		}
		if err := addLine(p, i, variant, line.points()); err != nil {
			return nil, err
		}
	}
	if !hasValues {
		return nil, nil
	}
	p.Y.Max *= 1.12 // space for the labels of faults
	return p, nil
}

// mean returns the mean of the series over runs, with their range.
func (f seriesOverTime) mean(runs []experiment.Run) Line {
	longest := 0
	for _, run := range runs {
		longest = max(longest, len(f.series(run.Result.Series)))
	}
	var line Line
	for i := range longest {
		var values []float64
		for _, run := range runs {
			all := f.series(run.Result.Series)
			if i < len(all) && run.Result.Void == "" {
				values = append(values, smoothed(all, i, f.neighbours))
			}
		}
		if len(values) == 0 {
			continue
		}
		line.X = append(line.X, (float64(i)+0.5)*metrics.Step.Seconds())
		line.Y = append(line.Y, experiment.Mean(values))
		line.Low = append(line.Low, experiment.Quantile(bandLow, values))
		line.High = append(line.High, experiment.Quantile(bandHigh, values))
	}
	return line
}

// smoothed is the mean of a value and its neighbours.
func smoothed(values []float64, index, neighbours int) float64 {
	sum := 0.0
	count := 0
	for i := max(0, index-neighbours); i <= min(len(values)-1, index+neighbours); i++ {
		sum += values[i]
		count++
	}
	return sum / float64(count)
}

// latencyDistribution draws the distribution of a class's latency for each variant, over all its runs.
type latencyDistribution struct{ class string }

func (f latencyDistribution) plot(res *experiment.Results) (*plot.Plot, error) {
	p := newPlot("Latency of "+f.class+": answers served within a time",
		"latency (s, logarithmic)", "part of the answers served")
	setLogarithmicX(p)
	hasValues := false
	for i, variant := range res.Variants {
		points := f.points(res.Of(variant))
		if len(points) < 2 {
			continue
		}
		if err := addLine(p, i, variant, points); err != nil {
			return nil, err
		}
		hasValues = true
	}
	if !hasValues {
		return nil, nil
	}
	return p, nil
}

// points returns the mean over runs of each quantile of the latency.
func (f latencyDistribution) points(runs []experiment.Run) plotter.XYs {
	var points plotter.XYs
	for i, quantile := range metrics.Quantiles {
		var values []float64
		for _, run := range runs {
			cdf := run.Result.CDF[f.class]
			if i < len(cdf) && cdf[i] > 0 && run.Result.Void == "" {
				values = append(values, cdf[i])
			}
		}
		if len(values) > 0 {
			points = append(points, plotter.XY{X: experiment.Mean(values), Y: quantile})
		}
	}
	return points
}

// maxLevelNames is how many variants have their names written level below the axis.
const maxLevelNames = 5

// metricBars compares a metric of the variants: a bar for its mean with its 95% interval, and a dot for each run.
type metricBars struct {
	title  string
	y      string
	metric string
}

func (f metricBars) plot(res *experiment.Results) (*plot.Plot, error) {
	p := newPlot(f.title, "", f.y)
	p.Y.Min = 0
	hasValues := false
	for i, variant := range res.Variants {
		values := res.Values(variant, f.metric)
		if len(values) == 0 {
			continue
		}
		if err := addBar(p, i, values); err != nil {
			return nil, err
		}
		hasValues = hasValues || experiment.Mean(values) != 0
	}
	if !hasValues {
		return nil, nil
	}
	p.NominalX(res.Variants...)
	if len(res.Variants) > maxLevelNames {
		p.X.Tick.Label.Rotation = 0.4
		p.X.Tick.Label.XAlign = text.XRight
	}
	return p, nil
}

// addBar adds the bar of a variant's values, their interval and their dots.
func addBar(p *plot.Plot, index int, values []float64) error {
	const (
		barWidth   = 0.45 * vg.Inch
		dotsOffset = 0.3 // to the right of the bar's middle
		dotsSpread = 0.1
		dotColumns = 5
	)
	x := float64(index)
	c := colour(index)
	bar, err := plotter.NewBarChart(plotter.Values{experiment.Mean(values)}, barWidth)
	if err != nil {
		return err
	}
	bar.Color = color.RGBA{R: c.R/2 + 100, G: c.G/2 + 100, B: c.B/2 + 100, A: 255} // a paler shade
	bar.LineStyle.Width = 0
	bar.XMin = x
	p.Add(bar)
	low, high := experiment.Interval(values)
	interval, err := plotter.NewLine(plotter.XYs{{X: x, Y: low}, {X: x, Y: high}})
	if err != nil {
		return err
	}
	interval.Width = 2
	var points plotter.XYs
	for i, value := range values {
		column := float64(i%dotColumns) / dotColumns
		points = append(points, plotter.XY{X: x + dotsOffset + dotsSpread*column, Y: value})
	}
	dots, err := plotter.NewScatter(points)
	if err != nil {
		return err
	}
	dots.Color = c
	dots.Radius = 1.8
	dots.Shape = draw.CircleGlyph{}
	p.Add(interval, dots)
	return nil
}
