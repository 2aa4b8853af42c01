package quota

import (
	"slices"
	"time"
)

// withMaxDrift returns a duration that, measured by the lender's clock, is no shorter than span measured by any other
// replica's clock.
func withMaxDrift(span time.Duration) time.Duration {
	return time.Duration(float64(span) * (1 + 2*MaxClockDrift))
}

// creditEnd returns when a credit ends that was requested at a time, by the borrower's clock. The credit counts from
// the request, as the lender decides later.
func creditEnd(requestedAt time.Duration) time.Duration {
	return requestedAt + time.Duration(float64(Lease)*(1-MaxClockDrift))
}

// lentLoan is the lender's record of a loan.
type lentLoan struct {
	request   RequestID // that was granted last; a renewal changes it
	amount    float64
	expiresAt time.Duration
	previous  []debit // amounts before renewals: the borrower may not have received the latest grant
}

// debit is an amount that counts as lent until it expires.
type debit struct {
	amount    float64
	expiresAt time.Duration
}

func (l *lentLoan) borrower() string { return l.request.Replica }

// debit returns the amount that the loan takes from its lender: the largest of the amounts that have not expired.
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

// renew restarts the lease for an amount. The previous amount stays debited until its own expiry.
func (l *lentLoan) renew(now time.Duration, request RequestID, amount float64) {
	l.previous = slices.DeleteFunc(l.previous, func(d debit) bool { return now >= d.expiresAt })
	l.previous = append(l.previous, debit{amount: l.amount, expiresAt: l.expiresAt})
	l.request = request
	l.amount = amount
	l.expiresAt = now + withMaxDrift(Lease)
}

// borrowedLoan is the borrower's record of a loan.
type borrowedLoan struct {
	lender    string
	seq       uint64 // of the request for which it was granted
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
