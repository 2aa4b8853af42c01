package fleet

import (
	"context"
	"math"
	"time"

	"ryerill/fleet/counter"
	"ryerill/fleet/membership"
	"ryerill/fleet/outlier"
	"ryerill/fleet/placement"
	"ryerill/fleet/quota"
	"ryerill/fleet/statesync"
)

// AttemptResult is the result of one attempt by this replica.
type AttemptResult struct {
	Endpoint        outlier.Endpoint
	Outcome         outlier.Outcome
	RelativeLatency float64
}

// Observations describe the proxy's activity since the previous observations, unless a field
// says otherwise.
type Observations struct {
	Quotas    map[string]float64             // total quotas, in units per second
	Demand    map[string]float64             // requested units of each quota
	Counters  map[counter.Key]counter.Counts // totals since the start
	Attempts  []AttemptResult
	Endpoints map[string][]outlier.Endpoint // current endpoints, by pool
}

// Directives tell the proxy how to act on the shared state.
type Directives struct {
	QuotaFractions map[string]QuotaFraction
	Ejected        map[string][]uint64 // by pool, endpoints that this replica must not use now
}

// QuotaFraction is the fraction of a quota that this replica may spend: Current during ValidFor,
// Fallback afterwards.
type QuotaFraction struct {
	Current, Fallback float64
	ValidFor          time.Duration
}

// Subject is the proxy that the host observes and directs. Its methods must not block for long.
type Subject interface {
	Observe() Observations
	Apply(Directives)
}

// maxFractionAge is the longest validity of a quota fraction without a new directive.
const maxFractionAge = time.Second

// SetSubject sets the proxy to observe and direct. It must be called before Run.
func (f *Fleet) SetSubject(subject Subject) { f.subject = subject }

// stateSyncHost holds the state shared between replicas. Fleet.mu guards it.
type stateSyncHost struct {
	sharing *SharingConfig
	syncer  *statesync.Syncer
}

// newStateSyncHost returns nil if state sharing is disabled.
func (f *Fleet) newStateSyncHost() (*stateSyncHost, error) {
	sharing := f.cfg.Sharing
	if sharing == nil {
		return nil, nil
	}
	epoch := f.list.Self().Epoch
	syncer, err := statesync.New(statesync.Config{
		Name:  f.cfg.Name,
		Zone:  f.cfg.Zone,
		Epoch: epoch,
		Seed:  f.cfg.Seed ^ epoch,
		// Only a replica that announced its departure certainly has no loans outstanding. Without a state file it
		// may be starting for the first time or have lost its disk.
		LostState:      !f.restored.Left,
		Quotas:         sharing.Quotas,
		Counters:       sharing.Counters,
		Evidence:       sharing.Evidence,
		BytesPerSecond: sharing.BytesPerSecond,
	}, f.now())
	if err != nil {
		return nil, err
	}
	return &stateSyncHost{sharing: sharing, syncer: syncer}, nil
}

// record adds the observed demand, counters and attempts.
func (h *stateSyncHost) record(now time.Duration, observed *Observations) {
	for name, units := range observed.Demand {
		h.syncer.Quotas.AddDemand(now, name, units)
	}
	for key, counts := range observed.Counters {
		h.syncer.Counters.Record(now, key, counts)
	}
	for _, attempt := range observed.Attempts {
		h.syncer.Outliers.RecordOutcome(now, attempt.Endpoint, attempt.Outcome, attempt.RelativeLatency)
	}
}

// setLimits sets the total quotas, in units per second.
func (h *stateSyncHost) setLimits(now time.Duration, quotas map[string]float64) {
	var limits []quota.Limit
	for name, total := range quotas {
		limits = append(limits, quota.Limit{Name: name, Kind: quota.Rate, Total: total})
	}
	h.syncer.Quotas.SetLimits(now, limits)
}

// quotaFractions returns this replica's fraction of each quota.
func (h *stateSyncHost) quotaFractions(now time.Duration) map[string]QuotaFraction {
	fractions := map[string]QuotaFraction{}
	for _, status := range h.syncer.Quotas.Status(now) {
		fraction := QuotaFraction{
			Current:  status.Rate / status.Total,
			Fallback: max(status.Guaranteed-status.Lent, 0) / status.Total,
			ValidFor: maxFractionAge,
		}
		for _, loan := range status.Loans {
			if !loan.Lent && loan.ExpiresIn > 0 {
				fraction.ValidFor = min(fraction.ValidFor, loan.ExpiresIn)
			}
		}
		fractions[status.Name] = fraction
	}
	return fractions
}

// ejected returns, by pool, the outlier endpoints except those that this replica should probe now.
func (h *stateSyncHost) ejected(
	now time.Duration, endpoints map[string][]outlier.Endpoint, zones int, tracker *placement.Tracker,
) map[string][]uint64 {
	ejected := map[string][]uint64{}
	clock := time.Duration(time.Now().UnixNano())
	for pool, all := range endpoints {
		position := tracker.Position(pool)
		for _, verdict := range h.syncer.Outliers.Evaluate(now, all, zones) {
			if !outlier.ShouldProbe(verdict.Endpoint, clock, position.Index, position.Of) {
				ejected[pool] = append(ejected[pool], verdict.Endpoint)
			}
		}
	}
	return ejected
}

// runStateSync observes and directs the proxy until ctx ends.
func (f *Fleet) runStateSync(ctx context.Context) {
	ticker := time.NewTicker(statesync.Interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if f.subject == nil {
			continue
		}
		observed := f.subject.Observe()
		f.subject.Apply(f.syncState(&observed))
	}
}

// syncState records the observations, sends due packets to other replicas and returns the
// directives for the proxy.
func (f *Fleet) syncState(observed *Observations) Directives {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.ended || f.departed {
		return Directives{}
	}
	now := f.now()
	host := f.stateSync
	host.setLimits(now, observed.Quotas)
	f.updateQuotaReplicas()
	host.record(now, observed)
	peers, zones := f.peers()
	f.sendStateSync(host.syncer.Tick(now, peers))
	var directives Directives
	if host.sharing.Quotas {
		directives.QuotaFractions = host.quotaFractions(now)
	}
	if host.sharing.Evidence {
		directives.Ejected = host.ejected(now, observed.Endpoints, zones, f.positions.tracker)
	}
	return directives
}

// peers returns the other reachable replicas, and the number of zones of all replicas that may
// be running. Callers must hold mu.
func (f *Fleet) peers() (peers []statesync.Peer, zones int) {
	known := map[string]bool{f.cfg.Zone: true}
	for _, m := range f.list.Members() {
		if m.Self || m.Status == membership.Left || m.Tags == nil {
			continue
		}
		known[m.Tags.Zone] = true
		if m.Status != membership.Dead {
			peers = append(peers, statesync.Peer{Name: m.Name, Zone: m.Tags.Zone})
		}
	}
	return peers, len(known)
}

// updateQuotaReplicas sets the number of replicas that share the quotas. Callers must hold mu.
func (f *Fleet) updateQuotaReplicas() {
	if f.stateSync == nil {
		return
	}
	replicas, confirmed := f.positions.maxQuotaReplicas()
	if !confirmed || f.tags.Phase == membership.Leaving { // a leaving replica grants no new loans
		replicas = 0
	}
	var alive []string
	for _, m := range f.list.Members() {
		if !m.Self && m.Status == membership.Alive {
			alive = append(alive, m.Name)
		}
	}
	f.stateSync.syncer.Quotas.SetReplicaCount(f.now(), replicas, alive)
}

// loansFit reports whether this replica's loans fit within the current division of the quotas.
// Callers must hold mu.
func (f *Fleet) loansFit() bool {
	if f.stateSync == nil {
		return true
	}
	replicas, _ := f.positions.maxQuotaReplicas()
	return f.stateSync.syncer.Quotas.FitsWithin(f.now(), max(replicas, 1))
}

// awaitLoans waits until all loans granted by this replica have ended, because others divide the
// quotas without it once it announces its departure. Until then the state file must not say that
// it has left: if it is killed meanwhile, it must withhold the lent amounts after a restart.
func (f *Fleet) awaitLoans() {
	if f.stateSync == nil {
		return
	}
	const maxWait = quota.Lease * 11 / 10 // leases end by then on the clock of any replica
	for end := time.Now().Add(maxWait); time.Now().Before(end); time.Sleep(statesync.Interval / 2) {
		if f.loansReturned() {
			return
		}
	}
}

func (f *Fleet) loansReturned() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.tags.Phase = membership.Leaving
	f.updateQuotaReplicas()
	return f.abandoned || f.stateSync.syncer.Quotas.FitsWithin(f.now(), math.MaxInt)
}

// expireSharedState discards the shared state of a process that has ended. Callers must hold mu.
func (f *Fleet) expireSharedState(changed *membership.Action) {
	if f.stateSync == nil {
		return
	}
	record := &changed.Record
	switch {
	case record.Status == membership.Left:
		f.stateSync.syncer.ExpireReplica(record.Name, record.Epoch)
	case changed.PreviousStatus != 0 && changed.Reason == membership.ReasonRestarted:
		f.stateSync.syncer.ExpireReplica(record.Name, record.Epoch-1)
	}
}

// sendStateSync sends the packets to their destinations. Callers must hold mu.
func (f *Fleet) sendStateSync(packets []statesync.Outgoing) {
	for _, packet := range packets {
		f.sendToReplica(packet.To, membership.StateSync, packet.Payload)
	}
}

// receiveStateSync handles a state sync packet. Callers must hold mu.
func (f *Fleet) receiveStateSync(message *membership.Message) {
	if f.stateSync != nil && f.fromCurrentProcess(message) {
		f.sendStateSync(f.stateSync.syncer.Receive(f.now(), message.From.Name, message.Payload))
	}
}
