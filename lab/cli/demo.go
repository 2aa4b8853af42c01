package cli

import (
	"context"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"ryerill/lab/experiment"
	"ryerill/lab/metrics"
	"ryerill/lab/realtime"
	"ryerill/lab/report"
	"ryerill/lab/scenario"
	"ryerill/lab/scenarios"
)

const (
	demoFile = "demo.yaml"
	demoSeed = 1
)

func demoCommand(stdout io.Writer) *cobra.Command {
	var out string
	c := &cobra.Command{
		Use:   "demo",
		Short: "Start stand-ins, two real proxies and load, and play 30 s with troubles",
		Args:  cobra.NoArgs,
		RunE:  func(cmd *cobra.Command, _ []string) error { return demo(cmd.Context(), out, stdout) },
	}
	c.Flags().StringVar(&out, "out", "found/demo", "folder for the report")
	return c
}

// demo plays the scenario of the demonstration on sockets, shows its progress and reports what was measured.
func demo(ctx context.Context, out string, stdout io.Writer) error {
	text, err := scenarios.Files.ReadFile(demoFile)
	if err != nil {
		return err
	}
	s, err := scenario.Parse(demoFile, text)
	if err != nil {
		return err
	}
	command, err := proxyCommand()
	if err != nil {
		return err
	}
	fmt.Fprintf(stdout, "%s\nTwo proxies in processes of their own, %d stand-in providers, a directory and %g first "+
		"tries a second, for %v.\n\n", strings.TrimSpace(s.About), s.Tiers[0].Endpoints, s.Load.Rate, s.Length)
	table := progressTable{out: stdout, overwrites: isTerminal(stdout)}
	table.printHead()
	res, err := realtime.Run(ctx, s, realtime.Options{Seed: demoSeed, Command: command, OnProgress: table.update})
	if err != nil {
		return shortError{fmt.Errorf("demo: %w", err)}
	}
	if err := report.Save(out, experiment.Single(s, "ryerill", res)); err != nil {
		return shortError{err}
	}
	printDemoResult(res, out, stdout)
	if violations := res.Metrics["violations"]; violations > 0 {
		return shortError{fmt.Errorf("demo: rules were broken %.0f times", violations)}
	}
	fmt.Fprintln(stdout, "All rules were kept.")
	return nil
}

func printDemoResult(res *metrics.Result, out string, stdout io.Writer) {
	const millisecondsPerSecond = 1e3
	m := res.Metrics
	fmt.Fprintf(stdout, "\nGoodput %.3f (worth answered in time over worth asked for), p50 %.0f ms, p95 %.0f ms, "+
		"%.1f%% refused, %.2f attempts a first try.\n",
		m["goodput"], millisecondsPerSecond*m["p50"], millisecondsPerSecond*m["p95"], 100*m["refused"], m["attempts"])
	fmt.Fprintf(stdout, "Proxies: %.1f s of CPU, at most %.0f MB and %.0f descriptors each. "+
		"Generator late by %.1f ms (99th percentile).\n",
		m["proxy_cpu_s"], m["proxy_memory_mb"], m["proxy_sockets"], m["generator_late_p99_ms"])
	if res.Void != "" {
		fmt.Fprintln(stdout, "Void:", res.Void)
	}
	fmt.Fprintln(stdout, "Report:", report.Page(out))
	if m["violations"] == 0 {
		return
	}
	for _, v := range res.Violations {
		fmt.Fprintf(stdout, "  %s at %v: %s\n", v.Rule, v.At.Round(time.Millisecond), v.Evidence)
	}
}
