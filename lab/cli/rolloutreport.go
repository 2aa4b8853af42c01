package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"html"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"ryerill/fleet"
	"ryerill/fleet/rollout"
	"ryerill/lab/report"
)

// rolloutReportCommand follows a plan through the doors of copies and draws it.
func rolloutReportCommand(stdout io.Writer) *cobra.Command {
	var out string
	var doors []string
	c := &cobra.Command{Use: "rollout-report", Short: "Follow a rollout at the doors of copies until it ends, and draw what it went by", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if len(doors) == 0 {
				return fmt.Errorf("--door: name the doors of copies, IP and port: who leads knows the evidence")
			}
			f := follower{doors: doors, client: http.Client{Timeout: 2 * time.Second}}
			f.follow(cmd.Context(), time.Second)
			if f.last.Plan == "" {
				return shortError{fmt.Errorf("no door of %v tells of a plan", doors)}
			}
			if err := f.save(out); err != nil {
				return shortError{err}
			}
			fmt.Fprintln(stdout, "report:", filepath.Join(out, "report.html"))
			return nil
		}}
	c.Flags().StringVar(&out, "out", filepath.Join("found", "rollout"), "folder for the results")
	c.Flags().StringSliceVar(&doors, "door", nil, "doors of copies, IP and port, parted by commas")
	return c
}

// follower keeps what doors tell of a plan.
type follower struct {
	doors  []string
	client http.Client
	last   fleet.RolloutStatus
	points []rollout.Point
	lines  []string // what was seen, with its time
	began  time.Time
}

// follow asks until the plan has ended or waits for a person, or ctx ends.
func (f *follower) follow(ctx context.Context, every time.Duration) {
	tick := time.NewTicker(every)
	defer tick.Stop()
	for f.began = time.Now(); ; {
		f.ask(ctx)
		if f.last.Plan != "" && (f.last.Ended || f.last.Phase == rollout.Stopped.String()) {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

// ask takes in what all doors tell now; the newest number's word holds.
func (f *follower) ask(ctx context.Context) {
	var best fleet.RolloutStatus
	for _, at := range f.doors {
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+at+"/ops/rollout", nil)
		if err != nil {
			continue
		}
		resp, err := f.client.Do(req)
		if err != nil {
			continue
		}
		var s fleet.RolloutStatus
		err = json.NewDecoder(io.LimitReader(resp.Body, 4<<20)).Decode(&s)
		resp.Body.Close()
		if err != nil {
			continue
		}
		for _, p := range s.Points {
			if at, there := slices.BinarySearchFunc(f.points, p, func(a, b rollout.Point) int { return int(int64(a.Interval) - int64(b.Interval)) }); !there {
				f.points = slices.Insert(f.points, at, p)
			}
		}
		if s.FencingToken > best.FencingToken || s.FencingToken == best.FencingToken && (s.IsLeader || best.Plan == "") {
			best = s
		}
	}
	if best.Plan == "" {
		return
	}
	if line := fmt.Sprintf("stage %d, %s: %s", best.Stage, best.Phase, best.Reason); f.last.Plan == "" || best.Phase != f.last.Phase || best.Stage != f.last.Stage {
		f.lines = append(f.lines, fmt.Sprintf("%6.1f s  %s", time.Since(f.began).Seconds(), line))
	}
	f.last = best
}

// save draws charts, and a page that opens without a network.
func (f *follower) save(out string) error {
	if err := os.MkdirAll(out, 0o755); err != nil {
		return err
	}
	line := func(name string, pick func(rollout.Point) float64) (l report.Line) {
		l.Name = name
		for _, p := range f.points {
			l.X, l.Y = append(l.X, float64(p.Interval-f.points[0].Interval)), append(l.Y, pick(p))
		}
		return l
	}
	type pick = func(rollout.Point) float64
	var page, text strings.Builder
	fmt.Fprintf(&page, "<!doctype html><meta charset=utf-8><title>%s</title><h1>%s</h1><p>%s to %s: %s. %s</p><pre>%s</pre>", html.EscapeString(f.last.Plan), html.EscapeString(f.last.Plan),
		html.EscapeString(f.last.Kind), html.EscapeString(f.last.Target), html.EscapeString(f.last.Phase), html.EscapeString(f.last.Reason), html.EscapeString(strings.Join(f.lines, "\n")))
	fmt.Fprintf(&text, "# %s\n\n%s to %s: %s. %s\n\n    %s\n", f.last.Plan, f.last.Kind, f.last.Target, f.last.Phase, f.last.Reason, strings.Join(f.lines, "\n    "))
	for _, c := range []struct {
		name, title, y string
		a, b           pick
	}{
		{"goodput", "Goodput", "part", func(p rollout.Point) float64 { return p.BaselineGoodput }, func(p rollout.Point) float64 { return p.ChangedGoodput }},
		{"latency", "Time of an answer", "seconds", func(p rollout.Point) float64 { return p.BaselineLatency }, func(p rollout.Point) float64 { return p.ChangedLatency }},
		{"attempts", "Calls to providers for each request", "calls", func(p rollout.Point) float64 { return p.BaselineAttempts }, func(p rollout.Point) float64 { return p.ChangedAttempts }},
		{"memory", "Memory, the largest", "MB", func(p rollout.Point) float64 { return p.BaselineMemory }, func(p rollout.Point) float64 { return p.ChangedMemory }},
		{"evidence", "Evidence of lower goodput", "log of likelihood", func(p rollout.Point) float64 { return p.Evidence }, nil},
	} {
		if len(f.points) < 2 {
			break
		}
		lines := []report.Line{line("unchanged", c.a)}
		if c.b != nil {
			lines = append(lines, line("changed", c.b))
		} else {
			lines[0].Name = "evidence"
			lines = append(lines, line("bad from here", func(p rollout.Point) float64 { return p.UpperBound }), line("good from here", func(p rollout.Point) float64 { return p.LowerBound }))
		}
		chart, err := report.Lines(c.name, c.title, "seconds", c.y, false, lines)
		if err != nil {
			return err
		}
		if err := chart.Save(out); err != nil {
			return err
		}
		page.WriteString(chart.SVG)
		fmt.Fprintf(&text, "\n![%s](%s.svg)\n", c.title, c.name)
	}
	if err := os.WriteFile(filepath.Join(out, "README.md"), []byte(text.String()), 0o644); err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(out, "report.html"), []byte(page.String()), 0o644)
}
