package quota

import (
	"slices"
	"time"
)

// withMaxDrift is a duration by the lender's clock that is no shorter than span by any other replica's clock.
func withMaxDrift(span time.Duration) time.Duration {
	return time.Duration(float64(span) * (1 + 2*MaxClockDrift))
}

// creditEnd is when the borrower's credit ends that it requested at a time by its own clock. It counts from the request
// as the lender decides later.
func creditEnd(requestedAt time.Duration) time.Duration {
	return requestedAt + time.Duration(float64(Lease)*(1-MaxClockDrift))
}

// lentLoan is a loan as its lender keeps it.
type lentLoan struct {
	request   RequestID // that it was granted for; a renewal changes it
	amount    float64
	expiresAt time.Duration
	previous  []debit // amounts before renewals: the borrower may not have received the latest grant
}

// debit is an amount that counts as lent until a time.
type debit struct {
	amount    float64
	expiresAt time.Duration
}

func (l *lentLoan) borrower() string { return l.request.Replica }

// debit is what the loan counts for with its lender: the largest of the amounts that have not expired.
func (l *lentLoan) debit(now time.Duration) float64 {
	amount := 0.0
	if now < l.expiresAt {
		amount = l.amount
	}
	for _, previous := range l.previous {
		if now < previous.expiresAt {
			amount = max(amount, previous.amount)
		}
	}
	return amount
}

// renew starts the lease anew for an amount. The previous amount is owed until its own end.
func (l *lentLoan) renew(now time.Duration, request RequestID, amount float64) {
	l.previous = slices.DeleteFunc(l.previous, func(d debit) bool { return now >= d.expiresAt })
	l.previous = append(l.previous, debit{amount: l.amount, expiresAt: l.expiresAt})
	l.request = request
	l.amount = amount
	l.expiresAt = now + withMaxDrift(Lease)
}

// borrowedLoan is a loan as its borrower keeps it.
type borrowedLoan struct {
	lender    string
	seq       uint64 // of the request that it was granted for
	amount    float64
	expiresAt time.Duration
	renewAt   time.Duration
}

func (l *borrowedLoan) credit(now time.Duration) float64 {
	if now < l.expiresAt {
		return l.amount
	}
	return 0
}
