package report

import (
	"bytes"
	"fmt"
	"image/color"
	"os"
	"path/filepath"
	"strings"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgimg"
	"gonum.org/v1/plot/vg/vgsvg"
)

// Size of a chart, and the resolution of its bitmap in dots an inch.
const (
	chartWidth  = 9 * vg.Inch
	chartHeight = 4 * vg.Inch
	legendWidth = 1.45 * vg.Inch
	dpi         = 110
)

// Chart is one picture.
type Chart struct {
	Name  string // of its files, without an extension
	Title string
	SVG   string
	png   []byte
}

// Save writes the chart's files into a folder.
func (c *Chart) Save(dir string) error {
	if err := os.WriteFile(filepath.Join(dir, c.Name+".svg"), []byte(c.SVG), fileMode); err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(dir, c.Name+".png"), c.png, fileMode)
}

// inline is the chart's SVG as it may stand in a page.
func (c *Chart) inline() string {
	start := strings.Index(c.SVG, "<svg")
	if start < 0 {
		return c.SVG
	}
	return c.SVG[start:]
}

// newPlot returns an empty plot with the style that all charts have.
func newPlot(title, x, y string) *plot.Plot {
	p := plot.New()
	p.Title.Text = title
	p.Title.TextStyle.Font.Size = 13
	p.Title.Padding = 6
	p.X.Label.Text = x
	p.X.Padding = 2
	p.Y.Label.Text = y
	p.Y.Padding = 2
	p.Legend.Top = true
	p.Legend.TextStyle.Font.Size = 10
	p.Legend.Padding = 2
	p.Legend.ThumbnailWidth = 0.3 * vg.Inch
	grid := plotter.NewGrid()
	grid.Vertical.Color = color.Gray{Y: 225}
	grid.Horizontal.Color = color.Gray{Y: 225}
	p.Add(grid)
	return p
}

// setLogarithmicX gives a plot a logarithmic axis of x.
func setLogarithmicX(p *plot.Plot) {
	p.X.Scale = plot.LogScale{}
	p.X.Tick.Marker = plot.LogTicks{Prec: -1}
}

// render draws a plot as a vector graphic and as a bitmap.
func render(name string, p *plot.Plot) (Chart, error) {
	vector := vgsvg.New(chartWidth, chartHeight)
	drawPlot(draw.New(vector), p)
	var svg bytes.Buffer
	if _, err := vector.WriteTo(&svg); err != nil {
		return Chart{}, fmt.Errorf("chart %s: %w", name, err)
	}
	bitmap := vgimg.NewWith(vgimg.UseWH(chartWidth, chartHeight), vgimg.UseDPI(dpi))
	drawPlot(draw.New(bitmap), p)
	var png bytes.Buffer
	encoder := vgimg.PngCanvas{Canvas: bitmap}
	if _, err := encoder.WriteTo(&png); err != nil {
		return Chart{}, fmt.Errorf("chart %s: %w", name, err)
	}
	return Chart{Name: name, Title: p.Title.Text, SVG: svg.String(), png: png.Bytes()}, nil
}

// drawPlot draws a plot with its legend beside it, where it covers nothing.
func drawPlot(canvas draw.Canvas, p *plot.Plot) {
	const (
		legendGap   = 6
		legendStart = 24 // below the title
	)
	legend := p.Legend
	p.Legend = plot.NewLegend()
	p.Legend.TextStyle = legend.TextStyle // faults are labelled with it
	defer func() { p.Legend = legend }()
	if size := legend.Rectangle(canvas).Size(); size.X == 0 || size.Y == 0 {
		p.Draw(canvas)
		return
	}
	p.Draw(draw.Crop(canvas, 0, -legendWidth, 0, 0))
	legend.Top = true
	legend.Left = true
	legend.Draw(draw.Crop(canvas, canvas.Size().X-legendWidth+legendGap, 0, 0, -legendStart))
}
