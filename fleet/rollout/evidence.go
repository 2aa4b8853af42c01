package rollout

import "fmt"

// evidence holds log likelihood ratios of a cost of the change against no cost, accumulated over comparisons.
type evidence struct {
	goodput     float64 // before uncertainty
	uncertainty float64 // variance of baseline differences relative to that of the comparisons
	latency     float64
	attempts    float64
}

// add adds the evidence of one comparison.
func (e *evidence) add(c *comparison, guardrails *Guardrails) {
	goodput, uncertainty := c.goodputEvidence(guardrails.Goodput)
	counted := clampEvidence(goodput)
	e.goodput += counted
	if goodput != 0 {
		e.uncertainty += uncertainty * counted / goodput // scaled to the evidence that counts
	}
	latency := growthEvidence(c.baseline.latency(), c.changed.latency(), guardrails.Latency)
	e.latency += clampEvidence(latency)
	attempts := growthEvidence(c.baseline.attemptRate(), c.changed.attemptRate(), guardrails.Attempts)
	e.attempts += clampEvidence(attempts)
}

// ofGoodput returns the evidence of lower goodput. The uncertainty of the baseline bounds it, however long the
// observation lasts.
func (e *evidence) ofGoodput() float64 { return e.goodput / (1 + e.uncertainty) }

// regression describes the cost for which the evidence has reached the upper bound, or returns "" if there is none.
func (e *evidence) regression(guardrails *Guardrails, upper float64) string {
	goodput := e.ofGoodput()
	switch {
	case goodput >= upper:
		return fmt.Sprintf("goodput is lower than that of unchanged copies by %.3g or so (evidence %.1f of %.1f)",
			guardrails.Goodput, goodput, upper)
	case e.latency >= upper:
		return fmt.Sprintf("answers are slower than those of unchanged copies by %.0f%% or so (evidence %.1f of %.1f)",
			100*guardrails.Latency, e.latency, upper)
	case e.attempts >= upper:
		return fmt.Sprintf("requests take more calls to providers than at unchanged copies, "+
			"by %.0f%% or so (evidence %.1f of %.1f)", 100*guardrails.Attempts, e.attempts, upper)
	}
	return ""
}
