package cli

import (
	"fmt"
	"io"
	"os"
	"time"

	"github.com/spf13/cobra"

	"ryerill/config"
	"ryerill/lab/experiment"
	"ryerill/lab/processes"
	"ryerill/lab/report"
)

// fleetCostCommand measures what being in a fleet costs a proxy.
func fleetCostCommand(stdout io.Writer) *cobra.Command {
	var rounds, size, perSecond int
	var span time.Duration
	c := &cobra.Command{Use: "fleet-cost", Short: "Measure a request's processor time with the fleet on and off, in one run", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			self, err := os.Executable()
			if err != nil {
				return err
			}
			var each, idle [3][]float64
			for range rounds {
				for arm := range each {
					dir, err := os.MkdirTemp("", "ryerill-cost")
					if err != nil {
						return err
					}
					cost, err := processes.MeasureCost(cmd.Context(), processes.Options{Command: []string{self, proxyProgram}, Dir: dir, Replicas: size, Endpoints: 4, Off: arm == 0, Change: func(_ int, f *config.File) {
						f.Pools[0].Tenants = []config.TenantFile{{Name: "acme", Quota: 10_000}}
						if arm == 2 {
							f.Fleet.Sharing = &config.SharingFile{Quotas: true, Counters: true, Evidence: true}
						}
					}}, span, perSecond)
					os.RemoveAll(dir)
					if err != nil {
						return err
					}
					each[arm] = append(each[arm], float64(cost.PerRequest)/1000)
					idle[arm] = append(idle[arm], float64(cost.Idle)/1e6)
				}
			}
			var rows [][]string
			for arm, name := range []string{"off", "on", "on, with all shared"} {
				low, high := experiment.Interval(each[arm])
				rows = append(rows, []string{name, fmt.Sprint(len(each[arm])), fmt.Sprintf("%.1f", experiment.Mean(each[arm])), fmt.Sprintf("%.1f to %.1f", low, high), fmt.Sprintf("%.2f", experiment.Mean(idle[arm]))})
			}
			fmt.Fprint(stdout, report.Table([]string{"fleet", "runs", "microseconds a request", "95% interval", "milliseconds a second when idle"}, rows))
			return nil
		}}
	c.Flags().IntVar(&rounds, "rounds", 3, "runs of each")
	c.Flags().IntVar(&size, "copies", 12, "copies of the proxy")
	c.Flags().IntVar(&perSecond, "rate", 500, "requests a second to one of them")
	c.Flags().DurationVar(&span, "span", 8*time.Second, "of each look")
	return c
}
