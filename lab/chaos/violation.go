package chaos

import (
	"fmt"
	"time"
)

// The rules that a run checks. They name the files of what is found.
const (
	ruleViewsAgree       = "views become equal"
	ruleQuotaBound       = "a budget is never overspent"
	ruleQuotaGranted     = "budgets go where they are wanted"
	ruleFractionsBound   = "parts never exceed the whole"
	ruleOneLeader        = "one copy leads"
	ruleMaxUnavailable   = "no more away than a plan allows"
	ruleEndedPlanApplies = "an ended plan changes nothing"
	rulePlanEnds         = "a plan ends or waits for a person"

	// Of processes only.
	ruleReplicaStarts    = "a copy starts"
	ruleReplicaUpgraded  = "a copy is upgraded"
	ruleReplicaCrashes   = "no copy crashes"
	ruleKeysRotate       = "keys change"
	ruleGoodputRecovers  = "goodput is back"
	ruleOneAnswer        = "one final answer in time, and no repeat against the class"
	ruleNoResourceGrowth = "nothing grows"
)

// What holds in virtual time and on processes.
const (
	poolName       = "main"
	totalQuota     = 1000.0 // units a second
	maxQuotaExcess = 1.0001 // for rounding
	agreeTimeout   = 30 * time.Second
)

// Violation is a rule that a run has violated. It is an error.
type Violation struct {
	At   time.Duration // since the run's start
	Rule string
	Text string
}

// Error returns the time, the rule and what was found.
func (v *Violation) Error() string { return fmt.Sprintf("at %v: %s: %s", v.At, v.Rule, v.Text) }
