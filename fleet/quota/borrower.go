package quota

import (
	"cmp"
	"slices"
	"time"
)

// denialBackoff is the time after a denial in which the lender is not asked again.
const denialBackoff = Lease / 4

// borrow renews, returns and requests loans of all limits according to demand. The limit to start with rotates, because
// the byte budget may not suffice for all limits in one tick.
func (m *Manager) borrow() {
	m.firstAt = (m.firstAt + 1) % max(len(m.order), 1)
	names := slices.Concat(m.order[m.firstAt:], m.order[:m.firstAt])
	m.renewLoans(names)
	for _, name := range names {
		m.adjustLoans(m.accounts[name])
	}
}

// adjustLoans returns the loans of one limit that are not needed, and requests loans to cover a shortfall.
func (m *Manager) adjustLoans(account *account) {
	shortfall := m.shortfall(account)
	m.returnLoans(account, -shortfall)
	if m.now >= account.nextRequestAt {
		account.nextRequestAt = m.now + requestInterval
		m.requestLoans(account, shortfall)
	}
}

// shortfall returns the demand, with headroom, less what this replica may spend. It is negative if there is a surplus.
func (m *Manager) shortfall(account *account) float64 {
	wanted := min(account.demand.rate(m.now)*demandHeadroom, account.Total)
	if account.Kind == Amount {
		return wanted - account.balance
	}
	return wanted - m.spendableRate(account)
}

// renewal is a borrowed loan that is due for renewal, and the amount to request.
type renewal struct {
	account *account
	loan    *borrowedLoan
	amount  float64
}

// renewLoans requests renewals of the loans that are due, in the order of expiry. Renewals that exceed the byte budget
// wait for the next ticks.
func (m *Manager) renewLoans(names []string) {
	var due []renewal
	for _, name := range names {
		due = m.appendRenewals(due, m.accounts[name])
	}
	slices.SortStableFunc(due, func(a, b renewal) int { return cmp.Compare(a.loan.expiresAt, b.loan.expiresAt) })
	for _, r := range due {
		if len(r.account.pending) >= maxPendingRequests {
			continue
		}
		if !m.request(renewals, r.account, r.loan.lender, r.amount, r.loan.seq) {
			return
		}
		r.loan.renewAt = r.loan.expiresAt
	}
}

// appendRenewals appends the loans of one limit that are due for renewal, each with the amount that is still needed.
func (m *Manager) appendRenewals(due []renewal, account *account) []renewal {
	shortfall := m.shortfall(account)
	for i := range account.borrowed {
		loan := &account.borrowed[i]
		if m.now < loan.renewAt {
			continue
		}
		amount := min(loan.amount, max(shortfall+loan.amount, 0))
		shortfall += loan.amount - amount // the remaining loans have to cover the difference
		if amount > 0 {
			due = append(due, renewal{account: account, loan: loan, amount: amount})
		}
	}
	return due
}

// returnLoans returns loans that the surplus covers whole, newest first. The credit ends before the lender is notified,
// so that no amount counts at both replicas.
func (m *Manager) returnLoans(account *account, surplus float64) {
	for i := len(account.borrowed) - 1; i >= 0; i-- {
		loan := account.borrowed[i]
		if loan.amount > surplus || account.hasPendingRenewal(loan.seq) {
			continue
		}
		message := Message{Return: true, Request: m.requestID(loan.seq), Quota: account.Name}
		if !m.spend(requests, &message) {
			return // the loan expires without a message
		}
		surplus -= loan.amount
		account.borrowed = slices.Delete(account.borrowed, i, i+1)
		m.send(loan.lender, message)
	}
}

// requestLoans asks several random peers at once, each for the remaining shortfall. It assumes that each grants half of
// the maximum that it may lend.
func (m *Manager) requestLoans(account *account, shortfall float64) {
	guaranteed := account.Total / float64(m.replicaCount)
	expectedGrant := MaxLentFraction * guaranteed / 2
	for _, pending := range account.pending {
		if pending.renews == noRenewal {
			shortfall -= expectedGrant
		}
	}
	for range 2 * maxPendingRequests {
		if shortfall <= minLoanFraction*guaranteed || len(account.pending) >= maxPendingRequests {
			return
		}
		lender := m.peers[m.random.Uint64()%uint64(len(m.peers))]
		if m.now < account.retryAt[lender] || account.hasPendingTo(lender) {
			continue
		}
		existing := account.findBorrowed(lender)
		if !m.request(requests, account, lender, shortfall+existing.amount, existing.seq) {
			return
		}
		shortfall -= expectedGrant
	}
}

// request asks a lender for an amount. renews is the sequence number of the request whose loan it replaces, or
// noRenewal. It reports false if the byte budget is exhausted.
func (m *Manager) request(class messageClass, account *account, lender string, amount float64, renews uint64) bool {
	if len(account.borrowed) >= maxLoans || !(amount > 0) {
		return true
	}
	message := Message{Request: m.requestID(m.lastSeq + 1), Quota: account.Name, Amount: amount, Renews: renews}
	if !m.spend(class, &message) {
		return false
	}
	m.lastSeq++
	m.Stats.Requests++
	account.pending = append(account.pending, pendingRequest{
		seq:    m.lastSeq,
		renews: renews,
		lender: lender,
		sentAt: m.now,
	})
	m.send(lender, message)
	return true
}

// spend takes the bytes of a message from the byte budget. If it reports false, the message must not be sent.
func (m *Manager) spend(class messageClass, message *Message) bool {
	return m.budget.spend(m.now, class, message.MaxEncodedBytes())
}

func (m *Manager) requestID(seq uint64) RequestID {
	return RequestID{Replica: m.name, Epoch: m.epoch, Seq: seq}
}

// handleGrant records a grant that answers a pending request of this process, and ignores any other.
func (m *Manager) handleGrant(grant *Message) {
	if grant.Request.Replica != m.name || grant.Request.Epoch != m.epoch {
		m.Stats.Late++ // for a previous process: the lender has debited it, and it is forfeited here
		return
	}
	account := m.accounts[grant.Quota]
	request, found := account.takePending(grant.Request.Seq, grant.From)
	if !found {
		m.Stats.Late++
		return
	}
	expiresAt := creditEnd(request.sentAt)
	switch {
	case grant.Amount == 0:
		m.Stats.Denials++
		account.deferRequestsTo(grant.From, m.now+denialBackoff)
	case account.Kind == Amount:
		account.assign(account.balance + grant.Amount)
	case m.now >= expiresAt:
		m.Stats.Late++
	default:
		account.addBorrowed(request, grant.Amount, expiresAt)
	}
}

// deferRequestsTo prevents requests to a lender until the given time.
func (a *account) deferRequestsTo(lender string, until time.Duration) {
	a.retryAt[lender] = until
	if len(a.retryAt) > maxLoans {
		clear(a.retryAt)
	}
}

// addBorrowed records the loan granted for a request. It replaces the loan that the request renews.
func (a *account) addBorrowed(request pendingRequest, amount float64, expiresAt time.Duration) {
	a.borrowed = slices.DeleteFunc(a.borrowed, func(l borrowedLoan) bool {
		return request.renews != noRenewal && l.lender == request.lender && l.seq == request.renews
	})
	a.borrowed = append(a.borrowed, borrowedLoan{
		lender:    request.lender,
		seq:       request.seq,
		amount:    amount,
		expiresAt: expiresAt,
		renewAt:   request.sentAt + time.Duration(renewAfterFraction*float64(Lease)),
	})
}
