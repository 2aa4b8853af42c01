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

// Limits of a packet.
const (
	maxPacketBytes = 900 // of a datagram's payload
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
	minItemBytes   = 60 // minimum size of any item

	quotaListBytes = 8 // maximum overhead of the packet and the list
)

// Packet is the payload of a datagram between replicas, encoded as CBOR.
type Packet struct {
	Quotas   []quota.Message          `cbor:"1,keyasint,omitempty"`
	Counters []aged[wireCounters]     `cbor:"2,keyasint,omitempty"`
	Evidence []aged[outlier.Evidence] `cbor:"3,keyasint,omitempty"`
}

// packQuotas distributes messages over as many packets as needed.
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

// aged is an item with its age at the time of sending.
type aged[T any] struct {
	AgeMS int64 `cbor:"1,keyasint,omitempty"`
	Item  T     `cbor:"2,keyasint"`
}

// age returns the item's age, at most maxAgeMS. It is negative if the received age is.
func (a *aged[T]) age() time.Duration {
	return time.Duration(min(max(a.AgeMS, -1), maxAgeMS)) * time.Millisecond
}

// wireCounters is the wire format of counter.Update.
type wireCounters struct {
	Name    string       `cbor:"1,keyasint"`
	Epoch   uint64       `cbor:"2,keyasint"`
	Version uint64       `cbor:"3,keyasint"`
	Zone    string       `cbor:"4,keyasint,omitempty"`
	Members int          `cbor:"5,keyasint,omitempty"`
	Counts  []wireCounts `cbor:"6,keyasint,omitempty"`
}

// wireCounts is the wire format of the counts of one key.
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

// newWireCounters returns the wire format of an update and its estimated size. The counts of the last keys, which don't
// fit into one packet, are summed under one overflow key.
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

// keysThatFit returns how many of the first keys of an update fit into a number of bytes, beside the overflow key.
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

// update converts the counters to a counter.Update.
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
