package membership

import "time"

const (
	lateTick   = 100 * time.Millisecond // a tick later than this extends suspicions: refutations may be unread
	minStall   = 500 * time.Millisecond // a tick later than this means that the process was suspended or starved
	stallTicks = 2                      // and it must also be late by this many probe intervals
)

// List is one replica's view of the fleet. It is not safe for concurrent use.
type List struct {
	cfg     Config
	rng     random
	now     time.Duration
	actions []Action // output of the current call of Handle

	self             Record
	started          bool
	joined           bool // whole views were exchanged with another member
	displaced        bool // a later process uses this member's name
	replicaSetDigest uint64

	members       memberTable
	view          viewDigest
	prober        prober
	relays        relays
	suspects      suspectList
	gossiper      gossiper
	syncer        syncer
	nextReconnect time.Duration
	nextForget    time.Duration // when members that left are removed next

	// Stats may be read between calls of Handle.
	Stats Stats
}

// New returns a List that knows only this member. The Start event starts it.
func New(cfg Config) *List {
	cfg.setDefaults()
	tags := cfg.Tags
	l := &List{
		cfg:      cfg,
		rng:      newRandom(cfg.Seed, cfg.Name),
		self:     Record{State: State{Name: cfg.Name, Epoch: max(cfg.Epoch, 1), Status: Alive}, Tags: &tags},
		members:  newMemberTable(),
		prober:   prober{interval: cfg.ProbeInterval, minTimeout: cfg.ProbeTimeout},
		relays:   relays{},
		suspects: suspectList{nextTimeout: never},
		gossiper: gossiper{updates: updateQueue{bytesPerSecond: float64(cfg.GossipBytesPerSecond)}},
	}
	l.view.value = l.self.hash()
	return l
}

// Handle processes one event and appends the resulting actions to out. Times must not
// decrease. A time much later than NextTick means that the process was suspended or starved.
func (l *List) Handle(now time.Duration, event Event, out []Action) []Action {
	now = max(now, l.now)
	l.actions = out
	if l.running() {
		l.checkStall(now)
	}
	l.now = now
	l.dispatch(&event)
	if l.running() {
		l.runDue()
	}
	out = l.actions
	l.actions = nil
	return out
}

// running reports whether this member participates in the fleet.
func (l *List) running() bool { return l.started && !l.displaced }

func (l *List) dispatch(event *Event) {
	switch event.Kind {
	case Restore:
		l.restore(event.Records)
	case Start:
		l.start()
	case MessageReceived:
		l.receive(event.Message, event.From)
	case SyncRequested:
		l.syncRequested(event.Message, event.Exchange)
	case SyncAnswered:
		l.syncAnswered(event.Message, event.Exchange)
	case SyncFinished:
		l.syncFinished(event.Message)
	case SyncFailed:
		l.syncer.end(event.Exchange)
	case SetTags:
		tags := event.Tags
		tags.Bound()
		l.raiseIncarnation(l.self.Incarnation+1, &tags)
	case Leave:
		l.leave()
	case Forget:
		l.forget(event.Name)
	}
}

// NextTick returns the time at which the host must send the next Tick event.
func (l *List) NextTick() time.Duration {
	if !l.running() {
		return never
	}
	return min(
		l.prober.dueAt(),
		l.relays.dueAt(),
		l.suspects.nextTimeout,
		l.gossiper.dueAt(),
		l.syncer.dueAt(l.view.changedAt, len(l.gossiper.updates.entries)),
		l.nextReconnect,
	)
}

func (l *List) start() {
	l.started = true
	l.gossiper.updates.creditAt = l.now
	l.view.changedAt = l.now
	l.prober.nextAt = l.now + l.rng.duration(l.cfg.ProbeInterval)
	l.nextReconnect = l.now
	l.syncer.nextAt = l.now + l.rng.duration(minSyncInterval)
	l.nextForget = l.now + leftRetention
	l.publish(l.self)
}

// restore adds the members known before a restart. They count as alive and are probed
// like all others until a probe fails.
func (l *List) restore(records []Record) {
	for _, record := range records {
		if record.Status != Left {
			record.Status = Alive
			record.ReportedBy = ""
			l.learn(&record, reasonRestored)
		}
	}
}

// checkStall detects that this process did not run until now. Timeouts that expired
// meanwhile prove nothing about other members, so suspicions keep their remaining time.
func (l *List) checkStall(now time.Duration) {
	late := now - l.NextTick()
	if late > lateTick {
		l.suspects.postpone(late)
	}
	if late > max(stallTicks*l.cfg.ProbeInterval, minStall) {
		l.stalled(now, late)
	}
}

func (l *List) stalled(now, late time.Duration) {
	l.Stats.Stalls++
	l.prober.current = nil
	l.prober.health.stalled()
	l.prober.nextAt = now + l.prober.period()
	l.syncer.abort()
	clear(l.relays)
	l.gossiper.nextAt = now
	l.nextReconnect = now + l.rng.duration(reconnectInterval)
	l.emit(Action{Kind: Stalled, Wait: late})
}

// runDue runs all tasks that are due.
func (l *List) runDue() {
	l.runProbe()
	l.runSuspicions()
	l.runNextProbe()
	l.runRelays()
	l.runGossip()
	l.runReconnect()
	l.runSync()
	if l.now >= l.nextForget {
		l.nextForget = l.now + leftRetention
		l.members.forgetLeft(l.now)
	}
}
