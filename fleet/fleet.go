package fleet

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"ryerill/fleet/codec"
	"ryerill/fleet/membership"
)

// Descriptors is how many file descriptors a host may hold; they are reserved for it.
const Descriptors = 3 + maxInboundConnections + 2

const (
	departureGossip = 700 * time.Millisecond // how long the departure is disseminated before the sockets close
	persistInterval = 30 * time.Second       // between writes of the state file without a change

	// farFuture is later than any tick and earlier than what NextTick returns if none is due.
	farFuture time.Duration = 1 << 62
)

// Fleet is the host of one replica. Its methods are safe for concurrent use.
type Fleet struct {
	cfg        Config
	log        *throttledLogger
	startedAt  time.Time
	transport  *transport
	stateFile  *stateFile
	restored   persistedState // what the state file held at the start
	subject    Subject
	goroutines sync.WaitGroup // all that Run and the events of the fleet start; Run waits for them

	// persisting is held from when the state to persist is taken until it is written, so that no older state replaces a
	// newer one. It is locked before mu.
	persisting sync.Mutex

	mu        sync.Mutex // guards what follows
	list      *membership.List
	actions   []membership.Action // buffer of the latest ones
	tags      membership.Tags
	timer     *time.Timer // of the next tick; nil before Run
	positions positions
	persisted persistedSet
	stateSync *stateSyncHost // nil if no state is shared
	rollouts  *rolloutHost   // nil if this replica takes no part in rollouts; set before Run
	abandoned bool           // another process continues under this name
	departed  bool           // the end has begun: nothing new is announced
	ended     bool           // nothing is handled any more
}

// New opens the sockets of a host. Nothing is sent before Run.
func New(cfg Config, log *slog.Logger, publish PositionsFunc) (*Fleet, error) {
	limited := newThrottledLogger(log)
	transport, err := newTransport(&cfg, limited)
	if err != nil {
		return nil, err
	}
	if cfg.Advertise == "" {
		cfg.Advertise = transport.listenAddress().String()
	}
	f := &Fleet{
		cfg:       cfg,
		log:       limited,
		startedAt: time.Now(),
		transport: transport,
		stateFile: &stateFile{path: cfg.StateFile},
		tags: membership.Tags{
			Address:        cfg.Advertise,
			Zone:           cfg.Zone,
			Tier:           cfg.Tier,
			Pools:          cfg.Pools,
			ProgramVersion: cfg.ProgramVersion,
			SettingsHash:   cfg.SettingsHash,
			Phase:          membership.Starting,
			MinLevel:       codec.MinLevel,
			MaxLevel:       codec.MaxLevel,
			Unknown:        codec.UnknownTags,
		},
	}
	f.restored = f.restoreState()
	f.list = f.newList()
	f.positions = newPositions(&cfg, &f.restored, publish)
	f.stateSync, err = f.newStateSyncHost()
	if err != nil {
		transport.close()
		return nil, err
	}
	return f, nil
}

// newList returns the membership list with the members that were restored.
func (f *Fleet) newList() *membership.List {
	list := membership.New(membership.Config{
		Name:                 f.cfg.Name,
		Epoch:                max(drawEpoch(f.startedAt), f.restored.Epoch+1),
		Seed:                 f.cfg.Seed ^ uint64(f.startedAt.UnixNano()),
		Tags:                 f.tags,
		Seeds:                f.cfg.Seeds,
		ProbeInterval:        f.cfg.Period,
		GossipBytesPerSecond: f.cfg.BytesPerSecond,
	})
	list.Handle(0, membership.Event{Kind: membership.Restore, Records: f.restored.Members}, nil)
	return list
}

// epochRandomBits of an epoch are random: two processes of a copied configuration may
// start in one millisecond and must still be distinguished.
const epochRandomBits = 16

func drawEpoch(now time.Time) uint64 {
	return uint64(now.UnixMilli())<<epochRandomBits | rand.Uint64()>>(64-epochRandomBits)
}

// Address returns the address where the host listens.
func (f *Fleet) Address() string { return f.transport.udp.LocalAddr().String() }

// Close closes a host that never ran.
func (f *Fleet) Close() { f.transport.close() }

// now returns the time since the start, which the pure packages count in.
func (f *Fleet) now() time.Duration { return time.Since(f.startedAt) }

// Run keeps the replica in the fleet until ctx ends. Then it announces that the replica
// leaves, and returns once that is disseminated and all goroutines have ended.
func (f *Fleet) Run(ctx context.Context) {
	f.start()
	f.log.Info("fleet joined", "fleet", f.cfg.Fleet, "replica", f.cfg.Name, "address", f.Address(),
		"advertised", f.cfg.Advertise, "replica_counts", f.cfg.ReplicaCounts)
	if f.stateSync != nil {
		f.goroutines.Go(func() { f.runStateSync(ctx) })
	}
	if f.rollouts != nil {
		f.goroutines.Go(func() { f.runRollouts(ctx) })
	}
	f.goroutines.Go(func() { f.transport.readDatagrams(f.receive) })
	f.goroutines.Go(f.acceptConnections)
	f.runPersistence(ctx)
	f.awaitLoans()
	f.depart()
	f.end()
	f.goroutines.Wait()
}

// start passes the first events to the membership list.
func (f *Fleet) start() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.timer = time.AfterFunc(time.Hour, f.tick) // set to the first tick by handle
	f.handle(membership.Event{Kind: membership.SetTags, Tags: f.tags})
	f.handle(membership.Event{Kind: membership.Start})
}

// depart announces that this replica leaves, unless another process continues under its
// name, and returns once that is disseminated. Its loans have ended.
func (f *Fleet) depart() {
	f.mu.Lock()
	f.departed = true
	f.mu.Unlock()
	// Before others divide quotas without this replica: one that restarts after that must not count on its fraction.
	if !f.persistDeparture() {
		f.log.Error("fleet departure not announced, as it can't be written", "file", f.stateFile.path)
		return
	}
	if f.announceDeparture() {
		time.Sleep(departureGossip)
	}
}

// announceDeparture announces that this replica leaves, and reports false if another process continues under its name.
func (f *Fleet) announceDeparture() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.abandoned {
		return false
	}
	f.handle(membership.Event{Kind: membership.Leave})
	return true
}

// end stops the timer and closes the sockets.
func (f *Fleet) end() {
	f.mu.Lock()
	f.ended = true
	f.timer.Stop()
	f.mu.Unlock()
	f.transport.close()
}

// Announce changes the phase of this replica and the hash of its settings; an empty
// hash leaves the previous one.
func (f *Fleet) Announce(phase membership.Phase, settingsHash string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if settingsHash == "" {
		settingsHash = f.tags.SettingsHash
	}
	if f.tags.Phase == phase && f.tags.SettingsHash == settingsHash {
		return
	}
	f.tags.Phase = phase
	f.tags.SettingsHash = settingsHash
	f.announceTags()
}

// Abandon has Run end without an announcement: another process continues under this name.
func (f *Fleet) Abandon() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.abandoned = true
}

// SetPools replaces the pools, and the configured number of replicas of each, after a
// reload.
func (f *Fleet) SetPools(pools []string, replicaCounts map[string]int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.positions.tracker.SetMinimums(replicaCounts)
	if slices.Equal(f.tags.Pools, pools) {
		return
	}
	f.tags.Pools = pools
	f.announceTags()
}

// announceTags publishes the tags, if the host runs. The mutex is held.
func (f *Fleet) announceTags() {
	if f.timer != nil && !f.departed {
		f.handle(membership.Event{Kind: membership.SetTags, Tags: f.tags})
	}
}

// SetKeys replaces the keys while the fleet runs. After an error the previous ones stay.
func (f *Fleet) SetKeys(keys [][]byte) error { return f.transport.setKeys(keys) }

// ErrNotDead is returned by Forget for a member that can't be forgotten.
var ErrNotDead = errors.New("no member of this name is held for dead")

// Forget declares a dead member to be gone for good, on behalf of an operator. The error
// is ErrNotDead if there is no dead member of this name.
func (f *Fleet) Forget(name string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if r, known := f.list.Find(name); !known || r.Status != membership.Dead {
		return fmt.Errorf("%q: %w", name, ErrNotDead)
	}
	f.handle(membership.Event{Kind: membership.Forget, Name: name})
	return nil
}
