package cli

import (
	"context"
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	"github.com/spf13/cobra"

	product "ryerill/cli"
	"ryerill/lab/experiment"
	"ryerill/lab/metrics"
	"ryerill/lab/realtime"
	"ryerill/lab/report"
	"ryerill/lab/scenario"
	"ryerill/lab/scenarios"
)

// The programs that the laboratory runs itself as, in processes of their own.
const proxyProgram = "proxy" // proxy serve, the same code as the product's program

// inner runs one of those programs; ok is false for the command line that people use.
func inner(args []string, stdout, stderr io.Writer) (status int, ok bool) {
	switch {
	case len(args) == 1 && args[0] == proxyProgram:
		return product.Run([]string{"serve"}, os.Getenv, stdout, stderr), true
	case len(args) == 3 && args[0] == realtime.Relay:
		fmt.Fprintln(stderr, realtime.ServeRelay(args[1], args[2]))
		return exitShort, true
	case len(args) == 3 && args[0] == realtime.ReverseProxy:
		fmt.Fprintln(stderr, realtime.ServeReverseProxy(args[1], args[2]))
		return exitShort, true
	}
	return 0, false
}

// hosts returns what plays the arms of an experiment.
func hosts() (map[string]experiment.Host, error) {
	self, err := os.Executable()
	if err != nil {
		return nil, fmt.Errorf("this program: %w", err)
	}
	return map[string]experiment.Host{
		experiment.Sim: experiment.Virtual,
		experiment.Sockets: func(ctx context.Context, w *scenario.Scenario, arm experiment.Variant, seed uint64) (*metrics.Result, error) {
			return realtime.Run(ctx, w, realtime.Options{Seed: seed, Build: arm.Build, Command: []string{self, proxyProgram}})
		},
		experiment.Overhead: func(ctx context.Context, w *scenario.Scenario, arm experiment.Variant, _ uint64) (*metrics.Result, error) {
			return realtime.Overhead(ctx, realtime.Cost{Command: []string{self}, Proxy: arm.Build, Connections: arm.Connections, Length: w.Length})
		},
	}, nil
}

func demoCommand(stdout, stderr io.Writer) *cobra.Command {
	var out string
	c := &cobra.Command{Use: "demo", Short: "Start stand-ins, two real proxies and load, and play 30 s with troubles", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error { return demo(cmd.Context(), out, stdout) }}
	c.Flags().StringVar(&out, "out", "found/demo", "folder for the report")
	return c
}

func demo(ctx context.Context, out string, stdout io.Writer) error {
	text, err := scenarios.Files.ReadFile("demo.yaml")
	if err != nil {
		return err
	}
	w, err := scenario.Parse("demo.yaml", text)
	if err != nil {
		return err
	}
	self, err := os.Executable()
	if err != nil {
		return fmt.Errorf("this program: %w", err)
	}
	fmt.Fprintf(stdout, "%s\nTwo proxies in processes of their own, %d stand-in providers, a directory and %g first tries a second, for %v.\n\n",
		strings.TrimSpace(w.About), w.Tiers[0].Endpoints, w.Load.Rate, w.Length)
	t := table{out: stdout, live: terminal(stdout)}
	t.head()
	res, err := realtime.Run(ctx, w, realtime.Options{Seed: 1, Command: []string{self, proxyProgram}, Tell: t.tell})
	if err != nil {
		return shortError{fmt.Errorf("demo: %w", err)}
	}
	results := experiment.Single(w, "ryerill", res)
	if err := report.Save(out, results); err != nil {
		return shortError{err}
	}
	m := res.Metrics
	fmt.Fprintf(stdout, "\nGoodput %.3f (worth answered in time over worth asked for), p50 %.0f ms, p95 %.0f ms, %.1f%% refused, %.2f attempts a first try.\n",
		m["goodput"], 1e3*m["p50"], 1e3*m["p95"], 100*m["refused"], m["attempts"])
	fmt.Fprintf(stdout, "Proxies: %.1f s of CPU, at most %.0f MB and %.0f descriptors each. Generator late by %.1f ms (99th percentile).\n",
		m["proxy_cpu_s"], m["proxy_memory_mb"], m["proxy_sockets"], m["generator_late_p99_ms"])
	if res.Void != "" {
		fmt.Fprintln(stdout, "Void:", res.Void)
	}
	fmt.Fprintln(stdout, "Report:", report.Page(out))
	if n := m["violations"]; n > 0 {
		for _, v := range res.Violations {
			fmt.Fprintf(stdout, "  %s at %v: %s\n", v.Rule, v.At.Round(time.Millisecond), v.Evidence)
		}
		return shortError{fmt.Errorf("demo: rules were broken %.0f times", n)}
	}
	fmt.Fprintln(stdout, "All rules were kept.")
	return nil
}

// table shows how a run stands: lines that follow each other, and on a terminal
// one that is written over until something happens.
type table struct {
	out   io.Writer
	live  bool
	last  realtime.Moment
	lines int
}

func (t *table) head() {
	fmt.Fprintf(t.out, "%6s %8s %8s %8s %8s %9s %9s %7s\n", "time", "asked/s", "served/s", "refused", "failed", "p50", "p95", "broken")
}

// shownEvery is how often a line is written: twice as wide a step where no terminal writes over it.
const shownEvery = time.Second

func (t *table) tell(m realtime.Moment) {
	if m.Said != "" {
		if t.live {
			fmt.Fprint(t.out, "\r\x1b[K")
		}
		fmt.Fprintf(t.out, "%5.1fs -- %s\n", m.At.Seconds(), m.Said)
		return
	}
	span := m.At - t.last.At
	if span < shownEvery-50*time.Millisecond {
		return
	}
	line := fmt.Sprintf("%5.1fs %8.0f %8.0f %8d %8d %9s %9s %7d", m.At.Seconds(), float64(m.Asked-t.last.Asked)/span.Seconds(),
		float64(m.Served-t.last.Served)/span.Seconds(), m.Refused-t.last.Refused, m.Failed-t.last.Failed,
		m.P50.Round(time.Millisecond), m.P95.Round(time.Millisecond), m.Broken)
	t.last = m
	t.lines++
	switch {
	case t.live && t.lines%3 != 0:
		fmt.Fprint(t.out, "\r\x1b[K"+line)
	case t.live:
		fmt.Fprint(t.out, "\r\x1b[K"+line+"\n")
	default:
		fmt.Fprintln(t.out, line)
	}
}

func overheadCommand(stdout, stderr io.Writer) *cobra.Command {
	var rounds int
	var length time.Duration
	var connections []int
	c := &cobra.Command{Use: "overhead", Short: "Measure a proxy's CPU for each request against a plain relay and httputil.ReverseProxy", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			e := experiment.CostExperiment(rounds, length, connections)
			return play(cmd.Context(), e, false, "found/overhead", stdout, stderr)
		}}
	c.Flags().IntVar(&rounds, "rounds", 3, "rounds, in each of which all proxies take turns")
	c.Flags().DurationVar(&length, "length", 3*time.Second, "how long each is measured")
	c.Flags().IntSliceVar(&connections, "connections", []int{16, 64}, "connections that ask at once")
	return c
}
