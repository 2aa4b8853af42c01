package cli

import (
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"runtime"
	"sync"
	"time"

	"github.com/spf13/cobra"

	"ryerill/lab/chaos"
	"ryerill/lab/report"
)

// nightCommand plays random troubles and keeps the ledger.
func nightCommand(stdout io.Writer) *cobra.Command {
	var short, real bool
	var out, replay string
	var sizes []int
	var nights int
	var seed uint64
	var length time.Duration
	c := &cobra.Command{Use: "night", Short: "Play random troubles over a fleet, many at once, with a ledger that must balance", Args: cobra.NoArgs,
		Long: "Play random troubles over a fleet, many at once, with a ledger that must balance: in virtual time, or with --processes on real\n" +
			"ones under load. What does not balance is shrunk, and written as a file that --replay plays again. Exit status 1 if anything is found.",
		RunE: func(cmd *cobra.Command, _ []string) error {
			if short {
				sizes, nights, length = []int{8, 30}, 20, time.Minute
			}
			if replay != "" {
				s, err := chaos.Read(replay)
				if err != nil {
					return err
				}
				if real {
					return processNight(cmd.Context(), s, out, stdout)
				}
				f, bad := chaos.Play(s, "")
				fmt.Fprintf(stdout, "%+v\n", f)
				if bad != nil {
					return shortError{bad}
				}
				return nil
			}
			if real {
				for i := range nights {
					if err := processNight(cmd.Context(), chaos.Draw(sizes[0], length, seed+uint64(i)), out, stdout); err != nil {
						return err
					}
				}
				return nil
			}
			return virtualNights(cmd.Context(), sizes, nights, length, seed, out, stdout)
		}}
	c.Flags().BoolVar(&short, "short", false, "the smaller form, under 45 s")
	c.Flags().BoolVar(&real, "processes", false, "on real processes; the first of --copies says how many")
	c.Flags().StringVar(&replay, "replay", "", "play a file that was written")
	c.Flags().StringVar(&out, "out", filepath.Join("found", "night"), "folder for what is found")
	c.Flags().IntSliceVar(&sizes, "copies", []int{12, 30}, "copies")
	c.Flags().IntVar(&nights, "nights", 50, "nights of each size")
	c.Flags().Uint64Var(&seed, "seed", 1, "of the first")
	c.Flags().DurationVar(&length, "length", 2*time.Minute, "of the troubles of one night")
	return c
}

func processNight(ctx context.Context, s chaos.Schedule, out string, stdout io.Writer) error {
	self, err := os.Executable()
	if err != nil {
		return err
	}
	fmt.Fprintf(stdout, "night %d: %d processes, %d troubles in %v\n", s.Seed, s.Replicas, len(s.Steps), s.Length)
	sum, bad, err := chaos.Processes(ctx, s, []string{self, proxyProgram}, func(line string) { fmt.Fprintln(stdout, "  ", line) })
	if err != nil {
		return err
	}
	fmt.Fprintf(stdout, "  ledger: %d requests, %d served, %d refused, %d failed, %d lost, %d late, %d repeated, %d excused\n", sum.Requests, sum.Served, sum.Shed, sum.Failed, sum.Lost, sum.Late, sum.Repeated, sum.Excused)
	if bad != nil {
		file, err := chaos.Found(out, s, bad.Rule)
		if err != nil {
			return err
		}
		return shortError{fmt.Errorf("%w; written to %s", bad, file)}
	}
	return nil
}

func virtualNights(ctx context.Context, sizes []int, nights int, length time.Duration, seed uint64, out string, stdout io.Writer) error {
	var mu sync.Mutex
	var all sync.WaitGroup
	lanes := make(chan struct{}, runtime.GOMAXPROCS(0))
	var rows [][]string
	var worst error
	for _, n := range sizes {
		var sum chaos.Stats
		var found int
		var longest time.Duration
		began := time.Now()
		for i := range nights {
			all.Add(1)
			go func() {
				defer all.Done()
				lanes <- struct{}{}
				defer func() { <-lanes }()
				if ctx.Err() != nil {
					return
				}
				s := chaos.Draw(n, length, seed+uint64(i))
				f, bad := chaos.Play(s, "")
				if bad != nil {
					small := chaos.Shrink(s, func(s chaos.Schedule) bool { _, b := chaos.Play(s, ""); return b != nil && b.Rule == bad.Rule })
					small.About = bad.Rule
					file, err := chaos.Found(out, small, bad.Rule)
					mu.Lock()
					defer mu.Unlock()
					found++
					worst = fmt.Errorf("%w; %d troubles are enough, written to %s %v", bad, len(small.Steps), file, err)
					fmt.Fprintln(stdout, worst)
					return
				}
				mu.Lock()
				defer mu.Unlock()
				sum.Steps += f.Steps
				sum.Plans += f.Plans
				sum.Done += f.Done
				sum.Datagrams += f.Datagrams
				longest = max(longest, f.Agreed)
			}()
		}
		all.Wait()
		rows = append(rows, []string{fmt.Sprint(n), fmt.Sprint(nights), fmt.Sprintf("%.2f", (time.Duration(nights) * length).Hours()), fmt.Sprint(sum.Steps), fmt.Sprint(sum.Plans), fmt.Sprint(sum.Done), fmt.Sprint(sum.Datagrams),
			longest.String(), fmt.Sprint(found), time.Since(began).Round(time.Second).String()})
	}
	text := report.Table([]string{"copies", "nights", "hours of troubles", "troubles", "plans", "through at the end", "datagrams", "all know all again after, at most", "found", "took"}, rows)
	fmt.Fprint(stdout, text)
	if err := os.MkdirAll(out, 0o755); err != nil {
		return err
	}
	if err := os.WriteFile(filepath.Join(out, "table.md"), []byte("# Nights in virtual time\n\n"+text), 0o644); err != nil {
		return err
	}
	if worst != nil {
		return shortError{worst}
	}
	return nil
}
