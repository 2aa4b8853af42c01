package membership

import "time"

// viewDigest is a digest of all records that are known, which members compare. It
// is the exclusive or of the hashes of their states.
type viewDigest struct {
	value         uint64
	changedAt     time.Duration
	matchesInARow int // members, one after the other, whose digest was the same
}

// toggle removes a state from the digest, or adds it.
func (d *viewDigest) toggle(now time.Duration, state State) {
	hash := state.hash()
	if hash == 0 {
		return
	}
	d.value ^= hash
	d.changedAt = now
	d.matchesInARow = 0
}

// matches compares the digest of another member's view.
func (d *viewDigest) matches(digest uint64) bool {
	if digest != d.value {
		d.matchesInARow = 0
		return false
	}
	d.matchesInARow++
	return true
}
