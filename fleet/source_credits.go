package fleet

import (
	"hash/maphash"
	"strings"
	"time"
)

// Bounds on the datagrams a second that are decoded, by where they come from.
const (
	maxSourceRate  = 500 // of one source
	maxSourceBurst = 1000

	maxStrangerRate  = 2000 // of all sources that no valid frame came from
	maxStrangerBurst = 4000

	maxMemberRate  = 10_000 // of all sources that valid frames came from
	maxMemberBurst = 20_000

	maxMemberSources = 8192 // that are kept; beyond it any one is dropped, until its next valid frame
	strangerBuckets  = 1024 // that other hosts are divided among
)

// sourceCredits bound the datagrams of each source that are decoded, so that a flood from some sources does not have
// those of others dropped. Members are the sources that a valid frame came from, by address and port. Other ones share
// the credits of a fixed number of buckets, by their host, and one of all together. Where a datagram comes from may be
// forged: a flood that states a member's address and port has that member's datagrams dropped.
type sourceCredits struct {
	members      map[string]*credit
	allMembers   credit
	strangers    [strangerBuckets]credit
	allStrangers credit
	hash         maphash.Seed
}

func newSourceCredits() *sourceCredits {
	return &sourceCredits{members: map[string]*credit{}, hash: maphash.MakeSeed()}
}

// spend reports whether a datagram is within the rate of its source.
func (s *sourceCredits) spend(now time.Time, address string) bool {
	return s.spendOfMember(now, address) || s.spendOfStranger(now, address)
}

// spendOfMember reports whether a datagram is within the rate of the member that it comes from, and of all members.
func (s *sourceCredits) spendOfMember(now time.Time, address string) bool {
	own := s.members[address]
	return own != nil && own.spend(now, maxSourceRate, maxSourceBurst) &&
		s.allMembers.spend(now, maxMemberRate, maxMemberBurst)
}

// spendOfStranger reports whether a datagram is within the rate of the hosts that share a bucket with its source, and
// of all sources that no valid frame came from.
func (s *sourceCredits) spendOfStranger(now time.Time, address string) bool {
	host := address[:max(strings.LastIndexByte(address, ':'), 0)]
	bucket := &s.strangers[maphash.String(s.hash, host)%strangerBuckets]
	return bucket.spend(now, maxSourceRate, maxSourceBurst) &&
		s.allStrangers.spend(now, maxStrangerRate, maxStrangerBurst)
}

// addMember takes note that a valid frame came from a source.
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

// credit accumulates with time up to a burst. Its zero value has the whole burst.
type credit struct {
	available float64
	updatedAt time.Time
}

// spend takes one unit, and reports false if there is none.
func (c *credit) spend(now time.Time, perSecond, burst float64) bool {
	c.available = min(c.available+perSecond*now.Sub(c.updatedAt).Seconds(), burst)
	c.updatedAt = now
	if c.available < 1 {
		return false
	}
	c.available--
	return true
}
