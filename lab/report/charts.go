// Package report turns the results of an experiment into files that people
// read: tables in Markdown and CSV, charts as SVG and PNG, and one HTML page
// that opens without a network.
package report

import (
	"bytes"
	"fmt"
	"image/color"
	"math"
	"os"
	"path/filepath"
	"strings"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/font"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/text"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgimg"
	"gonum.org/v1/plot/vg/vgsvg"

	"ryerill/lab/experiment"
	"ryerill/lab/metrics"
)

// palette is that of Okabe and Ito: its colours can be told apart by nearly everybody.
var palette = []color.RGBA{
	{0, 114, 178, 255}, {213, 94, 0, 255}, {0, 158, 115, 255}, {204, 121, 167, 255},
	{230, 159, 0, 255}, {86, 180, 233, 255}, {90, 90, 90, 255}, {160, 140, 20, 255},
}

const (
	width, height = 9 * vg.Inch, 4 * vg.Inch
	dpi           = 110
)

// Chart is one picture.
type Chart struct {
	Name  string // of its files
	Title string
	SVG   string
	png   []byte
}

func newPlot(title, x, y string) *plot.Plot {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = title, x, y
	p.Title.TextStyle.Font.Size, p.Title.Padding = 13, 6
	p.Legend.Top, p.Legend.TextStyle.Font.Size, p.Legend.Padding = true, 10, 2
	p.Legend.ThumbnailWidth = 0.3 * vg.Inch
	p.X.Padding, p.Y.Padding = 2, 2
	grid := plotter.NewGrid()
	grid.Vertical.Color, grid.Horizontal.Color = color.Gray{225}, color.Gray{225}
	p.Add(grid)
	return p
}

// shade marks the times of troubles behind the lines.
type shade struct{ spans []experiment.Span }

func (s shade) Plot(c draw.Canvas, p *plot.Plot) {
	trX, _ := p.Transforms(&c)
	sty := p.Legend.TextStyle
	sty.Font = font.From(sty.Font, 9)
	sty.Color, sty.YAlign, sty.XAlign = color.Gray{90}, text.YTop, text.XLeft
	for i, span := range s.spans {
		x0, x1 := trX(math.Max(span.From, p.X.Min)), trX(math.Min(span.To, p.X.Max))
		if x1 <= x0 {
			continue
		}
		c.FillPolygon(color.NRGBA{255, 214, 150, 110}, []vg.Point{{X: x0, Y: c.Min.Y}, {X: x1, Y: c.Min.Y}, {X: x1, Y: c.Max.Y}, {X: x0, Y: c.Max.Y}})
		c.FillText(sty, vg.Point{X: x0 + 3, Y: c.Max.Y - 3 - vg.Length(i%3)*11}, span.Kind)
	}
}

// style gives the line of an arm a colour and, once the colours are used up, dashes.
func style(l *plotter.Line, n int) {
	l.Color, l.Width = palette[n%len(palette)], 1.6
	if n >= len(palette) {
		l.Dashes = []vg.Length{4, 3}
	}
}

// mostBands is how many arms are drawn with their ranges: more would hide each other.
const mostBands = 3

// band is a line with the range between two others shaded.
func band(p *plot.Plot, n int, shaded bool, name string, xs, mid, low, high []float64) error {
	c := palette[n%len(palette)]
	var line, edge plotter.XYs
	for i := range xs {
		line = append(line, plotter.XY{X: xs[i], Y: mid[i]})
		edge = append(edge, plotter.XY{X: xs[i], Y: high[i]})
	}
	for i := len(xs) - 1; i >= 0; i-- {
		edge = append(edge, plotter.XY{X: xs[i], Y: low[i]})
	}
	area, err := plotter.NewPolygon(edge)
	if err != nil {
		return err
	}
	area.LineStyle.Color = color.Transparent
	area.Color, area.LineStyle.Width = color.NRGBA{c.R, c.G, c.B, 40}, 0
	l, err := plotter.NewLine(line)
	if err != nil {
		return err
	}
	style(l, n)
	if shaded {
		p.Add(area)
	}
	p.Add(l)
	p.Legend.Add(name, l)
	return nil
}

// overTime draws a series of each arm: the mean over seeds, with the range of
// the middle eight tenths of them.
func overTime(res *experiment.Results, title, y string, pick func(metrics.Series) []float64, smooth int) (*plot.Plot, error) {
	p := newPlot(title, "time (s)", y)
	p.Add(shade{res.Spans})
	p.Y.Min = 0
	drawn := false
	for n, arm := range res.Variants {
		runs := res.Of(arm)
		longest := 0
		for _, r := range runs {
			longest = max(longest, len(pick(r.Result.Series)))
		}
		var xs, mid, low, high []float64
		for i := range longest {
			var vs []float64
			for _, r := range runs {
				s := pick(r.Result.Series)
				if i >= len(s) || r.Result.Void != "" {
					continue
				}
				sum, k := 0.0, 0
				for j := max(0, i-smooth); j <= min(len(s)-1, i+smooth); j++ {
					sum, k = sum+s[j], k+1
				}
				vs = append(vs, sum/float64(k))
			}
			if len(vs) == 0 {
				continue
			}
			xs = append(xs, (float64(i)+0.5)*metrics.Step.Seconds())
			mid = append(mid, experiment.Mean(vs))
			low, high = append(low, experiment.Quantile(0.1, vs)), append(high, experiment.Quantile(0.9, vs))
			drawn = drawn || mid[len(mid)-1] > 0
		}
		if len(xs) < 2 {
			continue
		}
		if err := band(p, n, len(res.Variants) <= mostBands, arm, xs, mid, low, high); err != nil {
			return nil, err
		}
	}
	if !drawn {
		return nil, nil
	}
	p.Y.Max *= 1.12 // room for the words of troubles
	return p, nil
}

// cdf draws the latency of a class, of each arm over all seeds.
func cdf(res *experiment.Results, class string) (*plot.Plot, error) {
	p := newPlot("Latency of "+class+": answers served within a time", "latency (s, logarithmic)", "part of the answers served")
	p.X.Scale, p.X.Tick.Marker = plot.LogScale{}, plot.LogTicks{Prec: -1}
	drawn := false
	for n, arm := range res.Variants {
		var pts plotter.XYs
		for i, q := range metrics.Quantiles {
			var vs []float64
			for _, r := range res.Of(arm) {
				if c := r.Result.CDF[class]; i < len(c) && c[i] > 0 && r.Result.Void == "" {
					vs = append(vs, c[i])
				}
			}
			if len(vs) > 0 {
				pts = append(pts, plotter.XY{X: experiment.Mean(vs), Y: q})
			}
		}
		if len(pts) < 2 {
			continue
		}
		l, err := plotter.NewLine(pts)
		if err != nil {
			return nil, err
		}
		style(l, n)
		p.Add(l)
		p.Legend.Add(arm, l)
		drawn = true
	}
	if !drawn {
		return nil, nil
	}
	return p, nil
}

// bars compares a metric of the arms: a bar of its mean with its 95% interval, and a dot for each run.
func bars(res *experiment.Results, title, y, metric string) (*plot.Plot, error) {
	p := newPlot(title, "", y)
	p.Y.Min = 0
	drawn := false
	for n, arm := range res.Variants {
		vs := res.Values(arm, metric)
		if len(vs) == 0 {
			continue
		}
		mean := experiment.Mean(vs)
		bar, err := plotter.NewBarChart(plotter.Values{mean}, 0.45*vg.Inch)
		if err != nil {
			return nil, err
		}
		c := palette[n%len(palette)]
		bar.Color, bar.LineStyle.Width, bar.XMin = color.RGBA{c.R/2 + 100, c.G/2 + 100, c.B/2 + 100, 255}, 0, float64(n)
		p.Add(bar)
		low, high := experiment.Interval(vs)
		mark, err := plotter.NewLine(plotter.XYs{{X: float64(n), Y: low}, {X: float64(n), Y: high}})
		if err != nil {
			return nil, err
		}
		mark.Width = 2
		var dots plotter.XYs
		for i, v := range vs {
			dots = append(dots, plotter.XY{X: float64(n) + 0.3 + 0.1*float64(i%5)/5, Y: v})
		}
		points, err := plotter.NewScatter(dots)
		if err != nil {
			return nil, err
		}
		points.Color, points.Radius, points.Shape = c, 1.8, draw.CircleGlyph{}
		p.Add(mark, points)
		drawn = drawn || mean != 0
	}
	if !drawn {
		return nil, nil
	}
	p.NominalX(res.Variants...)
	if len(res.Variants) > 5 {
		p.X.Tick.Label.Rotation, p.X.Tick.Label.XAlign = 0.4, text.XRight
	}
	return p, nil
}

// Charts draws all pictures that the results have figures for.
func Charts(res *experiment.Results) ([]Chart, error) {
	type made struct {
		name string
		p    *plot.Plot
		err  error
	}
	var all []made
	add := func(name string) func(*plot.Plot, error) {
		return func(p *plot.Plot, err error) { all = append(all, made{name, p, err}) }
	}
	add("goodput")(bars(res, "Goodput: worth answered over worth asked (bar: mean, line: 95% interval, dots: runs)", "goodput", "goodput"))
	add("goodput-time")(overTime(res, "Goodput over time (mean of runs; shade: middle 80% of them)", "goodput", func(s metrics.Series) []float64 { return s.Goodput }, 1))
	add("latency-time")(overTime(res, "95th percentile of latency over time", "latency (s)", func(s metrics.Series) []float64 { return s.P95 }, 1))
	add("limit-time")(overTime(res, "Limit on calls in flight, all proxies of the first tier", "calls", func(s metrics.Series) []float64 { return s.Limit }, 0))
	add("flight-time")(overTime(res, "Calls in flight, all proxies of the first tier", "calls", func(s metrics.Series) []float64 { return s.InFlight }, 0))
	classes := map[string]bool{}
	for _, r := range res.Runs {
		for c := range r.Result.CDF {
			classes[c] = true
		}
	}
	for _, c := range sorted(classes) {
		add("cdf-" + c)(cdf(res, c))
	}
	add("waste")(bars(res, "Waste: work that went into no answer, as a part of all work", "waste", "waste"))
	add("recover")(bars(res, "Time from the end of the trouble until goodput was back", "seconds", "recover"))
	add("cpu")(bars(res, "CPU of the proxy for each request", "microseconds", "cpu_us"))
	var charts []Chart
	for _, m := range all {
		if m.err != nil {
			return nil, fmt.Errorf("chart %s: %w", m.name, m.err)
		}
		if m.p == nil {
			continue
		}
		c, err := render(m.name, m.p)
		if err != nil {
			return nil, err
		}
		charts = append(charts, c)
	}
	return charts, nil
}

// render draws a plot in both forms.
func render(name string, p *plot.Plot) (Chart, error) {
	c := Chart{Name: name, Title: p.Title.Text}
	svg := vgsvg.New(width, height)
	paint(draw.New(svg), p)
	var b bytes.Buffer
	if _, err := svg.WriteTo(&b); err != nil {
		return c, fmt.Errorf("chart %s: %w", name, err)
	}
	c.SVG = b.String()
	img := vgimg.NewWith(vgimg.UseWH(width, height), vgimg.UseDPI(dpi))
	paint(draw.New(img), p)
	var png bytes.Buffer
	if _, err := (vgimg.PngCanvas{Canvas: img}).WriteTo(&png); err != nil {
		return c, fmt.Errorf("chart %s: %w", name, err)
	}
	c.png = png.Bytes()
	return c, nil
}

// paint draws a plot with its legend beside it, where it hides nothing.
func paint(c draw.Canvas, p *plot.Plot) {
	legend := p.Legend
	p.Legend = plot.NewLegend()
	p.Legend.TextStyle = legend.TextStyle // troubles are named in it
	defer func() { p.Legend = legend }()
	const room = 1.45 * vg.Inch
	if legend.Rectangle(c).Size().X == 0 || legend.Rectangle(c).Size().Y == 0 {
		p.Draw(c)
		return
	}
	p.Draw(draw.Crop(c, 0, -room, 0, 0))
	legend.Top, legend.Left = true, true
	legend.Draw(draw.Crop(c, c.Size().X-room+6, 0, 0, -24))
}

func (c *Chart) save(dir string) error {
	if err := os.WriteFile(filepath.Join(dir, c.Name+".svg"), []byte(c.SVG), 0o644); err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(dir, c.Name+".png"), c.png, 0o644)
}

// inline is the chart's SVG as it may stand in a page.
func (c *Chart) inline() string {
	if i := strings.Index(c.SVG, "<svg"); i >= 0 {
		return c.SVG[i:]
	}
	return c.SVG
}
