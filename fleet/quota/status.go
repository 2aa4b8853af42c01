package quota

import (
	"cmp"
	"slices"
	"time"
)

// Stats are counts of messages.
type Stats struct {
	Requests   uint64 `json:"Asks"`   // sent
	Grants     uint64 `json:"Grants"` // of loans, as lender
	Denials    uint64 `json:"Empty"`  // received
	Late       uint64 `json:"Late"`   // grants that arrived too late to use
	Duplicates uint64 `json:"Again"`  // requests received more than once
	Invalid    uint64 `json:"Bad"`
}

// Status describes one limit at this replica. Guaranteed, Lent, Borrowed, Rate and Demand are in units per second, Left
// is in units.
type Status struct {
	Limit
	Guaranteed float64
	Lent       float64
	Borrowed   float64
	Rate       float64
	Demand     float64
	Left       float64
	Loans      []Loan // by peer
}

// Loan describes one loan to or from a peer.
type Loan struct {
	Peer      string
	Lent      bool
	Amount    float64
	ExpiresIn time.Duration
}

// Status returns the status of all limits, sorted by name.
func (m *Manager) Status(now time.Duration) []Status {
	m.advance(now)
	var all []Status
	for _, name := range m.order {
		account := m.accounts[name]
		all = append(all, Status{
			Limit:      account.Limit,
			Guaranteed: m.guaranteed(account),
			Lent:       m.lent(account),
			Borrowed:   account.credit(m.now),
			Rate:       m.Rate(now, name),
			Demand:     account.demand.rate(m.now),
			Left:       m.Left(name),
			Loans:      account.loans(m.now),
		})
	}
	return all
}

func (a *account) loans(now time.Duration) []Loan {
	var loans []Loan
	for i := range a.lent {
		loan := &a.lent[i]
		loans = append(loans, Loan{
			Peer:      loan.borrower(),
			Lent:      true,
			Amount:    loan.debit(now),
			ExpiresIn: loan.expiresAt - now,
		})
	}
	for _, loan := range a.borrowed {
		loans = append(loans, Loan{
			Peer:      loan.lender,
			Amount:    loan.amount,
			ExpiresIn: loan.expiresAt - now,
		})
	}
	slices.SortFunc(loans, func(x, y Loan) int { return cmp.Compare(x.Peer, y.Peer) })
	return loans
}
