package statesync

import (
	"math"
	"strings"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"ryerill/fleet/quota"
)

// A replica that borrows of many quotas at once sends only packets that fit into a datagram, and its demand is granted.
func TestManyQuotaMessagesFitIntoDatagrams(t *testing.T) {
	const quotas, demand = 64, 200.0
	c := newCluster(t, 2, 1, 0)
	largest := 0
	c.lost = func(payload []byte) bool { // the host drops packets that are too large
		largest = max(largest, len(payload))
		return len(payload) > maxPacketBytes
	}
	limits := shareQuotas(c, quotas)
	c.play(5*time.Second, func(i int, s *Syncer) {
		if i == 0 {
			for _, limit := range limits {
				s.Quotas.AddDemand(c.now, limit.Name, demand*Interval.Seconds())
			}
		}
	})
	if largest > maxPacketBytes {
		t.Errorf("got a packet of %d bytes, want at most %d", largest, maxPacketBytes)
	}
	for _, limit := range limits {
		if rate := c.syncers[0].Quotas.Rate(c.now, limit.Name); rate < demand {
			t.Errorf("quota %s: got rate %v, want at least %v", limit.Name, rate, demand)
		}
	}
}

// The size estimate that packQuotas uses is never below the encoded size.
func TestPacketOfLargestMessagesFitsIntoDatagram(t *testing.T) {
	long := strings.Repeat("x", 64)
	largest := quota.Message{
		Grant: true, Return: true, From: long, Quota: long, Amount: math.Pi,
		Epoch: math.MaxUint64, Renews: math.MaxUint64,
		Request: quota.RequestID{Replica: long, Epoch: math.MaxUint64, Seq: math.MaxUint64},
	}
	messages := []quota.Message{largest, largest, largest, largest, largest}
	sent := 0
	for _, packet := range packQuotas(messages) {
		payload, err := cbor.Marshal(packet)
		if err != nil || len(payload) > maxPacketBytes {
			t.Errorf("got a packet of %d bytes and error %v, want at most maxPacketBytes and no error", len(payload), err)
		}
		sent += len(packet.Quotas)
	}
	if sent != len(messages) {
		t.Errorf("got %d messages in packets, want %d", sent, len(messages))
	}
}
