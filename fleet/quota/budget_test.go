package quota

import (
	"testing"
	"time"
)

// Renewals spend the byte budget in the order of expiry. A loan that is not renewed expires at the borrower and the
// lender: the lender gets its whole share back, and both together never may spend more than the total.
func TestRenewalsInOrderOfExpiry(t *testing.T) {
	const total, demand = 10.0, 7.0
	newReplica := func(name, peer string) *Manager {
		m := New(name, 1, 1, false, 0)
		m.SetLimits(0, []Limit{{"early", Rate, total}, {"late", Rate, total}})
		m.SetReplicaCount(0, 2, []string{peer})
		return m
	}
	borrower, lender := newReplica("b", "l"), newReplica("l", "b")
	renewed := map[string]int{}
	exchange := func(now time.Duration, limits ...string) {
		for _, limit := range limits {
			borrower.AddDemand(now, limit, demand-borrower.accounts[limit].demand.rate(now))
		}
		for _, request := range borrower.Tick(now, nil) {
			if request.Message.Renews != noRenewal {
				renewed[request.Message.Quota]++
			}
			for _, grant := range lender.Handle(now, "b", request.Message, nil) {
				borrower.Handle(now, "l", grant.Message, nil)
			}
		}
	}
	exchange(0, "late")
	exchange(time.Second, "early", "late") // the names refer to the alphabetical order of limits
	if borrower.Rate(time.Second, "early") <= total/2 || borrower.Rate(time.Second, "late") <= total/2 {
		t.Fatalf("borrower has no loans, want one of each limit: %+v", borrower.Status(time.Second))
	}
	now := time.Second + Lease/2
	borrower.SetByteBudget(now, 1) // one message of each class, and the next one minutes later
	for ; now < 3*Lease; now += 10 * time.Millisecond {
		exchange(now, "early", "late")
		for _, limit := range []string{"early", "late"} {
			if sum := borrower.Rate(now, limit) + lender.Rate(now, limit); sum > total+1e-9 {
				t.Fatalf("at %v, limit %s: got a combined rate of %v, want at most %v", now, limit, sum, total)
			}
		}
	}
	if renewed["late"] != 1 || renewed["early"] != 0 {
		t.Errorf("got renewals %v by limit, want late:1 only", renewed)
	}
	if rate := lender.Rate(now, "early"); rate != total/2 {
		t.Errorf("after the lease: got lender rate %v, want %v", rate, total/2)
	}
}

// A class of messages gets its part of the budget while other classes use theirs up, and other classes get what it
// leaves unused.
func TestBudgetIsDividedAmongClasses(t *testing.T) {
	const perSecond, size, seconds = 10_000, 100, 20
	for name, tc := range map[string]struct {
		busy []messageClass
		want float64 // minimum fraction of the budget for the first class
	}{
		"alone":       {[]messageClass{renewals}, 1},
		"beside all":  {[]messageClass{renewals, requests, answers}, budgetParts[renewals]},
		"answers too": {[]messageClass{answers, renewals, requests}, budgetParts[answers]},
	} {
		t.Run(name, func(t *testing.T) {
			budget := newByteBudget(perSecond, 0)
			sent := [messageClasses]float64{}
			for now := time.Duration(0); now < seconds*time.Second; now += 20 * time.Millisecond {
				for _, class := range tc.busy {
					for budget.spend(now, class, size) {
						sent[class] += size
					}
				}
			}
			most := perSecond*(seconds+budgetBurst.Seconds()) + size*float64(messageClasses)
			if all := sent[renewals] + sent[requests] + sent[answers]; all > most {
				t.Errorf("got %v bytes sent, want at most %v", all, most)
			}
			if fraction := sent[tc.busy[0]] / (perSecond * seconds); fraction < 0.95*tc.want {
				t.Errorf("first class got fraction %v of the budget, want %v", fraction, tc.want)
			}
		})
	}
}
