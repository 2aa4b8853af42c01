package fleet

import (
	"hash/maphash"
	"strings"
	"time"
)

// Limits on decoded datagrams, in datagrams per second, and on the sources tracked. A source is verified once a valid
// frame has arrived from it.
const (
	maxSourceRate  = 500 // per source
	maxSourceBurst = 1000

	maxUnverifiedRate  = 2000 // all unverified sources together
	maxUnverifiedBurst = 4000

	maxMemberRate  = 10_000 // all verified sources together
	maxMemberBurst = 20_000

	maxMemberSources  = 8192 // verified sources kept; beyond that any one is evicted until its next valid frame
	unverifiedBuckets = 1024 // buckets shared by the hosts of unverified sources
)

// sourceCredits limits the rate of decoded datagrams per source, so that a flood from some sources does not cause
// datagrams of others to be dropped. Members are verified sources, by address and port. Unverified sources share one of
// a fixed number of buckets, chosen by host, and one credit for all of them. Source addresses can be forged: a flood
// with a member's address and port causes that member's datagrams to be dropped.
type sourceCredits struct {
	members       map[string]*credit
	allMembers    credit
	unverified    [unverifiedBuckets]credit
	allUnverified credit
	hashSeed      maphash.Seed
}

func newSourceCredits() *sourceCredits {
	return &sourceCredits{members: map[string]*credit{}, hashSeed: maphash.MakeSeed()}
}

// spend takes the credit for one datagram and reports whether the datagram is within the limits.
func (s *sourceCredits) spend(now time.Time, address string) bool {
	return s.spendMember(now, address) || s.spendUnverified(now, address)
}

// spendMember reports whether a datagram is within the limits of its member and of all members.
func (s *sourceCredits) spendMember(now time.Time, address string) bool {
	own := s.members[address]
	return own != nil && own.spend(now, maxSourceRate, maxSourceBurst) &&
		s.allMembers.spend(now, maxMemberRate, maxMemberBurst)
}

// spendUnverified reports whether a datagram is within the limits of its host's bucket and of all unverified sources.
func (s *sourceCredits) spendUnverified(now time.Time, address string) bool {
	host := address[:max(strings.LastIndexByte(address, ':'), 0)]
	bucket := &s.unverified[maphash.String(s.hashSeed, host)%unverifiedBuckets]
	return bucket.spend(now, maxSourceRate, maxSourceBurst) &&
		s.allUnverified.spend(now, maxUnverifiedRate, maxUnverifiedBurst)
}

// addMember records that a valid frame arrived from a source.
func (s *sourceCredits) addMember(address string) {
	if s.members[address] != nil {
		return
	}
	for known := range s.members {
		if len(s.members) < maxMemberSources {
			break
		}
		delete(s.members, known)
	}
	s.members[address] = &credit{}
}

// credit is a token bucket. Its zero value is full.
type credit struct {
	available float64
	updatedAt time.Time
}

// spend takes one token, and returns false if none is available.
func (c *credit) spend(now time.Time, perSecond, burst float64) bool {
	c.available = min(c.available+perSecond*now.Sub(c.updatedAt).Seconds(), burst)
	c.updatedAt = now
	if c.available < 1 {
		return false
	}
	c.available--
	return true
}
