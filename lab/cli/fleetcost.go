package cli

import (
	"context"
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

const (
	fleetCostEndpoints   = 4
	fleetCostTenant      = "acme"
	fleetCostTenantQuota = 10_000 // requests a second: never reached
)

// fleetCostOptions are the flags of the command fleet-cost.
type fleetCostOptions struct {
	rounds    int
	replicas  int
	perSecond int
	span      time.Duration
}

func fleetCostCommand(stdout io.Writer) *cobra.Command {
	var options fleetCostOptions
	c := &cobra.Command{
		Use:   "fleet-cost",
		Short: "Measure a request's processor time with the fleet on and off, in one run",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return measureFleetCost(cmd.Context(), options, stdout)
		},
	}
	c.Flags().IntVar(&options.rounds, "rounds", 3, "runs of each")
	c.Flags().IntVar(&options.replicas, "copies", 12, "copies of the proxy")
	c.Flags().IntVar(&options.perSecond, "rate", 500, "requests a second to one of them")
	c.Flags().DurationVar(&options.span, "span", 8*time.Second, "of each look")
	return c
}

// fleetCostVariant is a way to run replicas, with what it was measured to cost, a value a round.
type fleetCostVariant struct {
	name       string
	off        bool // no fleet
	shares     bool // the fleet shares all state
	perRequest []float64
	idle       []float64
}

// measureFleetCost measures all variants in turn in each round and prints a table.
func measureFleetCost(ctx context.Context, options fleetCostOptions, stdout io.Writer) error {
	command, err := proxyCommand()
	if err != nil {
		return err
	}
	variants := []*fleetCostVariant{
		{name: "off", off: true},
		{name: "on"},
		{name: "on, with all shared", shares: true},
	}
	for range options.rounds {
		for _, variant := range variants {
			if err := variant.measure(ctx, options, command); err != nil {
				return err
			}
		}
	}
	var rows [][]string
	for _, variant := range variants {
		rows = append(rows, variant.row())
	}
	head := []string{"fleet", "runs", "microseconds a request", "95% interval", "milliseconds a second when idle"}
	fmt.Fprint(stdout, report.Table(head, rows))
	return nil
}

// measure runs the fleet once.
func (v *fleetCostVariant) measure(ctx context.Context, options fleetCostOptions, command []string) error {
	dir, err := os.MkdirTemp("", "ryerill-cost")
	if err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(dir) }() // what is left lies in the folder for temporary files
	fleet := processes.Options{
		Command:   command,
		Dir:       dir,
		Replicas:  options.replicas,
		Endpoints: fleetCostEndpoints,
		Off:       v.off,
		Change:    v.configure,
	}
	cost, err := processes.MeasureCost(ctx, fleet, options.span, options.perSecond)
	if err != nil {
		return err
	}
	v.perRequest = append(v.perRequest, float64(cost.PerRequest)/float64(time.Microsecond))
	v.idle = append(v.idle, float64(cost.Idle)/float64(time.Millisecond))
	return nil
}

// configure changes the configuration of a replica to the variant's.
func (v *fleetCostVariant) configure(_ int, file *config.File) {
	file.Pools[0].Tenants = []config.TenantFile{{Name: fleetCostTenant, Quota: fleetCostTenantQuota}}
	if v.shares {
		file.Fleet.Sharing = &config.SharingFile{Quotas: true, Counters: true, Evidence: true}
	}
}

// row is the variant's row of the table.
func (v *fleetCostVariant) row() []string {
	low, high := experiment.Interval(v.perRequest)
	return []string{
		v.name,
		fmt.Sprint(len(v.perRequest)),
		fmt.Sprintf("%.1f", experiment.Mean(v.perRequest)),
		fmt.Sprintf("%.1f to %.1f", low, high),
		fmt.Sprintf("%.2f", experiment.Mean(v.idle)),
	}
}
