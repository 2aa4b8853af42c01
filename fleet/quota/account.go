package quota

import (
	"math"
	"slices"
	"time"
)

// account is this replica's state of one limit: the loans of a rate limit, or the balance of an amount limit.
type account struct {
	Limit
	lent     []lentLoan
	borrowed []borrowedLoan

	balance  float64 // amount limits only: units that may still be spent
	assigned bool    // balance has been set, from the limit's total or by a grant

	demand        demandMeter
	pending       []pendingRequest
	nextRequestAt time.Duration
	retryAt       map[string]time.Duration // when to ask a lender again after a denial, by lender
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

// expire drops expired loans and requests that have timed out.
func (a *account) expire(now time.Duration) {
	a.lent = slices.DeleteFunc(a.lent, func(l lentLoan) bool { return l.debit(now) == 0 })
	a.borrowed = slices.DeleteFunc(a.borrowed, func(l borrowedLoan) bool { return l.credit(now) == 0 })
	a.pending = slices.DeleteFunc(a.pending, func(r pendingRequest) bool { return now-r.sentAt >= requestTimeout })
}

// debit returns the total that is lent to other replicas.
func (a *account) debit(now time.Duration) float64 {
	sum := 0.0
	for i := range a.lent {
		sum += a.lent[i].debit(now)
	}
	return sum
}

// credit returns the total that is borrowed from other replicas.
func (a *account) credit(now time.Duration) float64 {
	sum := 0.0
	for i := range a.borrowed {
		sum += a.borrowed[i].credit(now)
	}
	return sum
}

// findLent returns the loan granted for a request, or nil if there is none.
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

// findBorrowed returns the loan from a lender, or the zero value if there is none.
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

// takePending removes and returns the pending request seq to a lender.
func (a *account) takePending(seq uint64, lender string) (pendingRequest, bool) {
	index := slices.IndexFunc(a.pending, func(r pendingRequest) bool { return r.seq == seq && r.lender == lender })
	if index < 0 {
		return pendingRequest{}, false
	}
	request := a.pending[index]
	a.pending = slices.Delete(a.pending, index, index+1)
	return request, true
}

// demandMeter measures demand as an exponentially decaying sum of units.
type demandMeter struct {
	units     float64
	updatedAt time.Duration
}

const demandDecay = time.Second // time constant: the sum falls to 1/e in it

func (d *demandMeter) add(now time.Duration, units float64) {
	d.decay(now)
	d.units += units
}

// rate returns the demand in units per second.
func (d *demandMeter) rate(now time.Duration) float64 {
	d.decay(now)
	return d.units / demandDecay.Seconds()
}

func (d *demandMeter) decay(now time.Duration) {
	d.units *= math.Exp(-(now - d.updatedAt).Seconds() / demandDecay.Seconds())
	d.updatedAt = now
}
