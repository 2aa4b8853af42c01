package balancer

import "time"

// maxListed is the number of endpoints in the largest deployment. At least as many withdrawals are kept,
// since all endpoints of a list may be withdrawn at once.
const maxListed = 40_000

// withdrawals holds the start times of endpoints that a list has withdrawn, so that an older list that
// arrives later doesn't restore them. It holds at least the last maxListed withdrawals and at most twice as
// many.
type withdrawals struct {
	recent   map[EndpointID]time.Duration
	previous map[EndpointID]time.Duration // the previous generation of recent
}

func newWithdrawals() withdrawals { return withdrawals{recent: map[EndpointID]time.Duration{}} }

// add records that an endpoint is withdrawn.
func (w *withdrawals) add(e *endpoint) {
	if len(w.recent) >= maxListed {
		w.previous = w.recent
		w.recent = map[EndpointID]time.Duration{}
	}
	w.recent[e.ID] = e.statedStart
}

// startOf returns the start time of a withdrawn endpoint.
func (w *withdrawals) startOf(id EndpointID) (startedAt time.Duration, ok bool) {
	startedAt, ok = w.recent[id]
	if !ok {
		startedAt, ok = w.previous[id]
	}
	return startedAt, ok
}

// rejects reports whether an entry of an older list names an endpoint that was withdrawn and has not started
// since. Any other entry removes the endpoint's withdrawal.
func (w *withdrawals) rejects(entry *Endpoint, older bool) bool {
	startedAt, ok := w.startOf(entry.ID)
	if !ok {
		return false
	}
	if older && entry.StartedAt <= startedAt {
		return true
	}
	delete(w.recent, entry.ID)
	delete(w.previous, entry.ID)
	return false
}
