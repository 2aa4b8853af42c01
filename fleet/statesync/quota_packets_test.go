package statesync

import (
	"math"
	"strings"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"ryerill/fleet/quota"
)

// However many quotas a replica borrows of at once, each packet fits into a datagram, and it gets what it demands.
func TestMessagesAboutManyQuotasFitIntoDatagrams(t *testing.T) {
	const quotas, demand = 64, 200.0
	c := newCluster(t, 2, 1, 0)
	largest := 0
	c.lost = func(payload []byte) bool { // as the host does with what is too large
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
		t.Errorf("a packet has %d bytes, and %d are the most", largest, maxPacketBytes)
	}
	for _, limit := range limits {
		if rate := c.syncers[0].Quotas.Rate(c.now, limit.Name); rate < demand {
			t.Errorf("%s: it may spend %v a second of the %v that it demands", limit.Name, rate, demand)
		}
	}
}

// The size by which messages are divided among packets is never less than what they take.
func TestPacketOfTheLargestMessagesFitsIntoADatagram(t *testing.T) {
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
			t.Errorf("%d bytes, %v", len(payload), err)
		}
		sent += len(packet.Quotas)
	}
	if sent != len(messages) {
		t.Errorf("%d of %d messages are sent", sent, len(messages))
	}
}
