package statesync

import (
	"cmp"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"

	"ryerill/fleet/counter"
	"ryerill/fleet/outlier"
	"ryerill/fleet/quota"
)

// Bounds of a packet.
const (
	maxPacketBytes = 900 // of a datagram that are for the packet
	maxAgeMS       = 1e9
	maxElements    = 4096 // of an array
	maxMapPairs    = 64
	maxNesting     = 8
)

// Estimated encoded sizes in bytes, without the names.
const (
	itemBytes   = 48
	countsBytes = 34

	commonKeyBytes = countsBytes + 16
	minItemBytes   = 60 // an item takes at least so much

	quotaListBytes = 8 // of the packet and of the list, at most
)

// Packet is what one replica sends another, encoded as CBOR.
type Packet struct {
	Quotas   []quota.Message          `cbor:"1,keyasint,omitempty"`
	Counters []aged[wireCounters]     `cbor:"2,keyasint,omitempty"`
	Evidence []aged[outlier.Evidence] `cbor:"3,keyasint,omitempty"`
}

// packQuotas divides messages among as many packets as they need.
func packQuotas(messages []quota.Message) (packets []*Packet) {
	remaining := 0
	for _, message := range messages {
		size := message.MaxEncodedBytes()
		if len(packets) == 0 || size > remaining {
			packets = append(packets, &Packet{})
			remaining = maxPacketBytes - quotaListBytes
		}
		packet := packets[len(packets)-1]
		packet.Quotas = append(packet.Quotas, message)
		remaining -= size
	}
	return packets
}

// aged is an item with the age that it had when it was sent.
type aged[T any] struct {
	AgeMS int64 `cbor:"1,keyasint,omitempty"`
	Item  T     `cbor:"2,keyasint"`
}

// age is the item's age; negative if what was received was.
func (a *aged[T]) age() time.Duration {
	return time.Duration(min(max(a.AgeMS, -1), maxAgeMS)) * time.Millisecond
}

// wireCounters is a counter.Update as it is sent.
type wireCounters struct {
	Name    string       `cbor:"1,keyasint"`
	Epoch   uint64       `cbor:"2,keyasint"`
	Version uint64       `cbor:"3,keyasint"`
	Zone    string       `cbor:"4,keyasint,omitempty"`
	Members int          `cbor:"5,keyasint,omitempty"`
	Counts  []wireCounts `cbor:"6,keyasint,omitempty"`
}

// wireCounts are the counts of one key as they are sent.
type wireCounts struct {
	Pool     string `cbor:"1,keyasint,omitempty"`
	Class    string `cbor:"2,keyasint,omitempty"`
	Tenant   string `cbor:"3,keyasint,omitempty"`
	Arrivals uint64 `cbor:"4,keyasint,omitempty"`
	Served   uint64 `cbor:"5,keyasint,omitempty"`
	Refused  uint64 `cbor:"6,keyasint,omitempty"`
	Failed   uint64 `cbor:"7,keyasint,omitempty"`
	InFlight int64  `cbor:"8,keyasint,omitempty"`
}

func newDecoder() (cbor.DecMode, error) {
	return cbor.DecOptions{
		MaxArrayElements: maxElements,
		MaxMapPairs:      maxMapPairs,
		MaxNestedLevels:  maxNesting,
	}.DecMode()
}

// newWireCounters returns an update as it is sent and its estimated size. The counts of keys that don't fit into one
// packet, the last ones, are under one common key.
func newWireCounters(update counter.Update) (counters *wireCounters, size int) {
	counters = &wireCounters{
		Name:    update.Name,
		Epoch:   update.Epoch,
		Version: update.Version,
		Zone:    update.Zone,
		Members: update.Members,
	}
	size = itemBytes + len(update.Name) + len(update.Zone)
	update.Combine(keysThatFit(&update, maxPacketBytes-size))
	for key, counts := range update.Counts {
		wire := wireCounts{
			Pool:     key.Pool,
			Class:    key.Class,
			Tenant:   key.Tenant,
			Arrivals: counts.Arrivals,
			Served:   counts.Served,
			Refused:  counts.Refused,
			Failed:   counts.Failed,
			InFlight: counts.InFlight,
		}
		counters.Counts = append(counters.Counts, wire)
		size += wire.size()
	}
	slices.SortFunc(counters.Counts, func(a, b wireCounts) int {
		return cmp.Or(cmp.Compare(a.Pool, b.Pool), cmp.Compare(a.Class, b.Class), cmp.Compare(a.Tenant, b.Tenant))
	})
	return counters, size
}

// keysThatFit returns how many keys of an update, the first ones, fit into a number of bytes beside the common one.
func keysThatFit(update *counter.Update, bytes int) int {
	bytes -= commonKeyBytes
	keys := update.Keys()
	for i, key := range keys {
		wire := wireCounts{Pool: key.Pool, Class: key.Class, Tenant: key.Tenant}
		bytes -= wire.size()
		if bytes < 0 {
			return i
		}
	}
	return len(keys)
}

func (w *wireCounts) size() int { return countsBytes + len(w.Pool) + len(w.Class) + len(w.Tenant) }

// update returns the counters as package counter takes them.
func (w *wireCounters) update(ageMS int64) counter.Update {
	update := counter.Update{
		Name:    w.Name,
		Epoch:   w.Epoch,
		Version: w.Version,
		Zone:    w.Zone,
		Members: w.Members,
		AgeMS:   ageMS,
		Counts:  make(map[counter.Key]counter.Counts, len(w.Counts)),
	}
	for _, wire := range w.Counts {
		key := counter.Key{Pool: wire.Pool, Class: wire.Class, Tenant: wire.Tenant}
		update.Counts[key] = counter.Counts{
			Arrivals: wire.Arrivals,
			Served:   wire.Served,
			Refused:  wire.Refused,
			Failed:   wire.Failed,
			InFlight: wire.InFlight,
		}
	}
	return update
}
