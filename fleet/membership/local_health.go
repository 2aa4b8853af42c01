package membership

import "time"

const (
	maxLocalHealth     = 8 // timeouts grow up to ninefold
	stalledLocalHealth = maxLocalHealth / 2
	refutationWindow   = time.Second // refutations within this window worsen the score only once
)

// localHealth is Lifeguard's local health score. 0 is good; the score rises with each sign
// that this member itself is slow or badly connected.
type localHealth struct {
	score     int
	refutedAt time.Duration // when the score last rose for a refutation
}

func (h *localHealth) worsen()  { h.score = min(h.score+1, maxLocalHealth) }
func (h *localHealth) improve() { h.score = max(h.score-1, 0) }

// stalled records that this process was suspended or starved.
func (h *localHealth) stalled() { h.score = stalledLocalHealth }

// refuted records that this member had to refute: it did not answer a probe in time.
func (h *localHealth) refuted(now time.Duration) {
	if now-h.refutedAt > refutationWindow {
		h.refutedAt = now
		h.worsen()
	}
}

// multiplier returns the factor by which timeouts exceed those at score 0.
func (h *localHealth) multiplier() time.Duration { return time.Duration(1 + h.score) }
