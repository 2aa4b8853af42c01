package statesync

import (
	"cmp"
	"slices"
	"time"

	"ryerill/fleet/counter"
	"ryerill/fleet/outlier"
)

const (
	maxQueuedItems   = 2048 // when full, the last item in the order of compareItems is dropped
	retransmitFactor = 4    // transmissions of an item per decimal digit of the number of replicas
	decimalBase      = 10
)

// item is a queued update of counters or evidence.
type item struct {
	key       itemKey
	validAt   time.Duration // time at which the content was valid
	transmits int           // number of transmissions so far
	urgent    bool
	counters  *wireCounters     // nil for evidence
	evidence  *outlier.Evidence // nil for counters
	size      int               // estimated, in bytes
}

// itemKey identifies the subject of an item. A later item replaces an earlier one with the same key.
type itemKey struct {
	sender   string // replica that counted or reported
	zone     string // for sums over a zone
	endpoint uint64 // for evidence
	evidence bool
}

func newCounterItem(now time.Duration, update counter.Update) item {
	counters, size := newWireCounters(update)
	return item{
		key:      itemKey{sender: update.Name, zone: update.Zone},
		validAt:  now - time.Duration(update.AgeMS)*time.Millisecond,
		counters: counters,
		size:     size,
	}
}

func newEvidenceItem(validAt time.Duration, evidence outlier.Evidence) item {
	return item{
		key:      itemKey{sender: evidence.Reporter, endpoint: evidence.Endpoint, evidence: true},
		validAt:  validAt,
		urgent:   true,
		evidence: &evidence,
		size:     itemBytes + len(evidence.Reporter) + len(evidence.Zone),
	}
}

// concerns reports whether a peer needs the item from a sender in senderZone. A peer gets the counters of single
// replicas of its own zone, and only sums of other zones.
func (i *item) concerns(peer Peer, senderZone string) bool {
	switch {
	case i.counters == nil:
		return true
	case i.counters.Zone == "":
		return peer.Zone == senderZone
	default:
		return peer.Zone != i.counters.Zone
	}
}

// addTo adds the item to a packet.
func (i *item) addTo(packet *Packet, now time.Duration) {
	age := (now - i.validAt).Milliseconds()
	if i.counters != nil {
		packet.Counters = append(packet.Counters, aged[wireCounters]{AgeMS: age, Item: *i.counters})
		return
	}
	packet.Evidence = append(packet.Evidence, aged[outlier.Evidence]{AgeMS: age, Item: *i.evidence})
}

// compareItems orders urgent items first, then items by ascending number of transmissions.
func compareItems(a, b item) int {
	if a.urgent != b.urgent {
		if a.urgent {
			return -1
		}
		return 1
	}
	return cmp.Compare(a.transmits, b.transmits)
}

// queue holds items, ordered by compareItems, until each was sent often enough to reach all replicas.
type queue struct {
	items []item
}

func (q *queue) empty() bool { return len(q.items) == 0 }

// put adds an item, replacing an earlier one with the same key. It goes before items with as many transmissions.
func (q *queue) put(added item) {
	q.items = slices.DeleteFunc(q.items, func(i item) bool { return i.key == added.key })
	if len(q.items) >= maxQueuedItems {
		q.items = q.items[:maxQueuedItems-1]
	}
	index, _ := slices.BinarySearchFunc(q.items, added, compareItems)
	q.items = slices.Insert(q.items, index, added)
}

// dropCounters drops queued counters of a replica from epochs up to the one given.
func (q *queue) dropCounters(name string, epoch uint64) {
	q.items = slices.DeleteFunc(q.items, func(i item) bool {
		return i.counters != nil && i.counters.Name == name && i.counters.Epoch <= epoch
	})
}

// pack returns a packet of the first items that concern a peer and fit, or nil if there are none. It removes items that
// were sent often enough for the number of peers.
func (q *queue) pack(now time.Duration, senderZone string, peer Peer, peers int) *Packet {
	packet := &Packet{}
	remaining := maxPacketBytes
	for i := range q.items {
		candidate := &q.items[i]
		if candidate.size > remaining || !candidate.concerns(peer, senderZone) {
			continue
		}
		remaining -= candidate.size
		candidate.transmits++
		candidate.addTo(packet, now)
		if remaining < minItemBytes {
			break
		}
	}
	if len(packet.Counters) == 0 && len(packet.Evidence) == 0 {
		return nil
	}
	maxSent := retransmitFactor * decimalDigits(peers+1)
	q.items = slices.DeleteFunc(q.items, func(i item) bool { return i.transmits >= maxSent })
	slices.SortStableFunc(q.items, compareItems)
	return packet
}

func decimalDigits(n int) int {
	digits := 0
	for ; n > 0; n /= decimalBase {
		digits++
	}
	return digits
}
