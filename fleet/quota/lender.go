package quota

// handleRequest answers a request for a loan. A duplicate gets the same answer as the first arrival. A request that
// can't be answered within the byte budget is dropped, as if the network had lost it.
func (m *Manager) handleRequest(request *Message) {
	borrower := request.Request.Replica
	if borrower == m.name {
		return
	}
	grant := Message{
		Grant:   true,
		Request: request.Request,
		From:    m.name,
		Epoch:   m.epoch,
		Quota:   request.Quota,
	}
	if !m.spend(answers, &grant) {
		return
	}
	if previous, found := m.answers.find(request.Request); found {
		m.Stats.Duplicates++
		m.send(borrower, previous)
		return
	}
	account := m.accounts[request.Quota]
	renewed := account.findRenewed(request)
	amount := m.lendable(account, request.Amount, renewed)
	if amount > 0 {
		// The debit is recorded before the answer is sent: it counts even if the answer is lost.
		m.Stats.Grants++
		m.lend(account, request.Request, amount, renewed)
	}
	grant.Amount = amount
	m.answers.add(m.now, grant)
	m.send(borrower, grant)
}

// findRenewed returns the loan that a request renews, or nil if it renews none.
func (a *account) findRenewed(request *Message) *lentLoan {
	if request.Renews == noRenewal {
		return nil
	}
	previous := request.Request
	previous.Seq = request.Renews
	return a.findLent(previous)
}

// lendable returns how much of the requested amount is granted. The grant replaces the loan renewed, if not nil.
func (m *Manager) lendable(account *account, requested float64, renewed *lentLoan) float64 {
	amount := max(min(m.surplus(account, renewed), requested), 0)
	if amount < minLoanFraction*account.Total/float64(max(m.replicaCount, 1)) {
		return 0
	}
	return amount
}

// surplus returns what this replica may lend beyond its own demand. The loan to be renewed, if not nil, doesn't count
// as lent.
func (m *Manager) surplus(account *account, renewed *lentLoan) float64 {
	if m.replicaCount <= 0 || m.answers.full() || len(account.lent) >= maxLoans {
		return 0
	}
	if account.Kind == Amount {
		return account.balance - account.demand.rate(m.now)*demandHeadroom
	}
	guaranteed := m.guaranteed(account)
	lent := m.lent(account)
	if renewed != nil {
		lent -= renewed.debit(m.now)
	}
	return min(MaxLentFraction*guaranteed-lent, guaranteed-lent-account.demand.rate(m.now)*demandHeadroom)
}

// lend records a loan, or takes the amount from the balance.
func (m *Manager) lend(account *account, request RequestID, amount float64, renewed *lentLoan) {
	switch {
	case account.Kind == Amount:
		account.balance -= amount
	case renewed != nil:
		renewed.renew(m.now, request, amount)
	default:
		expiresAt := m.now + withMaxDrift(Lease)
		account.lent = append(account.lent, lentLoan{request: request, amount: amount, expiresAt: expiresAt})
	}
}
