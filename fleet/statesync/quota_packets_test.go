package statesync

import (
	"fmt"
	"math"
	"strings"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"ryerill/fleet/quota"
)

// However many quotas a replica borrows of at once, each packet fits into a datagram, and it gets what it demands.
func TestMessagesAboutManyQuotasFitIntoDatagrams(t *testing.T) {
	const quotas, total, demand = 64, 300.0, 200.0
	c := newCluster(t, 2, 1, 0)
	var limits []quota.Limit
	for i := range quotas {
		name := fmt.Sprintf("a-pool-of-some-name/tenant-%02d", i)
		limits = append(limits, quota.Limit{Name: name, Kind: quota.Rate, Total: total})
	}
	largest := 0
	c.lost = func(payload []byte) bool { // as the host does with what is too large
		largest = max(largest, len(payload))
		return len(payload) > maxPacketBytes
	}
	for i, s := range c.syncers {
		s.Quotas.SetLimits(0, limits)
		s.Quotas.SetReplicaCount(0, len(c.syncers), []string{c.peers[i][0].Name})
	}
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
