// Package fleet is the host of a proxy's place among its copies: it holds the
// sockets, clocks and files, and hands what comes to the pure packages below it.
// Package member decides who is there, package view what follows from it, and
// package frame how it is written.
//
// A proxy that is not told to be in a fleet makes none of this: no socket, no
// goroutine, no timer.
package fleet

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/netip"
	"slices"
	"sync"
	"time"

	"ryerill/fleet/codec"
	"ryerill/fleet/membership"
	"ryerill/fleet/placement"
	"ryerill/fleet/statesync"
)

// Descriptors is how many a fleet's host may hold; they are set aside for it.
const Descriptors = 3 + mostExchanges + 2

const (
	mostExchanges = 8                      // that others began, at once; more are closed at once and try again
	exchangeTime  = 4 * time.Second        // for all of an exchange
	dialTime      = time.Second            // for its connection
	departFor     = 700 * time.Millisecond // news of a departure goes out for so long
	rememberEvery = 30 * time.Second
	mostRate      = 2000 // datagrams a second that are looked at; a flood beyond it is dropped unread
	mostBurst     = 4000
	sayEvery      = 10 * time.Second // a fault of frames is logged so often at most
)

// Config is what a fleet's host is told.
type Config struct {
	Name             string            // of this copy; it stands once in the fleet
	Fleet            string            // name of the fleet
	Listen           string            // IP and port, for datagrams and exchanges
	Advertise        string            // where others reach it; empty is Listen
	Seeds            []string          // addresses where somebody may be
	AddressOverrides map[string]string // addresses by which this copy reaches others, by name, where they differ from what those say
	Keys             [][]byte          // the first signs, all are taken
	StateFile        string            // file that keeps the members' addresses over a restart; empty is none
	ReplicaCounts    map[string]int    // by pool, that a person says there are: the floor of safety
	Zone             string
	Tier             int
	Pools            []string
	ProgramVersion   string
	SettingsHash     string
	Seed             uint64
	Period           time.Duration  // 0 is the default
	BytesPerSecond   int            // bytes a second; 0 is the default
	Sharing          *SharingConfig // what copies share; nil is nothing
}

// PositionsFunc tells what follows for the proxy. It is called with every change and must
// not block.
type PositionsFunc func(places map[string]placement.Position)

// Fleet is a copy's host. Its methods are safe for concurrent use.
type Fleet struct {
	cfg    Config
	log    *slog.Logger
	udp    *net.UDPConn
	tcp    *net.TCPListener
	start  time.Time
	places PositionsFunc
	slots  chan struct{} // of exchanges that others began
	all    sync.WaitGroup

	writing sync.Mutex // of the file

	mu        sync.Mutex
	feed      Subject
	roller    *roller
	recalled  memory // of before the start
	share     *statesync.Syncer
	budgets   map[string]float64
	zones     int
	codec     *codec.Codec
	member    *membership.List
	view      *placement.Tracker
	tags      membership.Tags
	actions   []membership.Action
	timer     *time.Timer
	viewed    time.Time
	ended     bool
	phases    bool // departed
	abandoned bool // to another process of this name
	figures   Stats
	said      map[string]time.Time // when a kind of fault was logged last
	credit    float64              // datagrams that may be read
	creditAt  time.Time
	twinAt    time.Time

	// What lies in the file: a copy counts others for all to hear only once it would remember them after
	// a restart.
	knew     bool // whom it may meet, from the start on
	kept     uint64
	keptSure bool
	keeping  bool
}

// Stats count what passed since the start.
type Stats struct {
	FramesIn         uint64            `json:"FramesIn"`
	FramesOut        uint64            `json:"FramesOut"`
	BytesIn          uint64            `json:"BytesIn"`
	BytesOut         uint64            `json:"BytesOut"`
	Exchanges        uint64            `json:"Exchanges"` // that others began
	ExchangesRefused uint64            `json:"ExchangesRefused"`
	ExchangeBytes    uint64            `json:"ExchangeBytes"`
	Invalid          map[string]uint64 `json:"Bad"` // frames by what was wrong with them
	Unsent           uint64            `json:"Unsent"`
}

// New opens the sockets of a fleet's host. Nobody is spoken to before Run.
func New(cfg Config, log *slog.Logger, places PositionsFunc) (*Fleet, error) {
	frames, err := codec.New(cfg.Fleet, cfg.Keys)
	if err != nil {
		return nil, fmt.Errorf("fleet: key: %w", err)
	}
	address, err := netip.ParseAddrPort(cfg.Listen)
	if err != nil {
		return nil, fmt.Errorf("fleet: listen: %w", err)
	}
	udp, tcp, err := listen(address)
	if err != nil {
		return nil, fmt.Errorf("fleet: %w", err)
	}
	at := tcp.Addr().(*net.TCPAddr).AddrPort()
	if cfg.Advertise == "" {
		cfg.Advertise = at.String()
	}
	now := time.Now()
	f := &Fleet{cfg: cfg, log: log, udp: udp, tcp: tcp, start: now, places: places, codec: frames, slots: make(chan struct{}, mostExchanges),
		said: map[string]time.Time{}, credit: mostBurst, creditAt: now, view: placement.New(cfg.ReplicaCounts)}
	f.figures.Invalid = map[string]uint64{}
	f.tags = membership.Tags{Address: cfg.Advertise, Zone: cfg.Zone, Tier: cfg.Tier, Pools: cfg.Pools, ProgramVersion: cfg.ProgramVersion, SettingsHash: cfg.SettingsHash, Phase: membership.Starting,
		MinLevel: codec.MinLevel, MaxLevel: codec.MaxLevel, Unknown: codec.UnknownTags}
	known := f.remembered()
	f.recalled = known
	f.member = membership.New(membership.Config{Name: cfg.Name, Epoch: max(drawEpoch(now), known.Epoch+1), Seed: cfg.Seed ^ uint64(now.UnixNano()), Tags: f.tags,
		Seeds: cfg.Seeds, ProbeInterval: cfg.Period, GossipBytesPerSecond: cfg.BytesPerSecond})
	f.knew = len(cfg.Seeds) == 0 || len(known.Members) > 0 && !known.Left
	if f.member.Handle(0, membership.Event{Kind: membership.Restore, Records: known.Members}, nil); known.Sure {
		f.view.RestoreConfirmed()
	}
	return f, f.startShare(known)
}

// listen opens both sockets at one port. Where any port will do, one that is free for
// datagrams may be taken for connections: then another is tried.
func listen(address netip.AddrPort) (udp *net.UDPConn, tcp *net.TCPListener, err error) {
	for tries := 0; ; tries++ {
		if udp, err = net.ListenUDP("udp", net.UDPAddrFromAddrPort(address)); err != nil {
			return nil, nil, err
		}
		at := netip.AddrPortFrom(address.Addr(), uint16(udp.LocalAddr().(*net.UDPAddr).Port))
		if tcp, err = net.ListenTCP("tcp", net.TCPAddrFromAddrPort(at)); err == nil {
			return udp, tcp, nil
		}
		if udp.Close(); address.Port() != 0 || tries > 50 {
			return nil, nil, err
		}
	}
}

// epochBits of an epoch are drawn: two processes of a copied configuration may
// start in one millisecond and must be told apart all the same.
const epochBits = 16

func drawEpoch(now time.Time) uint64 {
	return uint64(now.UnixMilli())<<epochBits | rand.Uint64()>>(64-epochBits)
}

// Address is where the host listens.
func (f *Fleet) Address() string { return f.udp.LocalAddr().String() }

// Close ends a host that never ran.
func (f *Fleet) Close() {
	f.udp.Close()
	f.tcp.Close()
}

func (f *Fleet) now() time.Duration { return time.Since(f.start) }

// Run keeps the copy's place until ctx ends. Then it says that it leaves, and
// returns once that is out.
func (f *Fleet) Run(ctx context.Context) {
	f.mu.Lock()
	f.timer = time.AfterFunc(time.Hour, f.tick)
	f.handle(membership.Event{Kind: membership.SetTags, Tags: f.tags}) // what was said before there was anybody to hear it
	f.handle(membership.Event{Kind: membership.Start})
	f.mu.Unlock()
	f.log.Info("fleet", "fleet", f.cfg.Fleet, "copy", f.cfg.Name, "at", f.Address(), "known as", f.cfg.Advertise, "copies written", f.cfg.ReplicaCounts)
	if f.share != nil {
		f.all.Add(1)
		go f.sharing(ctx)
	}
	if f.roller != nil {
		f.all.Add(1)
		go f.rolling(ctx)
	}
	f.all.Add(2)
	go f.read()
	go f.accept()
	keep := time.NewTicker(rememberEvery)
	defer keep.Stop()
	for going := true; going; {
		select {
		case <-ctx.Done():
			going = false
		case <-keep.C:
		}
		f.remember(f.what(going))
	}
	f.giveBack()
	f.mu.Lock()
	abandoned := f.abandoned
	f.phases = true
	if !abandoned {
		f.handle(membership.Event{Kind: membership.Leave})
	}
	f.mu.Unlock()
	if !abandoned {
		time.Sleep(departFor)
	}
	f.mu.Lock()
	f.ended = true
	f.timer.Stop()
	f.mu.Unlock()
	f.Close()
	f.all.Wait()
}

// Announce changes what this copy says of itself: its phase, and the hash of its settings.
func (f *Fleet) Announce(phase membership.Phase, settings string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if settings == "" {
		settings = f.tags.SettingsHash
	}
	if f.tags.Phase == phase && f.tags.SettingsHash == settings {
		return
	}
	if f.tags.Phase, f.tags.SettingsHash = phase, settings; f.timer != nil && !f.phases {
		f.handle(membership.Event{Kind: membership.SetTags, Tags: f.tags})
	}
}

// Abandon has Run end without a word: another process goes on under this name.
func (f *Fleet) Abandon() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.abandoned = true
}

// SetPools changes pools, and how many copies a person says there are of each, after
// a reload.
func (f *Fleet) SetPools(pools []string, copies map[string]int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.view.SetMinimums(copies)
	if slices.Equal(f.tags.Pools, pools) {
		return
	}
	f.tags.Pools = pools
	if f.timer != nil && !f.phases {
		f.handle(membership.Event{Kind: membership.SetTags, Tags: f.tags})
	}
}

// SetKeys puts other keys in the place of those that hold, while the fleet runs.
func (f *Fleet) SetKeys(keys [][]byte) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.codec.SetKeys(keys)
}

// ErrNotDead says that a member can't be forgotten.
var ErrNotDead = errors.New("no member of this name is held for dead")

// Forget takes a person's word that a dead member is gone for good.
func (f *Fleet) Forget(name string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if r, known := f.member.Find(name); !known || r.Status != membership.Dead {
		return fmt.Errorf("%q: %w", name, ErrNotDead)
	}
	f.handle(membership.Event{Kind: membership.Forget, Name: name})
	return nil
}

func (f *Fleet) tick() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.handle(membership.Event{Kind: membership.Tick})
	if laterKind != 0 && !f.ended {
		for _, m := range f.member.Members() {
			if !m.Self && m.Tags != nil {
				f.send(m.Name, m.Tags.Address, &membership.Message{Kind: laterKind, From: f.member.Self().State, Target: m.Name, Digest: f.member.Digest(), Payload: []byte("later")})
			}
		}
	}
}

// handle hands an event over and carries out what follows. The mutex is held.
func (f *Fleet) handle(ev membership.Event) (replies []*membership.Message) {
	if f.ended {
		return nil
	}
	f.actions = f.member.Handle(f.now(), ev, f.actions[:0])
	for i := range f.actions {
		a := &f.actions[i]
		switch a.Kind {
		case membership.Send:
			f.send(a.Name, a.Address, a.Message)
		case membership.StartSync:
			f.all.Add(1)
			go f.exchange(f.reach(a.Name, a.Address), a.Message, a.Exchange)
		case membership.Reply:
			replies = append(replies, a.Message)
		default:
			f.tell(a)
		}
	}
	f.look()
	if due := f.member.NextTick(); due < 1<<62 {
		f.timer.Reset(max(due-f.now(), 0))
	}
	return replies
}

// look has the view follow, and tells the proxy if its places change.
func (f *Fleet) look() {
	now := time.Now()
	changed := len(f.actions) > 0 && f.anyChange()
	if !changed && now.Sub(f.viewed) < f.view.NextUpdate() {
		return
	}
	f.viewed = now
	moved := f.view.Update(f.now(), f.snapshot())
	f.among()
	// What is lent must come back before others may count on this copy's part being smaller.
	if f.fits() && (f.view.ReplicaSetDigest() != f.kept || f.view.Confirmed() != f.keptSure) {
		f.keep()
	}
	if !moved || f.places == nil {
		return
	}
	places := map[string]placement.Position{}
	for _, name := range f.view.Pools() {
		places[name] = f.view.Position(name)
		p := places[name]
		f.log.Info("fleet: place", "pool", name, "number", p.Index, "of", p.Of, "budgets among", p.QuotaReplicas, "own part", p.QuotaFraction(), "out of reach", p.Unreachable)
	}
	f.places(places)
}

func (f *Fleet) anyChange() bool {
	for i := range f.actions {
		if k := f.actions[i].Kind; k == membership.MemberChanged || k == membership.Displaced {
			return true
		}
	}
	return false
}

func (f *Fleet) snapshot() placement.Snapshot {
	return placement.Snapshot{Members: f.member.Members(), Joined: f.member.Joined() || f.knew, Displaced: f.member.Displaced(), Health: f.member.LocalHealth()}
}

// reach is the address by which this copy reaches another.
func (f *Fleet) reach(name, address string) string {
	if via := f.cfg.AddressOverrides[name]; via != "" {
		return via
	}
	return address
}

// send sends a datagram. One that can't be sent is like one that is lost.
func (f *Fleet) send(name, address string, m *membership.Message) {
	text, err := f.codec.Encode(m)
	to, parsed := netip.ParseAddrPort(f.reach(name, address))
	if err == nil && parsed == nil && len(text) <= codec.MaxDatagram {
		if _, err = f.udp.WriteToUDPAddrPort(text, to); err == nil {
			f.figures.FramesOut++
			f.figures.BytesOut += uint64(len(text))
			return
		}
	}
	f.figures.Unsent++
	f.complain("a datagram can't be sent", "to", name, "at", f.reach(name, address), "bytes", len(text), "error", errors.Join(err, parsed))
}

// complain logs a kind of fault, but not for each frame.
func (f *Fleet) complain(what string, args ...any) {
	if now := time.Now(); now.Sub(f.said[what]) >= sayEvery {
		f.said[what] = now
		f.log.Warn("fleet: "+what, args...)
	}
}

// tell logs what a person should know: one line for each change of a member.
func (f *Fleet) tell(a *membership.Action) {
	r := &a.Record
	switch a.Kind {
	case membership.MemberChanged:
		address := ""
		if r.Tags != nil {
			address = r.Tags.Address
		}
		was := a.PreviousStatus.String()
		if a.PreviousStatus == 0 {
			was = "unknown"
		}
		if f.share != nil && (r.Status == membership.Left || a.PreviousStatus != 0 && a.Reason == membership.ReasonRestarted) {
			epoch := r.Epoch
			if r.Status != membership.Left {
				epoch--
			}
			f.share.ExpireReplica(r.Name, epoch)
		}
		f.log.Info("fleet: member", "name", r.Name, "is", r.Status.String(), "was", was, "why", a.Reason, "epoch", r.Epoch, "count", r.Incarnation, "at", address)
	case membership.Displaced:
		f.log.Error("fleet: another process of this name started later: this copy is no part of the fleet any more. "+
			"At an upgrade that is as it should be; if both are to serve, give one of them another name",
			"name", r.Name, "its start", r.Epoch)
	case membership.NameConflict:
		if now := time.Now(); now.Sub(f.twinAt) >= sayEvery {
			f.twinAt = now
			f.log.Error("fleet: two processes have one name, the earlier one still speaks: give one of them another name", "name", r.Name)
		}
	case membership.TableFull:
		f.complain("no room for another member", "name", r.Name)
	case membership.Stalled:
		f.log.Warn("fleet: this copy stood still and accuses nobody for it", "for", a.Wait)
	}
}

// read takes in datagrams.
func (f *Fleet) read() {
	defer f.all.Done()
	buf := make([]byte, codec.MaxDatagram+1)
	for {
		n, from, err := f.udp.ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue // an answer of the network to something sent: the next read goes on
		}
		f.take(buf[:n], netip.AddrPortFrom(from.Addr().Unmap(), from.Port()))
	}
}

func (f *Fleet) take(text []byte, from netip.AddrPort) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	f.credit = min(f.credit+mostRate*now.Sub(f.creditAt).Seconds(), mostBurst)
	f.creditAt = now
	f.figures.FramesIn++
	f.figures.BytesIn += uint64(len(text))
	if f.credit < 1 {
		f.figures.Invalid["flood"]++
		f.complain("more datagrams than are looked at", "a second", mostRate)
		return
	}
	f.credit--
	m, err := f.codec.Decode(text, codec.MaxDatagram)
	if err != nil {
		f.bad(err, from.String())
		return
	}
	f.handle(membership.Event{Kind: membership.MessageReceived, Message: m, From: from.String()})
	switch m.Kind {
	case membership.StateSync:
		f.hearShared(m)
	case membership.Rollout:
		f.hearRolling(m)
	}
}

// bad counts a frame that is dropped. It is never answered.
func (f *Fleet) bad(err error, from string) {
	for _, fault := range codec.Errors {
		if errors.Is(err, fault) {
			f.figures.Invalid[fault.Error()]++
			f.complain("a frame "+fault.Error()+" is dropped", "from", from, "error", err)
			return
		}
	}
}
