package cli

import (
	"fmt"
	"io"
	"strings"

	"ryerill/fleet"
	"ryerill/fleet/rollout"
)

const percent = 100

// printPlan prints the stages of a plan. If replicas is empty, the size of the fleet is unknown.
func printPlan(w io.Writer, plan *rollout.Plan, replicas []fleet.ReplicaStatus) {
	zones := map[string]bool{}
	for _, replica := range replicas {
		zones[replica.Zone] = true
	}
	fmt.Fprintf(w, "%s: %s to %s, at most %d away at once, going back %v\n",
		plan.ID, kindNames[plan.Kind], plan.Target, plan.MaxUnavailable, plan.RollBack)
	for i, stage := range plan.Stages {
		size := "of the fleet that the door names"
		if len(replicas) > 0 {
			size = fmt.Sprintf("%d of %d copies", plan.Size(i, len(replicas), len(zones)), len(replicas))
		}
		fmt.Fprintf(w, "stage %d: %s (count %d, part %g, one a zone %v), watched for %v\n",
			i+1, size, stage.Count, stage.Fraction, stage.PerZone, stage.Observation)
	}
	guardrails := &plan.Guardrails
	fmt.Fprintf(w, "stopped if goodput is %.1f points lower or answers %.0f%% slower than at unchanged copies; "+
		"wrongly in %.2g of plans, missed in %.2g of stages\n",
		percent*guardrails.Goodput, percent*guardrails.Latency, guardrails.FalseAlarm, guardrails.MissedRegression)
}

func printRollout(w io.Writer, status *fleet.RolloutStatus) {
	if status.Plan == "" {
		fmt.Fprintln(w, "no plan was ever taken")
		return
	}
	fmt.Fprintf(w, "plan\t%s: %s to %s\n", status.Plan, status.Kind, status.Target)
	fmt.Fprintf(w, "phase\t%s\n", status.Phase)
	fmt.Fprintf(w, "why\t%s\n", status.Reason)
	fmt.Fprintf(w, "led by\t%s, number %d\n", firstNonEmpty(status.Leader, "nobody yet"), status.FencingToken)
	fmt.Fprintf(w, "taken\t%s ago\n", formatMS(status.AgeMS))
	if status.Evidence != "" {
		fmt.Fprintf(w, "evidence\t%s\n", status.Evidence)
	} else if !status.Ended && status.Leader != "" {
		fmt.Fprintf(w, "evidence\task %s, which leads\n", status.Leader)
	}
	for i, stage := range status.Stages {
		mark := ""
		switch {
		case i+1 < status.Stage || status.Phase == rollout.Done.String():
			mark = "through"
		case i+1 == status.Stage:
			mark = "here"
		}
		fmt.Fprintf(w, "stage %d\t%d copies, watched for %s\t%s\n", i+1, stage.Replicas, stage.Observation, mark)
	}
	for i := range status.Replicas {
		replica := &status.Replicas[i]
		note := replicaNote(replica, status.Target)
		fmt.Fprintf(w, "%s\t%s %s\t%s\n", replica.Name, replica.Zone, replica.Version, note)
	}
	if len(status.FailedReplicas) > 0 {
		fmt.Fprintf(w, "failed at\t%s\n", strings.Join(status.FailedReplicas, ", "))
	}
}

func replicaNote(replica *fleet.ReplicaStatus, target string) string {
	switch {
	case replica.RefusedReason != "":
		return "could not: " + replica.RefusedReason
	case replica.Version == target:
		return "holds it"
	case !replica.Alive:
		return "not there"
	case !replica.Ready:
		return "not ready"
	default:
		return ""
	}
}

func printHistory(w io.Writer, status *fleet.RolloutStatus) {
	for _, entry := range status.History {
		fmt.Fprintln(w, entry)
	}
}
