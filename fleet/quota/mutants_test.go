package quota

import (
	"testing"

	"ryerill/lab/modelcheck/mutant"
)

func TestMutantsAreFound(t *testing.T) {
	mutant.Find(t, "ExploreLending|NeverExceed|Uneven|Credit|Duplicated|Unconfirmed", []mutant.Mutant{
		{Name: "no debit", File: "manager.go", From: "	return m.spendableRate(account)\n", To: "	return m.guaranteed(account) + account.credit(m.now)\n"},
		{Name: "the debit ends as early as the credit", File: "lease.go", From: "time.Duration(float64(span) * (1 + 2*MaxClockDrift))", To: "time.Duration(float64(span) * (1 - 3*MaxClockDrift))"},
		{Name: "credit counted from when the answer arrives", File: "borrower.go", From: "	expiresAt := creditEnd(request.sentAt)\n", To: "	expiresAt := creditEnd(m.now)\n"},
		{Name: "a request that arrives again is granted again", File: "message.go", From: "		if l.entries[i].message.Request == request {", To: "		if false {"},
		{Name: "a grant counts however often it arrives", File: "account.go", From: "	a.pending = slices.Delete(a.pending, index, index+1)\n", To: ""},
		{Name: "a grant to a previous process counts", File: "borrower.go", From: "grant.Request.Replica != m.name || grant.Request.Epoch != m.epoch {", To: "grant.Request.Replica != m.name {"},
		{Name: "a restarted lender forgets what it lent", File: "manager.go", From: "		sum = max(sum, MaxLentFraction*m.guaranteed(account))\n", To: ""},
		{Name: "a restarted replica has its amount again", File: "manager.go", From: "		case m.restarted:\n", To: "		case m.restarted && replicaCount <= 0:\n"},
		{Name: "more is lent than the share", File: "lender.go", From: "	return min(MaxLentFraction*guaranteed-lent, guaranteed-lent-account.demand.rate(m.now)*demandHeadroom)", To: "	return 2 * guaranteed"},
		{Name: "an amount is lent and kept", File: "lender.go", From: "		account.balance -= amount\n", To: ""},
		{Name: "a renewed loan counts for its new amount alone", File: "lease.go", From: "debit{amount: l.amount, expiresAt: l.expiresAt})\n", To: "debit{amount: 0, expiresAt: l.expiresAt})\n"},
		{Name: "a renewed loan counts twice", File: "borrower.go", From: "return request.renews != noRenewal && l.lender == request.lender && l.seq == request.renews\n", To: "return false\n"},
		{Name: "an unconfirmed replica has a share", File: "manager.go", From: "	if m.replicaCount <= 0 {\n		return 0\n	}\n	return account.Total", To: "	return account.Total"},
		{Name: "returned and kept", File: "borrower.go", From: "		account.borrowed = slices.Delete(account.borrowed, i, i+1)\n", To: ""},
		{Name: "no peer is asked", File: "borrower.go", From: "		if !m.request(requests, account, lender, shortfall+existing.amount, existing.seq) {\n", To: "		if _ = existing; true {\n"},
	})
}
