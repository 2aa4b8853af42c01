package cli

import (
	"fmt"
	"html"
	"os"
	"path/filepath"
	"strings"

	"ryerill/fleet/rollout"
	"ryerill/lab/report"
)

const rolloutPageFile = "report.html"

// rolloutChart is a chart of one quantity. changed is nil for the evidence, which is drawn with its bounds.
type rolloutChart struct {
	name      string
	title     string
	unit      string
	unchanged func(rollout.Point) float64
	changed   func(rollout.Point) float64
}

var rolloutCharts = []rolloutChart{
	{
		name:      "goodput",
		title:     "Goodput",
		unit:      "part",
		unchanged: func(p rollout.Point) float64 { return p.BaselineGoodput },
		changed:   func(p rollout.Point) float64 { return p.ChangedGoodput },
	},
	{
		name:      "latency",
		title:     "Time of an answer",
		unit:      "seconds",
		unchanged: func(p rollout.Point) float64 { return p.BaselineLatency },
		changed:   func(p rollout.Point) float64 { return p.ChangedLatency },
	},
	{
		name:      "attempts",
		title:     "Calls to providers for each request",
		unit:      "calls",
		unchanged: func(p rollout.Point) float64 { return p.BaselineAttempts },
		changed:   func(p rollout.Point) float64 { return p.ChangedAttempts },
	},
	{
		name:      "memory",
		title:     "Memory, the largest",
		unit:      "MB",
		unchanged: func(p rollout.Point) float64 { return p.BaselineMemory },
		changed:   func(p rollout.Point) float64 { return p.ChangedMemory },
	},
	{
		name:      "evidence",
		title:     "Evidence of lower goodput",
		unit:      "log of likelihood",
		unchanged: func(p rollout.Point) float64 { return p.Evidence },
	},
}

// save writes charts, a text that shows them, and a page that opens without a network.
func (f *rolloutFollower) save(dir string) error {
	if err := os.MkdirAll(dir, resultDirMode); err != nil {
		return err
	}
	var page, text strings.Builder
	page.WriteString(f.pageHead())
	text.WriteString(f.textHead())
	if len(f.points) >= 2 {
		for _, chart := range rolloutCharts {
			drawn, err := f.draw(chart)
			if err != nil {
				return err
			}
			if err := drawn.Save(dir); err != nil {
				return err
			}
			page.WriteString(drawn.SVG)
			fmt.Fprintf(&text, "\n![%s](%s.svg)\n", chart.title, chart.name)
		}
	}
	if err := os.WriteFile(filepath.Join(dir, "README.md"), []byte(text.String()), resultFileMode); err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(dir, rolloutPageFile), []byte(page.String()), resultFileMode)
}

func (f *rolloutFollower) pageHead() string {
	plan := html.EscapeString(f.latest.Plan)
	return fmt.Sprintf("<!doctype html><meta charset=utf-8><title>%s</title><h1>%s</h1>"+
		"<p>%s to %s: %s. %s</p><pre>%s</pre>",
		plan, plan, html.EscapeString(f.latest.Kind), html.EscapeString(f.latest.Target),
		html.EscapeString(f.latest.Phase), html.EscapeString(f.latest.Reason),
		html.EscapeString(strings.Join(f.transitions, "\n")))
}

func (f *rolloutFollower) textHead() string {
	return fmt.Sprintf("# %s\n\n%s to %s: %s. %s\n\n    %s\n",
		f.latest.Plan, f.latest.Kind, f.latest.Target, f.latest.Phase, f.latest.Reason,
		strings.Join(f.transitions, "\n    "))
}

func (f *rolloutFollower) draw(chart rolloutChart) (report.Chart, error) {
	var lines []report.Line
	if chart.changed != nil {
		lines = []report.Line{f.line("unchanged", chart.unchanged), f.line("changed", chart.changed)}
	} else {
		lines = []report.Line{
			f.line("evidence", chart.unchanged),
			f.line("bad from here", func(p rollout.Point) float64 { return p.UpperBound }),
			f.line("good from here", func(p rollout.Point) float64 { return p.LowerBound }),
		}
	}
	return report.Lines(chart.name, chart.title, "seconds", chart.unit, false, lines)
}

// line is a quantity over the time since the first point.
func (f *rolloutFollower) line(name string, quantity func(rollout.Point) float64) report.Line {
	line := report.Line{Name: name}
	for _, point := range f.points {
		line.X = append(line.X, float64(point.Interval-f.points[0].Interval))
		line.Y = append(line.Y, quantity(point))
	}
	return line
}
