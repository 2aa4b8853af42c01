package balancer

import "time"

// maxWithdrawals bounds the endpoints that are remembered after they are forgotten otherwise. At the bound all
// are dropped: what an earlier list says of them then counts as new.
const maxWithdrawals = 8192

// withdrawals holds the latest start of endpoints that a list has withdrawn, so that an earlier list, which may
// come later, doesn't bring them back.
type withdrawals map[EndpointID]time.Duration

// add remembers that an endpoint is gone.
func (w withdrawals) add(e *endpoint) {
	if len(w) >= maxWithdrawals {
		clear(w)
	}
	w[e.ID] = e.statedStart
}

// takeBack reports whether an entry of a list names an endpoint that was withdrawn and has not started since.
// A list that is not older than the last one is believed, and ends the memory of it.
func (w withdrawals) takeBack(entry *Endpoint, older bool) bool {
	startedAt, ok := w[entry.ID]
	if !ok {
		return false
	}
	if older && entry.StartedAt <= startedAt {
		return true
	}
	delete(w, entry.ID)
	return false
}
