package membership

import "time"

const (
	maxLocalHealth     = 8 // a member in poor health waits up to nine times as long
	stalledLocalHealth = maxLocalHealth / 2
	refutationWindow   = time.Second // refutations within it worsen the local health only once
)

// localHealth is Lifeguard's local health score: 0 is good. It rises as this member
// finds signs that it is itself slow or badly connected.
type localHealth struct {
	score     int
	refutedAt time.Duration // when the score last rose for a refutation
}

func (h *localHealth) worsen()  { h.score = min(h.score+1, maxLocalHealth) }
func (h *localHealth) improve() { h.score = max(h.score-1, 0) }

// stalled records that this member was stopped or starved.
func (h *localHealth) stalled() { h.score = stalledLocalHealth }

// refuted records that this member had to refute: it did not answer a probe in time.
func (h *localHealth) refuted(now time.Duration) {
	if now-h.refutedAt > refutationWindow {
		h.refutedAt = now
		h.worsen()
	}
}

// multiplier is by how much timeouts are longer than in good health.
func (h *localHealth) multiplier() time.Duration { return time.Duration(1 + h.score) }
