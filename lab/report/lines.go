package report

import (
	"image/color"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

// palette is that of Okabe and Ito: its colours can be told apart by nearly everybody.
var palette = []color.RGBA{
	{0, 114, 178, 255}, {213, 94, 0, 255}, {0, 158, 115, 255}, {204, 121, 167, 255},
	{230, 159, 0, 255}, {86, 180, 233, 255}, {90, 90, 90, 255}, {160, 140, 20, 255},
}

const (
	lineWidth = 1.6
	bandAlpha = 40
)

// colour is that of the line of an index.
func colour(index int) color.RGBA { return palette[index%len(palette)] }

// Line is one line of a chart, with a band around it if Low and High are given.
type Line struct {
	Name            string
	X, Y, Low, High []float64
}

func (l *Line) points() plotter.XYs {
	points := make(plotter.XYs, len(l.X))
	for i := range l.X {
		points[i] = plotter.XY{X: l.X[i], Y: l.Y[i]}
	}
	return points
}

// Lines draws lines with a dot at each point. A logarithmic axis of x serves a quantity that spans decades.
func Lines(name, title, x, y string, logX bool, lines []Line) (Chart, error) {
	p := newPlot(title, x, y)
	if logX {
		setLogarithmicX(p)
	}
	p.Y.Min = 0
	for i, line := range lines {
		if len(line.Low) == 0 {
			line.Low = line.Y
			line.High = line.Y
		}
		if err := addBand(p, i, line); err != nil {
			return Chart{}, err
		}
		if err := addLine(p, i, line.Name, line.points()); err != nil {
			return Chart{}, err
		}
		dots, err := plotter.NewScatter(line.points())
		if err != nil {
			return Chart{}, err
		}
		dots.Color = colour(i)
		p.Add(dots)
	}
	return render(name, p)
}

// addLine adds a line in the colour of its index, with dashes once the colours are used up.
func addLine(p *plot.Plot, index int, name string, points plotter.XYs) error {
	line, err := plotter.NewLine(points)
	if err != nil {
		return err
	}
	line.Color = colour(index)
	line.Width = lineWidth
	if index >= len(palette) {
		line.Dashes = []vg.Length{4, 3}
	}
	p.Add(line)
	p.Legend.Add(name, line)
	return nil
}

// addBand shades the range between the low and the high values of a line.
func addBand(p *plot.Plot, index int, line Line) error {
	var edge plotter.XYs
	for i := range line.X {
		edge = append(edge, plotter.XY{X: line.X[i], Y: line.High[i]})
	}
	for i := len(line.X) - 1; i >= 0; i-- {
		edge = append(edge, plotter.XY{X: line.X[i], Y: line.Low[i]})
	}
	area, err := plotter.NewPolygon(edge)
	if err != nil {
		return err
	}
	c := colour(index)
	area.Color = color.NRGBA{R: c.R, G: c.G, B: c.B, A: bandAlpha}
	area.LineStyle.Color = color.Transparent
	area.Width = 0
	p.Add(area)
	return nil
}
