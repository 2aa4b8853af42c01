package membership

import "time"

// viewDigest is a digest of all known records: the XOR of the hashes of their states.
// Members compare their digests to detect differing views.
type viewDigest struct {
	value         uint64
	changedAt     time.Duration
	matchesInARow int // consecutive digests of other members that were equal
}

// toggle adds a state to the digest, or removes it if it is included.
func (d *viewDigest) toggle(now time.Duration, state State) {
	hash := state.hash()
	if hash == 0 {
		return
	}
	d.value ^= hash
	d.changedAt = now
	d.matchesInARow = 0
}

// matches reports whether another member's digest is equal, and counts consecutive matches.
func (d *viewDigest) matches(digest uint64) bool {
	if digest != d.value {
		d.matchesInARow = 0
		return false
	}
	d.matchesInARow++
	return true
}
