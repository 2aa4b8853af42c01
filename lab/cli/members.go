package cli

import (
	"context"
	"encoding/csv"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"runtime"
	"strings"
	"sync"
	"time"

	"github.com/spf13/cobra"

	"ryerill/lab/experiment"
	"ryerill/lab/membershipsim"
	"ryerill/lab/report"
)

// membersCommand measures the fleet's membership in virtual time.
func membersCommand(stdout io.Writer) *cobra.Command {
	var short bool
	var out string
	var sizes []int
	var seeds int
	c := &cobra.Command{Use: "members", Short: "Measure the fleet's membership in virtual time: deaths, accusations, cuts, joins", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if short {
				sizes, seeds = []int{3, 30, 100}, 3
			}
			return measureMembers(cmd.Context(), sizes, seeds, short, out, stdout)
		}}
	c.Flags().BoolVar(&short, "short", false, "the smaller form, under 45 s")
	c.Flags().StringVar(&out, "out", filepath.Join("found", "members"), "folder for the results")
	c.Flags().IntSliceVar(&sizes, "sizes", []int{3, 30, 300, 1000}, "copies")
	c.Flags().IntVar(&seeds, "seeds", 20, "runs of each")
	return c
}

// sample is one measured value.
type sample struct {
	what  string
	n     int
	seed  uint64
	value float64
}

// tasks runs what is measured on all cores and keeps the values in order.
type tasks struct {
	mu      sync.Mutex
	samples []sample
	all     sync.WaitGroup
	lanes   chan struct{}
}

func (t *tasks) do(ctx context.Context, run func(add func(what string, n int, seed uint64, v ...float64))) {
	t.all.Add(1)
	go func() {
		defer t.all.Done()
		t.lanes <- struct{}{}
		defer func() { <-t.lanes }()
		if ctx.Err() != nil {
			return
		}
		run(func(what string, n int, seed uint64, v ...float64) {
			t.mu.Lock()
			defer t.mu.Unlock()
			for _, x := range v {
				t.samples = append(t.samples, sample{what, n, seed, x})
			}
		})
	}()
}

func (t *tasks) of(what string, n int) (out []float64) {
	for _, s := range t.samples {
		if s.what == what && s.n == n {
			out = append(out, s.value)
		}
	}
	return out
}

func seconds(all []time.Duration) (out []float64) {
	for _, d := range all {
		out = append(out, d.Seconds())
	}
	return out
}

// wanted is the part lost at which an hour without a false death is wanted of a thousand.
const wanted = 0.05

// troubles of those among whom nobody dies.
var quietTroubles = []struct {
	name   string
	drop   float64
	stalls bool
}{{"no loss", 0, false}, {"1% lost", 0.01, false}, {"5% lost", 0.05, false}, {"20% lost", 0.2, false}, {"1 in 10 stalls", 0, true}}

func measureMembers(ctx context.Context, sizes []int, seeds int, short bool, out string, stdout io.Writer) error {
	length := 10 * time.Minute
	if short {
		length = time.Minute
	}
	t := &tasks{lanes: make(chan struct{}, runtime.GOMAXPROCS(0))}
	for _, n := range sizes {
		for seed := range uint64(seeds) {
			t.do(ctx, func(add func(string, int, uint64, ...float64)) {
				kills := 10
				if n > 1000 {
					kills = 3
				}
				d := membershipsim.MeasureDeaths(n, kills, seed)
				add("first", n, seed, seconds(d.First)...)
				add("all", n, seed, seconds(d.All)...)
				add("bytes", n, seed, d.Bytes)
				add("frames", n, seed, d.Frames)
				add("exchanged", n, seed, d.Exchange)
			})
			if n <= 300 || n <= 1000 && seed < 5 {
				t.do(ctx, func(add func(string, int, uint64, ...float64)) {
					took, bytes := membershipsim.MeasureHeal(n, seed)
					add("heal", n, seed, took.Seconds())
					add("heal bytes", n, seed, bytes)
				})
				t.do(ctx, func(add func(string, int, uint64, ...float64)) {
					took, bytes := membershipsim.MeasureJoin(n, seed)
					add("join", n, seed, took.Seconds())
					add("join bytes", n, seed, bytes)
				})
				// A long time is cut into runs: about as many member-hours at each size.
				for _, q := range quietTroubles {
					if n <= 30 || n <= 300 && seed < 4 || seed < 1 || seed < 6 && q.drop == wanted {
						t.do(ctx, func(add func(string, int, uint64, ...float64)) {
							a := membershipsim.MeasureAccusations(n, q.drop, q.stalls, length, seed)
							perHour := float64(time.Hour) / float64(length)
							add("suspected "+q.name, n, seed, float64(a.Suspected)*perHour)
							add("deaths "+q.name, n, seed, float64(a.Deaths)*perHour)
							add("bytes "+q.name, n, seed, a.Bytes)
						})
					}
				}
			}
		}
	}
	t.all.Wait()
	if err := os.MkdirAll(out, 0o755); err != nil {
		return err
	}
	q := func(what string, n int, p float64) string {
		v := t.of(what, n)
		if len(v) == 0 {
			return "-"
		}
		return fmt.Sprintf("%.3g", experiment.Quantile(p, v))
	}
	mean := func(what string, n int) string {
		v := t.of(what, n)
		if len(v) == 0 {
			return "-"
		}
		return fmt.Sprintf("%.4g", experiment.Mean(v))
	}
	var text strings.Builder
	var rows [][]string
	for _, n := range sizes {
		rows = append(rows, []string{fmt.Sprint(n), fmt.Sprint(len(t.of("all", n))), q("first", n, 0.5), q("first", n, 0.99), q("all", n, 0.5), q("all", n, 0.99),
			mean("bytes", n), mean("frames", n), mean("exchanged", n), q("heal", n, 0.5), q("heal", n, 1), mean("heal bytes", n), q("join", n, 0.5), q("join", n, 1)})
	}
	fmt.Fprintf(&text, "# Membership in virtual time\n\nSeconds; bytes and frames are those that one member sends a second at rest. Split: two halves that held each other for dead for half a minute, then healed, until all hold all for alive; bytes a member meanwhile. Join: all started within a second, all from one seed, until all know all.\n\n")
	text.WriteString(report.Table([]string{"copies", "deaths", "first knows, median", "p99", "all know, median", "p99", "bytes", "frames", "bytes of exchanges", "split heals, median", "longest", "bytes", "join, median", "longest"}, rows))
	rows = nil
	for _, n := range sizes {
		for _, trouble := range quietTroubles {
			if v := t.of("deaths "+trouble.name, n); len(v) > 0 {
				rows = append(rows, []string{fmt.Sprint(n), trouble.name, fmt.Sprintf("%.3g", float64(len(v))*length.Hours()), mean("suspected "+trouble.name, n), mean("deaths "+trouble.name, n), mean("bytes "+trouble.name, n)})
			}
		}
	}
	fmt.Fprintf(&text, "Nobody dies, for %v a run: who was suspected, and held for dead, by anybody, an hour of the whole fleet.\n\n", length)
	text.WriteString(report.Table([]string{"copies", "trouble", "hours played", "suspected an hour", "held for dead an hour", "bytes a member a second"}, rows))
	if err := os.WriteFile(filepath.Join(out, "table.md"), []byte(text.String()), 0o644); err != nil {
		return err
	}
	fmt.Fprint(stdout, text.String())
	f, err := os.Create(filepath.Join(out, "runs.csv"))
	if err != nil {
		return err
	}
	w := csv.NewWriter(f)
	w.Write([]string{"what", "copies", "seed", "value"})
	for _, s := range t.samples {
		w.Write([]string{s.what, fmt.Sprint(s.n), fmt.Sprint(s.seed), fmt.Sprint(s.value)})
	}
	if w.Flush(); w.Error() != nil {
		return w.Error()
	}
	if err := f.Close(); err != nil {
		return err
	}
	line := func(name, what string, p float64) (l report.Line) {
		l.Name = name
		for _, n := range sizes {
			if v := t.of(what, n); len(v) > 0 {
				l.X, l.Y = append(l.X, float64(n)), append(l.Y, experiment.Quantile(p, v))
			}
		}
		return l
	}
	detection, err := report.Lines("deaths", "A death is known: to the first, and to all", "copies", "seconds", true,
		[]report.Line{line("first, median", "first", 0.5), line("first, p99", "first", 0.99), line("all, median", "all", 0.5), line("all, p99", "all", 0.99)})
	if err != nil {
		return err
	}
	cost, err := report.Lines("bytes", "What a member sends at rest", "copies", "bytes a second", true, []report.Line{line("mean", "bytes", 0.5)})
	if err != nil {
		return err
	}
	for _, chart := range []report.Chart{detection, cost} {
		if err := chart.Save(out); err != nil {
			return err
		}
	}
	return nil
}
