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

// A borrower of many quotas and its lenders stay within the byte budget, and all replicas together never may spend more
// than the total. If the budget does not suffice for all loans, each quota still gets some.
func TestQuotaMessagesStayWithinByteBudget(t *testing.T) {
	const replicas, quotas = 12, 64
	for _, tc := range []struct {
		bytesPerSecond int
		wanted         float64 // minimum fraction of each quota's total for the busy replica
	}{{DefaultBytesPerSecond, 0.6}, {400, 1.5 / replicas}} {
		t.Run(fmt.Sprint(tc.bytesPerSecond), func(t *testing.T) {
			c := newCluster(t, replicas, 1, tc.bytesPerSecond)
			limits := shareQuotas(c, quotas)
			span := 60 * time.Second
			served := make([]float64, quotas)
			c.play(span, func(i int, s *Syncer) {
				if i != 0 {
					return
				}
				for k, limit := range limits {
					s.Quotas.AddDemand(c.now, limit.Name, limit.Total*0.6*Interval.Seconds())
					sum := 0.0
					for _, each := range c.syncers {
						sum += each.Quotas.Rate(c.now, limit.Name)
					}
					if sum > limit.Total*(1+1e-9) {
						t.Errorf("at %v, quota %s: got a combined rate of %v, want at most %v", c.now, limit.Name, sum, limit.Total)
					}
					if c.now >= span/2 {
						served[k] += s.Quotas.Rate(c.now, limit.Name) / limit.Total / float64(span/2/Interval)
					}
				}
			})
			most := float64(tc.bytesPerSecond) * (1.1 + QuotaBudgetFactor*(1+1/span.Seconds()))
			for i, s := range c.syncers {
				if rate := float64(s.Stats.BytesOut) / span.Seconds(); rate > most {
					t.Errorf("replica %d: got %.0f bytes/s sent, want at most %.0f", i, rate, most)
				}
			}
			for k, fraction := range served {
				if fraction < tc.wanted {
					t.Errorf("quota %s: got an average fraction of %.3f of the total, want at least %.3f", limits[k].Name, fraction, tc.wanted)
				}
			}
			t.Logf("busy replica: %.0f bytes/s sent", float64(c.syncers[0].Stats.BytesOut)/span.Seconds())
		})
	}
}

// MaxEncodedBytes equals the encoded size of a packet with one message whose amount has the longest encoding.
func TestMaxEncodedBytesOfQuotaMessages(t *testing.T) {
	for _, length := range []int{0, 23, 24, 255, 256} {
		for _, number := range []uint64{0, 23, 24, 255, 256, math.MaxUint16 + 1, math.MaxUint32 + 1, math.MaxUint64} {
			name := strings.Repeat("x", length)
			message := quota.Message{
				From: name, Quota: name, Amount: math.Pi, Epoch: number, Renews: number,
				Request: quota.RequestID{Replica: name, Epoch: number, Seq: number},
			}
			encoded, err := cbor.Marshal(Packet{Quotas: []quota.Message{message}})
			if size := message.MaxEncodedBytes(); err != nil || size != len(encoded) {
				t.Errorf("names of %d bytes, numbers of %d: got %d bytes encoded, want %d (error %v)", length, number, len(encoded), size, err)
			}
		}
	}
}
