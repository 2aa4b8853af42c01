package cli

import (
	"fmt"
	"io"
	"time"

	"ryerill/lab/realtime"
)

const (
	// rowInterval is the time between two rows of a progress table.
	rowInterval = time.Second

	// rowTolerance is how much earlier than its interval an update may come and still make a row.
	rowTolerance = 50 * time.Millisecond

	// keptRowEvery is how many rows a terminal shows in one place before one stays.
	keptRowEvery = 3

	// eraseLine moves a terminal to the start of its line and empties it.
	eraseLine = "\r\x1b[K"
)

// progressTable shows the progress of a run: rows that follow each other, and on a terminal a row that is written over.
type progressTable struct {
	out        io.Writer
	overwrites bool // out is a terminal
	previous   realtime.Progress
	rows       int
}

func (t *progressTable) printHead() {
	fmt.Fprintf(t.out, "%6s %8s %8s %8s %8s %9s %9s %7s\n",
		"time", "asked/s", "served/s", "refused", "failed", "p50", "p95", "broken")
}

// update prints an event at once, and progress if the last row is old enough.
func (t *progressTable) update(m realtime.Progress) {
	if m.Event != "" {
		if t.overwrites {
			fmt.Fprint(t.out, eraseLine)
		}
		fmt.Fprintf(t.out, "%5.1fs -- %s\n", m.At.Seconds(), m.Event)
		return
	}
	span := m.At - t.previous.At
	if span < rowInterval-rowTolerance {
		return
	}
	perSecond := func(now, before int) float64 { return float64(now-before) / span.Seconds() }
	row := fmt.Sprintf("%5.1fs %8.0f %8.0f %8d %8d %9s %9s %7d",
		m.At.Seconds(), perSecond(m.Sent, t.previous.Sent), perSecond(m.Served, t.previous.Served),
		m.Shed-t.previous.Shed, m.Failed-t.previous.Failed,
		m.P50.Round(time.Millisecond), m.P95.Round(time.Millisecond), m.Violations)
	t.previous = m
	t.rows++
	t.printRow(row)
}

func (t *progressTable) printRow(row string) {
	switch {
	case !t.overwrites:
		fmt.Fprintln(t.out, row)
	case t.rows%keptRowEvery == 0:
		fmt.Fprintln(t.out, eraseLine+row)
	default:
		fmt.Fprint(t.out, eraseLine+row)
	}
}
