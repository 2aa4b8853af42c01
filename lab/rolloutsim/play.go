package rolloutsim

import (
	"fmt"
	"time"

	"ryerill/fleet/rollout"
)

// Play simulates one rollout, as the real plan decides, of a change that costs so much
// goodput, in a fleet of n replicas.
func Play(n int, day Day, cost float64, seed uint64) Result {
	r := &evaluatedRun{run: newRun(n, day, cost, seed), baseline: rollout.NewBaseline()}
	r.observeBaseline()
	for stage := range r.plan.Stages {
		r.changeStage(stage, func() { r.advance(nil) })
		switch r.observeStage(stage) {
		case rollout.Regressed:
			return r.result(true)
		case rollout.Undecided:
			result := r.result(true)
			result.Unknown = true
			return result
		}
	}
	return r.result(false)
}

// evaluatedRun is a rollout that the real evaluator assesses.
type evaluatedRun struct {
	*run
	baseline *rollout.Baseline
	interval uint64 // of the latest reports
}

// advance plays one second, and passes the reports of replicas to the evaluator, if there
// is one, and those of unchanged ones to the baseline.
func (r *evaluatedRun) advance(evaluator *rollout.Evaluator) {
	r.interval++
	r.run.advance(func(replica int, offered, served float64) {
		report := r.report(replica, offered, served)
		if evaluator != nil {
			evaluator.AddReport(0, report)
		}
		if replica >= r.changed {
			r.baseline.AddReport(report)
		}
	})
}

func (r *evaluatedRun) report(replica int, offered, served float64) rollout.Report {
	const responseSeconds = 0.02
	return rollout.Report{
		Name:            replicaName(replica),
		Zone:            fmt.Sprint("z", replica%zones),
		Pool:            "main",
		Interval:        r.interval,
		OfferedWeight:   offered,
		ServedWeight:    served,
		Responses:       served,
		ResponseSeconds: responseSeconds * served,
	}
}

// observeBaseline plays the time before the first change: longer than planned while the
// baseline is not sufficient, up to a limit.
func (r *evaluatedRun) observeBaseline() {
	longest := r.plan.Baseline + r.plan.ExtraObservation
	for observed := time.Duration(0); ; observed += time.Second {
		isEnough := observed >= r.plan.Baseline &&
			(observed >= longest || r.baseline.Sufficient(r.plan.Guardrails, replicaName(0)))
		if isEnough {
			return
		}
		r.advance(nil)
	}
}

// observeStage plays the observation period of a stage, and returns what the evaluator
// concludes: Undecided if it can't decide within the extra observation period either.
func (r *evaluatedRun) observeStage(stage int) rollout.Assessment {
	var changed []string
	for replica := range r.changed {
		changed = append(changed, replicaName(replica))
	}
	evaluator := rollout.NewEvaluator(r.plan.Guardrails, changed, r.baseline)
	planned := r.plan.Stages[stage].Observation
	for observed := time.Duration(0); ; observed += time.Second {
		r.advance(evaluator)
		assessment, _ := evaluator.Assess(0)
		if assessment == rollout.Regressed {
			return rollout.Regressed
		}
		allChanged := r.changed == r.replicas // nothing is left that a decision could stop
		if observed >= planned && (assessment == rollout.Passed || allChanged) {
			return rollout.Passed
		}
		if observed > planned+r.plan.ExtraObservation {
			return rollout.Undecided
		}
	}
}
