package chaos

import (
	"fmt"
	"strings"
	"time"
)

// A quota that moves between two replicas while they are read may be seen twice, so that
// all are read again before a violation is recorded.
const (
	quotaReads        = 10
	quotaReadInterval = 30 * time.Millisecond
)

// checkQuota checks that all replicas together may not spend more than the quota.
func (r *processRun) checkQuota() {
	rate := 0.0
	for range quotaReads {
		rate = r.quotaRate()
		if rate <= totalQuota*maxQuotaExcess {
			return
		}
		time.Sleep(quotaReadInterval)
	}
	r.fail(ruleQuotaBound, "all together may spend %.1f of %.0f", rate, totalQuota)
}

// quotaRate returns what all replicas that are up may spend together, a second.
func (r *processRun) quotaRate() (rate float64) {
	for _, replica := range r.fleet.Replicas {
		shared, err := replica.Shared()
		if err != nil || !replica.Up() {
			continue
		}
		for _, q := range shared.Quotas {
			rate += q.Rate
		}
	}
	return rate
}

// statusAlive is the status of a member in the management endpoint's answers.
const statusAlive = "alive"

// agree reports whether all replicas have the same view, in which all are alive.
func (r *processRun) agree() bool {
	digest := ""
	for _, replica := range r.fleet.Replicas {
		status, err := replica.Status()
		if err != nil || digest != "" && status.Digest != digest {
			return false
		}
		digest = status.Digest
		alive := 0
		for _, member := range status.Members {
			if member.Status == statusAlive {
				alive++
			}
		}
		if alive != len(r.fleet.Replicas) {
			return false
		}
	}
	return true
}

func (r *processRun) describeViews() string {
	var text strings.Builder
	for _, replica := range r.fleet.Replicas {
		status, err := replica.Status()
		fmt.Fprintf(&text, "%s %s %v:", replica.Name, status.Digest, err)
		for _, member := range status.Members {
			if member.Status != statusAlive {
				fmt.Fprintf(&text, " %s %s", member.Name, member.Status)
			}
		}
		text.WriteString("; ")
	}
	return text.String()
}

// planSettled reports whether the latest plan has ended at all replicas, or waits for an
// operator.
func (r *processRun) planSettled() bool {
	for _, replica := range r.fleet.Replicas {
		status, err := replica.Rollout()
		if err != nil || !status.Ended && status.Phase != "stopped" {
			return false
		}
	}
	return true
}

func (r *processRun) describePlan() string {
	var text strings.Builder
	for _, replica := range r.fleet.Replicas {
		status, err := replica.Rollout()
		fmt.Fprintf(&text, "%s: %s %s (%s) led by %s number %d %v; ",
			replica.Name, status.Plan, status.Phase, status.Reason, status.Leader, status.FencingToken, err)
	}
	return text.String()
}
