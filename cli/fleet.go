package cli

import (
	"bufio"
	"context"
	"crypto/rand"
	"encoding/base64"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"ryerill/config"
	"ryerill/fleet"
)

const (
	doorWithin = 3 * time.Second
	mostAnswer = 16 << 20 // bytes of an answer of the door: a fleet at its bound
	keyBytes   = 32
)

// fleetCommand asks a proxy at its door about its fleet.
func fleetCommand(getenv func(string) string, stdout io.Writer) *cobra.Command {
	var door string
	var inJSON bool
	c := &cobra.Command{Use: "fleet", Short: "Ask a proxy at its operators' door about its fleet"}
	c.PersistentFlags().StringVar(&door, "door", "", "the door's IP and port; default that of the configuration in "+config.EnvFile)
	c.PersistentFlags().BoolVar(&inJSON, "json", false, "print what the door says, for programs")
	ask := func() (fleet.Status, error) {
		s, _, err := askDoor[fleet.Status](doorOf(door, getenv), "/ops/fleet")
		return s, err
	}
	print := func(table func(io.Writer, *fleet.Status)) func(*cobra.Command, []string) error {
		return func(*cobra.Command, []string) error {
			s, err := ask()
			if err != nil {
				return runError{err}
			}
			if inJSON {
				e := json.NewEncoder(stdout)
				e.SetIndent("", "  ")
				return e.Encode(s)
			}
			return tabbed(stdout, func(w io.Writer) { table(w, &s) })
		}
	}
	shared := func(use, short string, table func(io.Writer, *fleet.SharedStatus)) *cobra.Command {
		return &cobra.Command{Use: use, Short: short, Args: cobra.NoArgs, RunE: func(*cobra.Command, []string) error {
			s, text, err := askDoor[fleet.SharedStatus](doorOf(door, getenv), "/ops/fleet/shared")
			if err != nil {
				return runError{err}
			}
			if inJSON {
				_, err := fmt.Fprintf(stdout, "%s\n", text)
				return err
			}
			return tabbed(stdout, func(w io.Writer) { table(w, &s) })
		}}
	}
	every := time.Second
	watch := &cobra.Command{Use: "watch", Short: "Print each change of a member, until interrupted", Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
			defer stop()
			return watchFleet(ctx, every, ask, inJSON, stdout)
		}}
	watch.Flags().DurationVar(&every, "every", every, "between two looks, 100ms or more")
	c.AddCommand(
		&cobra.Command{Use: "members", Short: "Print who is in the fleet, as this proxy sees it", Args: cobra.NoArgs, RunE: print(membersTable)},
		&cobra.Command{Use: "status", Short: "Print how sure this proxy is of its fleet, and its place in each pool", Args: cobra.NoArgs, RunE: print(statusTable)},
		watch,
		shared("budgets", "Print the parts of budgets that this proxy has, has lent and has borrowed", budgetsTable),
		shared("counts", "Print what is counted over all copies, with its age and bounds", countsTable),
		shared("verdicts", "Print the evidence against providers, and by whom", verdictsTable),
		&cobra.Command{Use: "forget NAME", Short: "Say that a dead copy is gone for good, so that budgets are divided without it", Args: cobra.ExactArgs(1),
			RunE: func(_ *cobra.Command, args []string) error {
				if _, err := call(doorOf(door, getenv), "POST", "/ops/fleet/forget", args[0]); err != nil {
					return runError{err}
				}
				fmt.Fprintln(stdout, args[0], "is forgotten")
				return nil
			}},
		&cobra.Command{Use: "key", Short: "Print a new key for a key file", Args: cobra.NoArgs,
			RunE: func(*cobra.Command, []string) error {
				key := make([]byte, keyBytes)
				rand.Read(key)
				fmt.Fprintln(stdout, base64.RawURLEncoding.EncodeToString(key))
				return nil
			}},
	)
	return c
}

// askDoor asks a door for what it tells at a path, which it also returns as it came.
func askDoor[T any](door, path string) (s T, text []byte, err error) {
	if text, err = call(door, "GET", path, ""); err == nil {
		err = json.Unmarshal(text, &s)
	}
	return s, text, err
}

// tabbed writes a table whose columns line up.
func tabbed(out io.Writer, table func(io.Writer)) error {
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	table(w)
	return w.Flush()
}

// doorOf is the door that is named, or that of the configuration.
func doorOf(named string, getenv func(string) string) string {
	if named != "" {
		return named
	}
	if at := getenv(config.EnvAdmin); at != "" {
		return at
	}
	if cfg, _, err := config.Load(getenv); err == nil {
		return cfg.Admin
	}
	return ""
}

// call makes one call at a door.
func call(door, method, path, body string) ([]byte, error) {
	if _, err := netip.ParseAddrPort(door); err != nil {
		return nil, fmt.Errorf("--door: unexpected value %q: name the IP and port of an operators' door, or a configuration with mgmt in %s", door, config.EnvFile)
	}
	conn, err := net.DialTimeout("tcp", door, doorWithin)
	if err != nil {
		return nil, err
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(doorWithin))
	if _, err := fmt.Fprintf(conn, "%s %s HTTP/1.1\r\nHost: %s\r\nContent-Length: %d\r\n\r\n%s", method, path, door, len(body), body); err != nil {
		return nil, err
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(io.LimitReader(resp.Body, mostAnswer))
	if err == nil && resp.StatusCode != http.StatusOK {
		err = errors.New(strings.TrimSpace(string(text)))
	}
	return text, err
}

func ago(ms int64) string {
	if ms < 0 {
		return "never"
	}
	return (time.Duration(ms) * time.Millisecond).Round(100 * time.Millisecond).String()
}

func membersTable(w io.Writer, s *fleet.Status) {
	fmt.Fprintln(w, "NAME\tSTATUS\tPHASE\tFOR\tHEARD\tZONE\tADDRESS\tPROGRAM\tSETTINGS\tNOTE")
	for _, m := range s.Members {
		heard, note := ago(m.HeardMS)+" ago", ""
		switch {
		case m.Self:
			heard, note = "-", "this one"
		case m.HeardMS < 0:
			heard = "never"
		}
		switch {
		case len(m.SuspectedBy) > 0:
			note = "accused by " + strings.Join(m.SuspectedBy, ", ")
		case m.Status == "dead":
			note = "by " + m.ReportedBy + "; counts among budgets until it leaves, restarts or is forgotten"
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\n", m.Name, m.Status, m.Phase, ago(m.SinceMS), heard, m.Zone, m.Address, m.Program, m.Settings, note)
	}
}

func statusTable(w io.Writer, s *fleet.Status) {
	count := map[string]int{}
	for _, m := range s.Members {
		count[m.Status]++
	}
	fmt.Fprintf(w, "fleet\t%s\ncopy\t%s, started %s ago\n", s.Fleet, s.Name, ago(s.UptimeMS))
	fmt.Fprintf(w, "members\t%d alive, %d suspect, %d dead, %d left\n", count["alive"], count["suspect"], count["dead"], count["left"])
	fmt.Fprintf(w, "view\t%s (equal where the same is known of all)\n", s.Digest)
	switch {
	case s.Displaced:
		fmt.Fprintln(w, "certainty\tnone: another process of this name started later; this one has no part of any budget")
	case s.Partitioned:
		fmt.Fprintf(w, "certainty\tlow: this copy is likely the one that is cut off, since %s\n", ago(s.PartitionedMS))
	case s.StaleMS > 0:
		fmt.Fprintf(w, "certainty\tstale: nobody was heard for %s\n", ago(s.StaleMS))
	default:
		fmt.Fprintln(w, "certainty\tgood")
	}
	fmt.Fprintf(w, "own health\t%d (0 is good, 8 worst)\nanswers take\t%v\n", s.Health, time.Duration(s.RTTMicros)*time.Microsecond)
	bad := uint64(0)
	for _, n := range s.Frames.Invalid {
		bad += n
	}
	fmt.Fprintf(w, "frames\t%d in, %d out, %d dropped as bad\n", s.Frames.FramesIn, s.Frames.FramesOut, bad)
	for _, name := range sortedNames(s.Pools) {
		p := s.Pools[name]
		fmt.Fprintf(w, "pool %s\tnumber %d of %d, budgets among %d, own part %.4g, %d there, %d out of reach\n", name, p.Index, p.Of, p.QuotaReplicas, p.QuotaFraction, p.Alive, p.Unreachable)
	}
}

func budgetsTable(w io.Writer, s *fleet.SharedStatus) {
	fmt.Fprintln(w, "BUDGET\tWHOLE\tGUARANTEED\tLENT\tBORROWED\tMAY SPEND\tWANTED\tLOANS (A SECOND)")
	for _, b := range s.Quotas {
		var loans []string
		for _, l := range b.Loans {
			way := "from"
			if l.Lent {
				way = "to"
			}
			loans = append(loans, fmt.Sprintf("%.3g %s %s, ends in %s", l.Amount, way, l.Peer, ago(max(l.ExpiresInMS, 0))))
		}
		fmt.Fprintf(w, "%s\t%.4g\t%.4g\t%.4g\t%.4g\t%.4g\t%.4g\t%s\n", b.Name, b.Total, b.Guaranteed, b.Lent, b.Borrowed, b.Rate, b.Demand, strings.Join(loans, "; "))
	}
}

func countsTable(w io.Writer, s *fleet.SharedStatus) {
	fmt.Fprintln(w, "WHAT\tKNOWN\tAT LEAST\tAT MOST\tAGE\tCOPIES\tNOTE")
	for _, name := range sortedNames(s.Sums) {
		v, note := s.Sums[name], ""
		if v.Stale {
			note = "stale: a part is too old to go by"
		}
		fmt.Fprintf(w, "%s\t%.0f\t%.0f\t%.0f\t%s\t%d\t%s\n", name, v.Value, v.Lower, v.Upper, ago(v.AgeMS), v.Replicas, note)
	}
	for _, p := range s.Senders {
		zone := ""
		if p.Zone != "" {
			zone = ", for zone " + p.Zone
		}
		fmt.Fprintf(w, "by %s%s\t\t\t\t%s\t%d\t\n", p.Name, zone, ago(p.AgeMS), p.Members)
	}
}

func verdictsTable(w io.Writer, s *fleet.SharedStatus) {
	fmt.Fprintln(w, "PROVIDER\tBY\tZONE\tCALLS\tERRORS\tHANGS\tSLOWER THAN PEERS\tPEERS FAIL")
	for _, e := range s.Evidence {
		fmt.Fprintf(w, "%016x\t%s\t%s\t%.1f\t%.1f\t%.1f\t%.1f times\t%.2f\n", e.Endpoint, e.Reporter, e.Zone, e.Attempts, e.Errors, e.Timeouts, e.RelativeLatency, e.PeerErrorRate)
	}
}

// watchFleet prints what changes from look to look.
func watchFleet(ctx context.Context, every time.Duration, ask func() (fleet.Status, error), inJSON bool, stdout io.Writer) error {
	before, first, down := map[string]fleet.MemberStatus{}, true, false
	tick := time.NewTicker(max(every, 100*time.Millisecond))
	defer tick.Stop()
	for {
		s, err := ask()
		now := time.Now().Format("15:04:05.000")
		switch {
		case err != nil && first:
			return runError{err}
		case err != nil && !down:
			fmt.Fprintln(stdout, now, "the door does not answer:", err)
		case err == nil:
			for _, m := range s.Members {
				was, known := before[m.Name]
				if known && was.Status == m.Status && was.Phase == m.Phase && was.Epoch == m.Epoch && was.Settings == m.Settings {
					continue
				}
				before[m.Name] = m
				if inJSON {
					json.NewEncoder(stdout).Encode(m)
				} else if !known {
					fmt.Fprintln(stdout, now, m.Name, m.Status, m.Phase)
				} else {
					fmt.Fprintln(stdout, now, m.Name, was.Status, was.Phase, "->", m.Status, m.Phase, strings.Join(m.SuspectedBy, ", "))
				}
			}
		}
		first, down = false, err != nil
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		}
	}
}
