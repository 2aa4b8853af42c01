package cli

import (
	"context"
	"fmt"
	"io"
	"path/filepath"
	"time"

	"github.com/spf13/cobra"

	"ryerill/lab/membershipsim"
)

// Sizes of a fleet above which less is measured, as a run takes longer.
const (
	smallFleet  = 30
	mediumFleet = 300
	largeFleet  = 1000
)

const (
	kills      = 10
	fewerKills = 3 // in fleets above largeFleet

	// Seeds with which something is measured, where not all are used.
	largeFleetHealSeeds  = 5
	mediumFleetCalmSeeds = 4
	targetLossSeeds      = 6

	// targetLoss is the part of datagrams lost at which a fleet of a thousand shall go an hour without a false death.
	targetLoss = 0.05
)

// Lengths of a run in which nobody dies.
const (
	calmRunLength      = 10 * time.Minute
	shortCalmRunLength = time.Minute
)

// membersOptions are the flags of the command members.
type membersOptions struct {
	short bool
	out   string
	sizes []int
	seeds int
}

func membersCommand(stdout io.Writer) *cobra.Command {
	var options membersOptions
	c := &cobra.Command{
		Use:   "members",
		Short: "Measure the fleet's membership in virtual time: deaths, accusations, cuts, joins",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if options.short {
				options.sizes = []int{3, 30, 100}
				options.seeds = 3
			}
			return measureMembers(cmd.Context(), options, stdout)
		},
	}
	c.Flags().BoolVar(&options.short, "short", false, shortUsage)
	c.Flags().StringVar(&options.out, "out", filepath.Join(resultsDir, "members"), outputUsage)
	c.Flags().IntSliceVar(&options.sizes, "sizes", []int{3, 30, 300, 1000}, "copies")
	c.Flags().IntVar(&options.seeds, "seeds", 20, "runs of each")
	return c
}

func (o *membersOptions) calmRunLength() time.Duration {
	if o.short {
		return shortCalmRunLength
	}
	return calmRunLength
}

// calmFault is what a fleet in which nobody dies suffers from.
type calmFault struct {
	name   string
	drop   float64 // part of the datagrams that are lost
	stalls bool    // one replica in ten stalls
}

var calmFaults = []calmFault{
	{name: "no loss"},
	{name: "1% lost", drop: 0.01},
	{name: "5% lost", drop: targetLoss},
	{name: "20% lost", drop: 0.2},
	{name: "1 in 10 stalls", stalls: true},
}

// measureMembers measures all sizes and writes a table, the single values and charts.
func measureMembers(ctx context.Context, options membersOptions, stdout io.Writer) error {
	m := membersMeasurement{
		sampler:       newSampler[string](),
		calmRunLength: options.calmRunLength(),
	}
	for _, replicas := range options.sizes {
		for seed := range uint64(options.seeds) {
			m.start(ctx, replicas, seed)
		}
	}
	m.sampler.wait()
	r := membersReport{
		values:        m.sampler.values,
		sizes:         options.sizes,
		calmRunLength: m.calmRunLength,
	}
	text := r.text()
	if err := saveTable(options.out, text); err != nil {
		return err
	}
	fmt.Fprint(stdout, text)
	if err := saveSamples(filepath.Join(options.out, "runs.csv"), m.sampler.samples); err != nil {
		return err
	}
	return r.saveCharts(options.out)
}

// membersMeasurement starts the runs of which a table of the membership is made.
type membersMeasurement struct {
	sampler       *sampler[string] // by the names that runs.csv has
	calmRunLength time.Duration
}

// start starts all runs of a fleet size with a seed.
func (m *membersMeasurement) start(ctx context.Context, replicas int, seed uint64) {
	m.startDeaths(ctx, replicas, seed)
	if replicas > largeFleet || replicas > mediumFleet && seed >= largeFleetHealSeeds {
		return
	}
	m.startHealing(ctx, replicas, seed)
	m.startJoining(ctx, replicas, seed)
	// Many short runs stand for a long one: about as many member-hours at each size.
	for _, fault := range calmFaults {
		if replicas <= smallFleet || replicas <= mediumFleet && seed < mediumFleetCalmSeeds || seed < 1 ||
			seed < targetLossSeeds && fault.drop == targetLoss {
			m.startCalm(ctx, replicas, seed, fault)
		}
	}
}

func (m *membersMeasurement) startDeaths(ctx context.Context, replicas int, seed uint64) {
	m.sampler.start(ctx, replicas, seed, func(add addFunc[string]) {
		count := kills
		if replicas > largeFleet {
			count = fewerKills
		}
		deaths := membershipsim.MeasureDeaths(replicas, count, seed)
		add("first", seconds(deaths.First)...)
		add("all", seconds(deaths.All)...)
		add("bytes", deaths.Bytes)
		add("frames", deaths.Frames)
		add("exchanged", deaths.Exchange)
	})
}

func (m *membersMeasurement) startHealing(ctx context.Context, replicas int, seed uint64) {
	m.sampler.start(ctx, replicas, seed, func(add addFunc[string]) {
		took, bytes := membershipsim.MeasureHeal(replicas, seed)
		add("heal", took.Seconds())
		add("heal bytes", bytes)
	})
}

func (m *membersMeasurement) startJoining(ctx context.Context, replicas int, seed uint64) {
	m.sampler.start(ctx, replicas, seed, func(add addFunc[string]) {
		took, bytes := membershipsim.MeasureJoin(replicas, seed)
		add("join", took.Seconds())
		add("join bytes", bytes)
	})
}

func (m *membersMeasurement) startCalm(ctx context.Context, replicas int, seed uint64, fault calmFault) {
	m.sampler.start(ctx, replicas, seed, func(add addFunc[string]) {
		accused := membershipsim.MeasureAccusations(replicas, fault.drop, fault.stalls, m.calmRunLength, seed)
		runsPerHour := float64(time.Hour) / float64(m.calmRunLength)
		add("suspected "+fault.name, float64(accused.Suspected)*runsPerHour)
		add("deaths "+fault.name, float64(accused.Deaths)*runsPerHour)
		add("bytes "+fault.name, accused.Bytes)
	})
}

func seconds(durations []time.Duration) []float64 {
	var values []float64
	for _, d := range durations {
		values = append(values, d.Seconds())
	}
	return values
}
