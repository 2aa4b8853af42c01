package quota

import (
	"math"
	"slices"
	"time"
)

// account is this replica's part of one limit: the loans of a rate limit, or the balance of an amount limit.
type account struct {
	Limit
	lent     []lentLoan
	borrowed []borrowedLoan

	balance  float64 // of an amount limit: what may still be spent
	assigned bool    // an amount limit's balance has been set from its total, or by a grant

	demand        demandMeter
	pending       []pendingRequest
	nextRequestAt time.Duration
	retryAt       map[string]time.Duration // by lender that had nothing to lend
}

func newAccount(limit Limit, now time.Duration) *account {
	return &account{Limit: limit, demand: demandMeter{updatedAt: now}, retryAt: map[string]time.Duration{}}
}

func (a *account) assign(balance float64) {
	a.balance = balance
	a.assigned = true
}

func (a *account) spend(units float64) bool {
	if !(units >= 0) || !a.assigned || a.balance < units {
		return false
	}
	a.balance -= units
	return true
}

// expire drops loans that are over and requests without an answer.
func (a *account) expire(now time.Duration) {
	a.lent = slices.DeleteFunc(a.lent, func(l lentLoan) bool { return l.debit(now) == 0 })
	a.borrowed = slices.DeleteFunc(a.borrowed, func(l borrowedLoan) bool { return l.credit(now) == 0 })
	a.pending = slices.DeleteFunc(a.pending, func(r pendingRequest) bool { return now-r.sentAt >= requestTimeout })
}

// debit is what all loans to others count for.
func (a *account) debit(now time.Duration) float64 {
	sum := 0.0
	for i := range a.lent {
		sum += a.lent[i].debit(now)
	}
	return sum
}

// credit is what all loans from others count for.
func (a *account) credit(now time.Duration) float64 {
	sum := 0.0
	for i := range a.borrowed {
		sum += a.borrowed[i].credit(now)
	}
	return sum
}

// findLent returns the loan that was granted for a request, or nil.
func (a *account) findLent(request RequestID) *lentLoan {
	for i := range a.lent {
		if a.lent[i].request == request {
			return &a.lent[i]
		}
	}
	return nil
}

func (a *account) removeLent(request RequestID) {
	a.lent = slices.DeleteFunc(a.lent, func(l lentLoan) bool { return l.request == request })
}

// findBorrowed returns the loan of a lender; its zero value if there is none.
func (a *account) findBorrowed(lender string) borrowedLoan {
	for _, loan := range a.borrowed {
		if loan.lender == lender {
			return loan
		}
	}
	return borrowedLoan{}
}

func (a *account) hasPendingTo(lender string) bool {
	return slices.ContainsFunc(a.pending, func(r pendingRequest) bool { return r.lender == lender })
}

func (a *account) hasPendingRenewal(seq uint64) bool {
	return slices.ContainsFunc(a.pending, func(r pendingRequest) bool { return r.renews == seq })
}

// takePending removes the request that a lender answers, and returns it.
func (a *account) takePending(seq uint64, lender string) (pendingRequest, bool) {
	index := slices.IndexFunc(a.pending, func(r pendingRequest) bool { return r.seq == seq && r.lender == lender })
	if index < 0 {
		return pendingRequest{}, false
	}
	request := a.pending[index]
	a.pending = slices.Delete(a.pending, index, index+1)
	return request, true
}

// demandMeter measures the units that are wanted a second, as a sum that decays.
type demandMeter struct {
	units     float64
	updatedAt time.Duration
}

const demandDecay = time.Second // in which the sum falls to 1/e

func (d *demandMeter) add(now time.Duration, units float64) {
	d.decay(now)
	d.units += units
}

// rate is the demand in units a second.
func (d *demandMeter) rate(now time.Duration) float64 {
	d.decay(now)
	return d.units / demandDecay.Seconds()
}

func (d *demandMeter) decay(now time.Duration) {
	d.units *= math.Exp(-(now - d.updatedAt).Seconds() / demandDecay.Seconds())
	d.updatedAt = now
}
