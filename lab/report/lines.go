package report

import (
	"strings"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
)

// Line is one line of a chart, with a band round it if Low and High are given.
type Line struct {
	Name            string
	X, Y, Low, High []float64
}

// Lines draws lines over a quantity, on a logarithmic axis if it spans decades.
func Lines(name, title, x, y string, logX bool, lines []Line) (Chart, error) {
	p := newPlot(title, x, y)
	if logX {
		p.X.Scale, p.X.Tick.Marker = plot.LogScale{}, plot.LogTicks{Prec: -1}
	}
	p.Y.Min = 0
	for n, l := range lines {
		if len(l.Low) == 0 {
			l.Low, l.High = l.Y, l.Y
		}
		if err := band(p, n, len(l.Low) > 0, l.Name, l.X, l.Y, l.Low, l.High); err != nil {
			return Chart{}, err
		}
		xy := make(plotter.XYs, len(l.X))
		for i := range l.X {
			xy[i].X, xy[i].Y = l.X[i], l.Y[i]
		}
		dots, err := plotter.NewScatter(xy)
		if err != nil {
			return Chart{}, err
		}
		dots.Color = palette[n%len(palette)]
		p.Add(dots)
	}
	return render(name, p)
}

// Save writes a chart's files into a folder.
func (c *Chart) Save(dir string) error { return c.save(dir) }

// Table writes a table in Markdown.
func Table(head []string, rows [][]string) string {
	var b strings.Builder
	markdown(&b, head, rows)
	return b.String()
}
