package fleet

import (
	"time"

	"ryerill/fleet/counter"
	"ryerill/fleet/outlier"
	"ryerill/fleet/quota"
	"ryerill/fleet/statesync"
)

// SharedStatus is the status of the shared state at the management endpoint.
type SharedStatus struct {
	SharesQuotas   bool                     `json:"quotas"`
	SharesCounters bool                     `json:"counts"`
	SharesEvidence bool                     `json:"verdicts"`
	Quotas         []QuotaStatus            `json:"budgets"`
	Sums           map[string]CounterStatus `json:"sums"` // over all replicas
	Senders        []SenderStatus           `json:"speakers"`
	Evidence       []outlier.Evidence       `json:"evidence"`
	Packets        statesync.Stats          `json:"packets"`
	Lending        quota.Stats              `json:"lending"`
}

// QuotaStatus is the status of one quota at this replica, in units per second.
type QuotaStatus struct {
	Name       string       `json:"name"`
	Total      float64      `json:"whole"`
	Guaranteed float64      `json:"guaranteed"` // this replica's fraction of the total
	Lent       float64      `json:"lent"`
	Borrowed   float64      `json:"borrowed"`
	Rate       float64      `json:"rate"` // current limit of this replica
	Demand     float64      `json:"wanted"`
	Loans      []LoanStatus `json:"loans"`
}

// LoanStatus is the status of one loan.
type LoanStatus struct {
	Peer        string  `json:"with"`
	Lent        bool    `json:"given"` // false: borrowed
	Amount      float64 `json:"amount"`
	ExpiresInMS int64   `json:"ends_ms"`
}

// CounterStatus is the sum of a counter over all replicas, with lower and upper bounds.
type CounterStatus struct {
	Value    float64 `json:"n"`
	Lower    float64 `json:"least"`
	Upper    float64 `json:"most"`
	AgeMS    int64   `json:"age_ms"`
	Replicas int     `json:"copies"`
	Stale    bool    `json:"stale"`
}

// SenderStatus is the status of a replica, or of the replicas of a zone, with known counters.
type SenderStatus struct {
	Name    string `json:"name"`
	Zone    string `json:"zone,omitempty"`
	Members int    `json:"members"`
	AgeMS   int64  `json:"age_ms"`
}

// SharedStatus returns the status of the shared state; nil if state sharing is disabled.
func (f *Fleet) SharedStatus() *SharedStatus {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.stateSync == nil {
		return nil
	}
	return f.stateSync.status(f.now())
}

func (h *stateSyncHost) status(now time.Duration) *SharedStatus {
	return &SharedStatus{
		SharesQuotas:   h.sharing.Quotas,
		SharesCounters: h.sharing.Counters,
		SharesEvidence: h.sharing.Evidence,
		Quotas:         h.quotaStatus(now),
		Sums: map[string]CounterStatus{
			"arrivals":  h.sum(now, func(c counter.Counts) float64 { return float64(c.Arrivals) }),
			"served":    h.sum(now, func(c counter.Counts) float64 { return float64(c.Served) }),
			"refused":   h.sum(now, func(c counter.Counts) float64 { return float64(c.Refused) }),
			"failed":    h.sum(now, func(c counter.Counts) float64 { return float64(c.Failed) }),
			"in_flight": h.sum(now, func(c counter.Counts) float64 { return float64(c.InFlight) }),
		},
		Senders:  h.senderStatus(now),
		Evidence: h.syncer.Outliers.AllEvidence(),
		Packets:  h.syncer.Stats,
		Lending:  h.syncer.Quotas.Stats,
	}
}

func (h *stateSyncHost) quotaStatus(now time.Duration) (all []QuotaStatus) {
	for _, known := range h.syncer.Quotas.Status(now) {
		status := QuotaStatus{
			Name:       known.Name,
			Total:      known.Total,
			Guaranteed: known.Guaranteed,
			Lent:       known.Lent,
			Borrowed:   known.Borrowed,
			Rate:       known.Rate,
			Demand:     known.Demand,
		}
		for _, loan := range known.Loans {
			status.Loans = append(status.Loans, LoanStatus{
				Peer:        loan.Peer,
				Lent:        loan.Lent,
				Amount:      loan.Amount,
				ExpiresInMS: loan.ExpiresIn.Milliseconds(),
			})
		}
		all = append(all, status)
	}
	return all
}

// sum returns the sum of one counter over all replicas.
func (h *stateSyncHost) sum(now time.Duration, count func(counter.Counts) float64) CounterStatus {
	value := h.syncer.Counters.Sum(now, nil, count)
	return CounterStatus{
		Value:    value.Estimate,
		Lower:    value.Lower,
		Upper:    value.Upper,
		AgeMS:    value.Age.Milliseconds(),
		Replicas: value.Replicas,
		Stale:    value.Stale,
	}
}

func (h *stateSyncHost) senderStatus(now time.Duration) (all []SenderStatus) {
	for _, source := range h.syncer.Counters.Sources(now) {
		all = append(all, SenderStatus{
			Name:    source.Name,
			Zone:    source.Zone,
			Members: max(source.Members, 1),
			AgeMS:   source.Age.Milliseconds(),
		})
	}
	return all
}
