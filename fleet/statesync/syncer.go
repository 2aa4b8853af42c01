// Package statesync spreads the state that replicas share (quota messages, counters and evidence on endpoints) by
// anti-entropy within a byte budget: urgent and new items go first, and differences are sent rather than whole tables.
// It does no I/O and reads no clock: the host passes in events with their time, and sends the packets returned.
package statesync

import (
	"maps"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"

	"ryerill/fleet/counter"
	"ryerill/fleet/outlier"
	"ryerill/fleet/quota"
	"ryerill/internal/seedrand"
)

const (
	// Interval is the time between ticks.
	Interval = 200 * time.Millisecond
	// DefaultBytesPerSecond is the default limit of the average bytes per second of counters and evidence that a
	// replica sends.
	DefaultBytesPerSecond = 1500
	// QuotaBudgetFactor is the ratio of the byte budget of quota messages to that of counters and evidence.
	QuotaBudgetFactor = 16

	fanout                = 3 // peers that receive queued items at each tick
	evidenceInterval      = 200 * time.Millisecond
	minCounterInterval    = time.Second
	zoneSumInterval       = 2 * time.Second
	counterBudgetFraction = 0.5 // maximum for counters, which would use the whole budget in a large fleet
	quotaBudgetFraction   = 0.5 // of the byte budget, the maximum that quota messages take
)

// Config identifies a replica and selects the state that it shares.
type Config struct {
	Name           string
	Zone           string
	Epoch          uint64 // of this process
	Seed           uint64 // of the random choice of peers
	LostState      bool   // this replica restarted without its record of quota lent
	Quotas         bool   // whether quotas are shared
	Counters       bool   // whether counters are shared
	Evidence       bool   // whether evidence on endpoints is shared
	BytesPerSecond int    // of counters and evidence; 0 is DefaultBytesPerSecond
}

// Peer is another replica that is alive.
type Peer struct {
	Name string
	Zone string
}

// Outgoing is an encoded packet for a peer.
type Outgoing struct {
	To      string
	Payload []byte
}

// Stats count packets since the start.
type Stats struct {
	PacketsIn  uint64 `json:"PacketsIn"`
	PacketsOut uint64 `json:"PacketsOut"`
	BytesIn    uint64 `json:"BytesIn"`
	BytesOut   uint64 `json:"BytesOut"`
	Invalid    uint64 `json:"Bad"`    // packets that couldn't be decoded
	Unsent     uint64 `json:"Unsent"` // packets that couldn't be encoded
}

// Syncer synchronizes the shared state of one replica. It is not safe for concurrent use.
type Syncer struct {
	// Quotas, Counters and Outliers hold the shared state. The host may use them between calls.
	Quotas   *quota.Manager
	Counters *counter.Set
	Outliers *outlier.Detector
	// Stats count packets.
	Stats Stats

	config Config
	random seedrand.Source
	decode cbor.DecMode
	now    time.Duration
	peers  []Peer
	queue  queue
	budget byteBudget

	nextCountersAt time.Duration
	nextZoneSumAt  time.Duration
	nextEvidenceAt time.Duration
}

// New returns the Syncer of a replica.
func New(config Config, now time.Duration) (*Syncer, error) {
	if config.BytesPerSecond <= 0 {
		config.BytesPerSecond = DefaultBytesPerSecond
	}
	decode, err := newDecoder()
	if err != nil {
		return nil, err
	}
	quotas := quota.New(config.Name, config.Epoch, config.Seed, config.LostState, now)
	quotas.SetByteBudget(now, QuotaBudgetFactor*float64(config.BytesPerSecond))
	return &Syncer{
		Quotas:   quotas,
		Counters: counter.New(config.Name, config.Zone, config.Epoch),
		Outliers: outlier.New(config.Name, config.Zone, config.Epoch),
		config:   config,
		random:   seedrand.Source(config.Seed),
		decode:   decode,
		now:      now,
		budget:   byteBudget{perSecond: float64(config.BytesPerSecond), updatedAt: now},
	}, nil
}

// Tick returns the packets to send to peers. Quota messages go to their receivers, queued items to a few random peers.
func (s *Syncer) Tick(now time.Duration, peers []Peer) []Outgoing {
	s.advance(now)
	s.peers = peers
	s.budget.refill(s.now)
	quotaMessages := s.quotaMessages()
	s.queueCounters()
	s.queueEvidence()

	var out []Outgoing
	for _, to := range slices.Sorted(maps.Keys(quotaMessages)) {
		out = s.sendQuotas(out, to, quotaMessages[to])
	}
	for range min(fanout, len(peers)) {
		if s.queue.empty() || s.budget.exhausted() {
			break
		}
		peer := peers[s.random.Uint64()%uint64(len(peers))]
		if packet := s.queue.pack(s.now, s.config.Zone, peer, len(peers)); packet != nil {
			out = s.sendQueued(out, peer.Name, packet)
		}
	}
	return out
}

// Receive processes a packet from a peer and returns the answers.
func (s *Syncer) Receive(now time.Duration, from string, payload []byte) []Outgoing {
	s.advance(now)
	s.Stats.PacketsIn++
	s.Stats.BytesIn += uint64(len(payload))
	var packet Packet
	if err := s.decode.Unmarshal(payload, &packet); err != nil {
		s.Stats.Invalid++
		return nil
	}
	var out []Outgoing
	if s.config.Quotas {
		out = s.receiveQuotas(from, packet.Quotas)
	}
	if s.config.Counters {
		for i := range packet.Counters {
			s.receiveCounters(&packet.Counters[i])
		}
	}
	if s.config.Evidence {
		for i := range packet.Evidence {
			s.receiveEvidence(&packet.Evidence[i])
		}
	}
	return out
}

// ExpireReplica drops the evidence of a replica that left or restarted, and its counts in epochs up to the one given.
func (s *Syncer) ExpireReplica(name string, epoch uint64) {
	s.Counters.Expire(name, epoch)
	s.Outliers.ForgetReporter(name)
	s.queue.dropCounters(name, epoch)
}

func (s *Syncer) advance(now time.Duration) { s.now = max(s.now, now) }

// quotaMessages returns the quota messages that are due, by receiver.
func (s *Syncer) quotaMessages() map[string][]quota.Message {
	messages := map[string][]quota.Message{}
	if !s.config.Quotas {
		return messages
	}
	for _, action := range s.Quotas.Tick(s.now, nil) {
		messages[action.To] = append(messages[action.To], action.Message)
	}
	return messages
}

// queueCounters queues this replica's counters, and the sums of its zone if it is the zone's sender. The interval grows
// with the zone, because the counters of all its replicas share the budget.
func (s *Syncer) queueCounters() {
	if !s.config.Counters {
		return
	}
	var zonePeers []string
	sendsForZone := true
	for _, peer := range s.peers {
		if peer.Zone == s.config.Zone {
			zonePeers = append(zonePeers, peer.Name)
			sendsForZone = sendsForZone && s.config.Name < peer.Name
		}
	}
	if s.now >= s.nextCountersAt {
		item := newCounterItem(s.now, s.Counters.LocalUpdate(s.now))
		bytesPerSecond := counterBudgetFraction * float64(s.config.BytesPerSecond)
		interval := time.Duration(float64(len(zonePeers)*item.size) / bytesPerSecond * float64(time.Second))
		s.nextCountersAt = s.now + max(interval, minCounterInterval)
		s.queue.put(item)
	}
	otherZones := len(zonePeers) < len(s.peers)
	if sendsForZone && otherZones && s.now >= s.nextZoneSumAt {
		s.nextZoneSumAt = s.now + zoneSumInterval
		s.queue.put(newCounterItem(s.now, s.Counters.ZoneUpdate(s.now, zonePeers)))
	}
}

func (s *Syncer) queueEvidence() {
	if !s.config.Evidence || s.now < s.nextEvidenceAt {
		return
	}
	s.nextEvidenceAt = s.now + evidenceInterval
	for _, evidence := range s.Outliers.PendingEvidence(s.now) {
		s.queue.put(newEvidenceItem(s.now, evidence))
	}
}

// receiveQuotas handles quota messages and returns the answers to their sender.
func (s *Syncer) receiveQuotas(from string, messages []quota.Message) []Outgoing {
	var answers []quota.Message
	for _, message := range messages {
		for _, action := range s.Quotas.Handle(s.now, from, message, nil) {
			if action.To == from {
				answers = append(answers, action.Message)
			}
		}
	}
	return s.sendQuotas(nil, from, answers)
}

// receiveCounters merges counters, and queues them for forwarding if they are new.
func (s *Syncer) receiveCounters(received *aged[wireCounters]) {
	update := received.Item.update(received.AgeMS)
	if s.Counters.Merge(s.now, update) {
		item := newCounterItem(s.now, update)
		item.transmits = 1 // transmission by the sender
		s.queue.put(item)
	}
}

// receiveEvidence merges evidence, and queues it for forwarding if it is new and few reporters are known.
func (s *Syncer) receiveEvidence(received *aged[outlier.Evidence]) {
	evidence := received.Item
	age := received.age()
	if !s.Outliers.Merge(s.now, evidence, age) {
		return
	}
	if s.Outliers.ReporterCount(evidence.Endpoint) > outlier.MaxForwardedReporters {
		return
	}
	item := newEvidenceItem(s.now-age, evidence)
	item.transmits = 1 // transmission by the sender
	s.queue.put(item)
}

// sendQuotas encodes quota messages and appends the packets to out.
func (s *Syncer) sendQuotas(out []Outgoing, to string, messages []quota.Message) []Outgoing {
	for _, packet := range packQuotas(messages) {
		var size int
		out, size = s.send(out, to, packet)
		s.budget.spendOnQuotas(size)
	}
	return out
}

// sendQueued encodes a packet of queued items and appends it to out.
func (s *Syncer) sendQueued(out []Outgoing, to string, packet *Packet) []Outgoing {
	out, size := s.send(out, to, packet)
	s.budget.spend(size)
	return out
}

// send encodes a packet and appends it to out. It also returns the encoded size.
func (s *Syncer) send(out []Outgoing, to string, packet *Packet) (all []Outgoing, size int) {
	payload, err := cbor.Marshal(packet)
	if err != nil {
		s.Stats.Unsent++
		return out, 0
	}
	s.Stats.PacketsOut++
	s.Stats.BytesOut += uint64(len(payload))
	return append(out, Outgoing{To: to, Payload: payload}), len(payload)
}

// byteBudget limits the average bytes per second sent. Quota messages have a budget of their own in package quota. They
// take at most a part of this one, as queued items need the rest.
type byteBudget struct {
	perSecond float64
	available float64
	forQuotas float64 // part of available that quota messages may take
	updatedAt time.Duration
}

const budgetBurstSeconds = 4 // time for which unused budget accumulates

func (b *byteBudget) refill(now time.Duration) {
	added := b.perSecond * (now - b.updatedAt).Seconds()
	burst := budgetBurstSeconds * b.perSecond
	b.available = min(b.available+added, burst)
	b.forQuotas = min(b.forQuotas+quotaBudgetFraction*added, quotaBudgetFraction*burst)
	b.updatedAt = now
}

func (b *byteBudget) spendOnQuotas(bytes int) {
	taken := min(float64(bytes), b.forQuotas)
	b.forQuotas -= taken
	b.available -= taken
}

func (b *byteBudget) spend(bytes int) { b.available -= float64(bytes) }

func (b *byteBudget) exhausted() bool { return b.available <= 0 }
