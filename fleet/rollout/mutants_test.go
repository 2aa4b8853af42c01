package rollout

import (
	"testing"

	"ryerill/lab/modelcheck/mutant"
)

func TestMutantsAreFound(t *testing.T) {
	mutant.Find(t, "ExploreFleet|RolloutsUnderFaults|Vote|Revived|LeaderDiscards|WithoutState|NewAttempt|Resumes|Evaluator", []mutant.Mutant{
		{Name: "two votes at once", File: "election.go", From: "	case request.FencingToken >= e.highestToken && e.vote.allows(request.From, env.now):", To: "	case request.FencingToken >= e.highestToken:"},
		{Name: "lower fencing tokens get votes", File: "election.go", From: "	case request.FencingToken >= e.highestToken && e.vote", To: "	case true && e.vote"},
		{Name: "the lease never ends", File: "election.go", From: "	return e.token != 0 && now < e.leaseUntil && e.token >= e.highestToken", To: "	return e.token != 0 && e.leaseUntil > 0 && e.token >= e.highestToken"},
		{Name: "a restarted replica votes at once", File: "election.go", From: "	return election{vote: vote{until: now + withMaxDrift(Lease)}}", To: "	return election{}"},
		{Name: "orders of previous leaders are accepted", File: "application.go", From: "	if !p.election.acceptsOrder(message, p.env.now) {", To: "	if false {"},
		{Name: "the limit of unavailable replicas is ignored", File: "stages.go", From: "	case p.stages.unavailable(p.env.replicas, done) < plan.MaxUnavailable:\n", To: "	case true:\n"},
		{Name: "an abort is ignored", File: "participant.go", From: "			p.transition(RollingBack, abortByOperator)\n", To: "			p.transition(Changing, abortByOperator)\n"},
		{Name: "an older state supersedes", File: "replication.go", From: "	if update.State.Newer(&p.state) {", To: "	if true {"},
		{Name: "a stage that regresses goes on", File: "stages.go", From: "	case assessment == Regressed:\n		p.failStage(\"\", reason)\n", To: ""},
		{Name: "a death during observation is ignored", File: "stages.go", From: "		if p.deathsExceedChance() {", To: "		if false {"},
		{Name: "a second plan is accepted", File: "participant.go", From: "	if !p.state.Phase.Ended() {\n		return &PlanStateError{p.state.Plan.ID, p.state.Phase}\n	}\n", To: ""},
		{Name: "a replica that was away keeps its version", File: "application.go", From: "	case state.Phase == Done:\n		p.apply(state.Plan.Target, false)", To: "	case state.Phase == Done:"},
		{Name: "candidates with an older state get votes", File: "replication.go", From: "	if request.State == nil || !p.state.Newer(request.State) {", To: "	if true {"},
		{Name: "a leader keeps its records of an earlier term", File: "participant.go", From: "	p.stages = newStageController() // data of an earlier term may concern another plan or processes that have ended\n", To: ""},
		{Name: "all send their state to the same peer", File: "replication.go", From: "(max(own, 0)+p.replication", To: "(0*own+p.replication"},
		{Name: "an order is executed once for all attempts", File: "application.go", From: "	p.application = application{}\n}", To: "}"},
		{Name: "too little traffic passes a stage", File: "stages.go", From: "	case assessment == Passed || nothingToCompare:", To: "	case assessment != Regressed || nothingToCompare:"},
		{Name: "a resumed rollback changes replicas again", File: "state.go", From: "			return RollingBack\n", To: "			return Changing\n"},
		{Name: "pools are not told apart", File: "report.go", From: "zone: r.Zone, pool: r.Pool, interval", To: "zone: r.Zone, interval"},
		{Name: "zones are not told apart", File: "report.go", From: "return cell{zone: r.Zone, pool:", To: "return cell{pool:"},
	})
}
