package cli

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"ryerill/fleet"
)

// printTable writes a table with aligned columns.
func printTable(out io.Writer, table func(io.Writer)) error {
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	table(w)
	return w.Flush()
}

// formatMS formats milliseconds; a negative value stands for an event that has not occurred.
func formatMS(ms int64) string {
	if ms < 0 {
		return "never"
	}
	return (time.Duration(ms) * time.Millisecond).Round(100 * time.Millisecond).String()
}

func printMembers(w io.Writer, status *fleet.HostStatus) {
	fmt.Fprintln(w, "NAME\tSTATUS\tPHASE\tFOR\tHEARD\tZONE\tADDRESS\tPROGRAM\tSETTINGS\tNOTE")
	for i := range status.Members {
		member := &status.Members[i]
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\n",
			member.Name, member.Status, member.Phase, formatMS(member.SinceMS), lastHeard(member), member.Zone,
			member.Address, member.Program, member.Settings, memberNote(member))
	}
}

func lastHeard(member *fleet.MemberStatus) string {
	switch {
	case member.Self:
		return "-"
	case member.HeardMS < 0:
		return "never"
	default:
		return formatMS(member.HeardMS) + " ago"
	}
}

func memberNote(member *fleet.MemberStatus) string {
	switch {
	case len(member.SuspectedBy) > 0:
		return "accused by " + strings.Join(member.SuspectedBy, ", ")
	case member.Status == "dead":
		return "by " + member.ReportedBy + "; counts among budgets until it leaves, restarts or is forgotten"
	case member.Self:
		return "this one"
	default:
		return ""
	}
}

func printFleet(w io.Writer, status *fleet.HostStatus) {
	count := map[string]int{}
	for _, member := range status.Members {
		count[member.Status]++
	}
	fmt.Fprintf(w, "fleet\t%s\n", status.Fleet)
	fmt.Fprintf(w, "copy\t%s, started %s ago\n", status.Name, formatMS(status.UptimeMS))
	fmt.Fprintf(w, "members\t%d alive, %d suspect, %d dead, %d left\n",
		count["alive"], count["suspect"], count["dead"], count["left"])
	fmt.Fprintf(w, "view\t%s (equal where the same is known of all)\n", status.Digest)
	fmt.Fprintf(w, "certainty\t%s\n", certainty(&status.Status))
	fmt.Fprintf(w, "own health\t%d (0 is good, 8 worst)\n", status.Health)
	fmt.Fprintf(w, "answers take\t%v\n", time.Duration(status.RTTMicros)*time.Microsecond)
	invalid := uint64(0)
	for _, frames := range status.Frames.Invalid {
		invalid += frames
	}
	fmt.Fprintf(w, "frames\t%d in, %d out, %d dropped as bad\n",
		status.Frames.FramesIn, status.Frames.FramesOut, invalid)
	if status.StateFileError != "" {
		fmt.Fprintf(w, "state file\tcan't be written: %s\n", status.StateFileError)
	}
	for _, name := range sortedNames(status.Pools) {
		pool := status.Pools[name]
		fmt.Fprintf(w, "pool %s\tnumber %d of %d, budgets among %d, own part %.4g, %d there, %d out of reach\n",
			name, pool.Index, pool.Of, pool.QuotaReplicas, pool.QuotaFraction, pool.Alive, pool.Unreachable)
	}
}

// certainty describes how completely a proxy knows its fleet.
func certainty(status *fleet.Status) string {
	switch {
	case status.Displaced:
		return "none: another process of this name started later; this one has no part of any budget"
	case status.Partitioned:
		return "low: this copy is likely the one that is cut off, since " + formatMS(status.PartitionedMS)
	case status.StaleMS > 0:
		return "stale: nobody was heard for " + formatMS(status.StaleMS)
	default:
		return "good"
	}
}

func printQuotas(w io.Writer, status *fleet.SharedStatus) {
	fmt.Fprintln(w, "BUDGET\tWHOLE\tGUARANTEED\tLENT\tBORROWED\tMAY SPEND\tWANTED\tLOANS (A SECOND)")
	for _, quota := range status.Quotas {
		var loans []string
		for _, loan := range quota.Loans {
			direction := "from"
			if loan.Lent {
				direction = "to"
			}
			endsIn := formatMS(max(loan.ExpiresInMS, 0))
			loans = append(loans, fmt.Sprintf("%.3g %s %s, ends in %s", loan.Amount, direction, loan.Peer, endsIn))
		}
		fmt.Fprintf(w, "%s\t%.4g\t%.4g\t%.4g\t%.4g\t%.4g\t%.4g\t%s\n",
			quota.Name, quota.Total, quota.Guaranteed, quota.Lent, quota.Borrowed, quota.Rate, quota.Demand,
			strings.Join(loans, "; "))
	}
}

func printCounters(w io.Writer, status *fleet.SharedStatus) {
	fmt.Fprintln(w, "WHAT\tKNOWN\tAT LEAST\tAT MOST\tAGE\tCOPIES\tNOTE")
	for _, name := range sortedNames(status.Sums) {
		sum := status.Sums[name]
		note := ""
		if sum.Stale {
			note = "stale: a part is too old to go by"
		}
		fmt.Fprintf(w, "%s\t%.0f\t%.0f\t%.0f\t%s\t%d\t%s\n",
			name, sum.Value, sum.Lower, sum.Upper, formatMS(sum.AgeMS), sum.Replicas, note)
	}
	for _, sender := range status.Senders {
		zone := ""
		if sender.Zone != "" {
			zone = ", for zone " + sender.Zone
		}
		fmt.Fprintf(w, "by %s%s\t\t\t\t%s\t%d\t\n", sender.Name, zone, formatMS(sender.AgeMS), sender.Members)
	}
}

func printEvidence(w io.Writer, status *fleet.SharedStatus) {
	fmt.Fprintln(w, "PROVIDER\tBY\tZONE\tCALLS\tERRORS\tHANGS\tSLOWER THAN PEERS\tPEERS FAIL")
	for _, evidence := range status.Evidence {
		fmt.Fprintf(w, "%016x\t%s\t%s\t%.1f\t%.1f\t%.1f\t%.1f times\t%.2f\n",
			evidence.Endpoint, evidence.Reporter, evidence.Zone, evidence.Attempts, evidence.Errors,
			evidence.Timeouts, evidence.RelativeLatency, evidence.PeerErrorRate)
	}
}
