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

// Descriptors is the maximum number of file descriptors of a host. The proxy reserves them.
const Descriptors = 3 + maxInboundConnections + 2

const (
	departureGossip = 700 * time.Millisecond // time for gossip to spread the departure before the sockets close
	persistInterval = 30 * time.Second       // between writes of an unchanged state file

	// farFuture is later than any scheduled tick and earlier than NextTick's value for "no tick scheduled".
	farFuture time.Duration = 1 << 62
)

// Fleet is the host of one replica. Its methods are safe for concurrent use.
type Fleet struct {
	cfg        Config
	log        *throttledLogger
	startedAt  time.Time
	transport  *transport
	stateFile  *stateFile
	restored   persistedState // contents of the state file at the start
	subject    Subject
	goroutines sync.WaitGroup // goroutines of this host; Run waits for them

	// persisting serializes taking a snapshot of the state and writing it, so that an older state never overwrites a
	// newer one. Lock it before mu.
	persisting sync.Mutex

	mu        sync.Mutex // guards the fields below
	list      *membership.List
	actions   []membership.Action // reused buffer
	tags      membership.Tags
	timer     *time.Timer // fires at the next tick; nil before Run
	positions positions
	persisted persistedSet
	stateSync *stateSyncHost // nil if no state is shared
	rollouts  *rolloutHost   // nil if this replica takes no part in rollouts; set before Run
	abandoned bool           // another process has taken over this name
	departed  bool           // shutdown has begun: no further announcements
	ended     bool           // events are ignored
}

// New opens the sockets of a host. The host sends nothing before Run.
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

// newList returns a membership list with the restored members.
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

// epochRandomBits is the number of random low bits of an epoch. They distinguish two processes
// with a copied configuration that start in the same millisecond.
const epochRandomBits = 16

func drawEpoch(now time.Time) uint64 {
	return uint64(now.UnixMilli())<<epochRandomBits | rand.Uint64()>>(64-epochRandomBits)
}

// Address returns the listen address.
func (f *Fleet) Address() string { return f.transport.udp.LocalAddr().String() }

// Close closes a host that never ran.
func (f *Fleet) Close() { f.transport.close() }

// now returns the time since the start, the clock of the pure packages.
func (f *Fleet) now() time.Duration { return time.Since(f.startedAt) }

// Run keeps the replica in the fleet until ctx ends. Then it announces the departure, and
// returns after the gossip has had time to spread and all goroutines have ended.
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
	f.timer = time.AfterFunc(time.Hour, f.tick) // handle resets it to the first tick
	f.handle(membership.Event{Kind: membership.SetTags, Tags: f.tags})
	f.handle(membership.Event{Kind: membership.Start})
}

// depart persists and announces the departure, and waits for the gossip to spread. It announces
// nothing if another process has taken over the name. All loans must have ended.
func (f *Fleet) depart() {
	f.mu.Lock()
	f.departed = true
	f.mu.Unlock()
	// Persist first: after the announcement others divide quotas without this replica, and a restart must not
	// restore its quota fraction.
	if !f.persistDeparture() {
		f.log.Error("fleet departure not announced: state file not writable", "file", f.stateFile.path)
		return
	}
	if f.announceDeparture() {
		time.Sleep(departureGossip)
	}
}

// announceDeparture announces the departure. It returns false if another process has taken over the name.
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

// Announce changes this replica's phase and settings hash. An empty hash keeps the previous one.
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

// Abandon makes Run end without announcing a departure, because another process has taken over this name.
func (f *Fleet) Abandon() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.abandoned = true
}

// SetPools replaces the pools and their configured replica counts after a reload.
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

// announceTags publishes the tags if the host is running. Callers must hold mu.
func (f *Fleet) announceTags() {
	if f.timer != nil && !f.departed {
		f.handle(membership.Event{Kind: membership.SetTags, Tags: f.tags})
	}
}

// SetKeys replaces the keys at run time. After an error the previous keys remain in use.
func (f *Fleet) SetKeys(keys [][]byte) error { return f.transport.setKeys(keys) }

// ErrNotDead is returned by Forget if no dead member has the name.
var ErrNotDead = errors.New("no member of this name is held for dead")

// Forget removes a dead member permanently at an operator's request. It returns ErrNotDead if
// no dead member has this name.
func (f *Fleet) Forget(name string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if r, known := f.list.Find(name); !known || r.Status != membership.Dead {
		return fmt.Errorf("%q: %w", name, ErrNotDead)
	}
	f.handle(membership.Event{Kind: membership.Forget, Name: name})
	return nil
}
