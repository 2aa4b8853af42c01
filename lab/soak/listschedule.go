package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"ryerill/lab/syscallfault"
)

// Rules on withdrawn endpoints that proxies are held to.
const (
	drainGrace = time.Second
	// unseenChangeKnown is when a change counts as known to a proxy at the latest, after the service had it and could
	// be reached.
	unseenChangeKnown = 6 * time.Second
	askWithin         = 10 * time.Second
	// listTolerance is the part of a busy machine, beyond the grace: an arrival is recorded by a goroutine.
	listTolerance = 200 * time.Millisecond
)

// ListEventKind is what happens to the list of endpoints, its service or a proxy.
type ListEventKind string

// The kinds of events. Those of a service befall the services of all proxies; For is how long they last.
const (
	DrainQuarter   ListEventKind = "a quarter of the endpoints drains"
	RemoveQuarter  ListEventKind = "a quarter of the endpoints is removed"
	DrainOneByOne  ListEventKind = "endpoints drain one by one"
	ReturnAll      ListEventKind = "all withdrawn endpoints have restarted"
	ResetWatches   ListEventKind = "all watches are reset"
	SilenceWatches ListEventKind = "all watches fall silent"
	ServiceDown    ListEventKind = "discovery is down"
	ServiceCrowded ListEventKind = "discovery rejects new watches"
	ServiceSlow    ListEventKind = "discovery answers in slow pieces"
	ServiceCuts    ListEventKind = "discovery resets answers in their middle"
	ServiceLags    ListEventKind = "discovery begins with an older list"
	ProxyEvent     ListEventKind = "a signal to a proxy"
)

// ListEvent is one event of a schedule.
type ListEvent struct {
	At    time.Duration
	Kind  ListEventKind
	For   time.Duration // 0 is to the end
	Proxy int           // of a signal
	Then  SignalKind    // the signal
	From  int           // which quarter: endpoints whose number leaves this by four
}

// ListSchedule is a run of proxies before many endpoints whose list changes.
type ListSchedule struct {
	Seed       uint64
	Length     time.Duration
	Endpoints  int
	Proxies    int
	Pushed     bool // an agent pushes the lists
	Unknown    bool // the proxies know no endpoints when they start
	Indented   bool
	WholeFirst bool // the first answer on a connection is the whole list
	Omit       bool // a whole list leaves out what drains
	CutAt      int  // bytes of an answer after which ServiceCuts resets it
	Plans      []syscallfault.Plan
	Events     []ListEvent
}

const (
	oneByOneInterval = 8 * time.Millisecond
	quarters         = 4
	slowPiecePause   = 10 * time.Millisecond
	maxListProxies   = 6
)

// listSizes are the numbers of endpoints that are drawn. Two in three runs have thousands.
var listSizes = []int{14, 200, 3200, 3200, 3200, 10000}

// listDisturbances are the calls that may fail in a run with changing lists. Of epoll_ctl only what is for connections:
// the language's runtime ends a process whose own poll can't be set up.
var listDisturbances = []disturbance{
	{"read", syscallfault.Discovery, []string{"ENOMEM", "ENOBUFS", "EIO", "EINTR", "EAGAIN"}},
	{"read", syscallfault.Discovery, []string{"ENOMEM", "ENOBUFS"}},
	{"writev", syscallfault.Discovery, []string{"ENOBUFS", "EIO"}},
	{"connect", syscallfault.Any, []string{"ENOBUFS", "EADDRNOTAVAIL"}},
	{"socket", syscallfault.Any, []string{"ENOBUFS", "ENFILE"}},
	{"epoll_ctl", syscallfault.Discovery, []string{"ENOMEM"}},
	{"epoll_ctl", syscallfault.Endpoint, []string{"ENOMEM"}},
	{"setsockopt", syscallfault.Any, []string{"ENOBUFS"}},
	{"getsockopt", syscallfault.Any, []string{"ENOBUFS"}},
	{"writev", syscallfault.Endpoint, []string{"ENOBUFS", "EIO"}},
	{"read", syscallfault.Endpoint, []string{"ENOBUFS"}},
	{"recvfrom", syscallfault.Any, []string{"ENOMEM"}},
	{"ppoll", syscallfault.Any, []string{"ENOMEM"}},
}

// serviceEvents are the events of a service that are drawn.
var serviceEvents = []ListEventKind{
	ResetWatches, ResetWatches, SilenceWatches, ServiceDown, ServiceCrowded, ServiceSlow, ServiceCuts, ServiceCuts,
	ServiceLags,
}

// DrawLists draws a run from a seed, with so many proxies; 0 draws their number too.
func DrawLists(seed uint64, length time.Duration, proxies int) *ListSchedule {
	random := rand.New(rand.NewPCG(seed, seed+1))
	schedule := &ListSchedule{
		Seed:       seed,
		Length:     length,
		Endpoints:  listSizes[random.IntN(len(listSizes))],
		Proxies:    2 + random.IntN(maxListProxies-1),
		Pushed:     random.IntN(3) == 0,
		Indented:   random.IntN(2) == 0,
		WholeFirst: random.IntN(2) == 0,
		Omit:       random.IntN(4) == 0,
	}
	if proxies > 0 {
		schedule.Proxies = proxies
	}
	schedule.CutAt = 200 + random.IntN(150*schedule.Endpoints)
	for proxy := range schedule.Proxies {
		schedule.Plans = append(schedule.Plans, drawListPlan(random, seed+uint64(proxy)))
	}
	schedule.drawEvents(random)
	return schedule
}

// drawListPlan draws calls that fail by chance for the whole life of each process, short reads and hold-ups.
func drawListPlan(random *rand.Rand, seed uint64) syscallfault.Plan {
	const kinds = 3
	plan := syscallfault.Plan{Seed: seed}
	for range kinds {
		plan.Rules = append(plan.Rules, drawRule(random, listDisturbances, 8))
	}
	plan.Rules = append(plan.Rules,
		syscallfault.Rule{Call: "read", Descriptor: syscallfault.Discovery, Bytes: 2000 + random.IntN(9000), Every: 3},
		syscallfault.Rule{
			Call:       "writev",
			Descriptor: syscallfault.Endpoint,
			Delay:      between(random, 20*time.Millisecond, 130*time.Millisecond),
			Every:      200 + random.IntN(200),
		})
	return plan
}

// drawEvents draws two withdrawals, what befalls the services shortly before or after each, a return between them, and
// signals.
func (s *ListSchedule) drawEvents(random *rand.Rand) {
	withdrawals := []ListEventKind{DrainQuarter, RemoveQuarter, DrainOneByOne}
	first := between(random, s.Length/10, s.Length/6)
	for round, at := range []time.Duration{first, first + s.Length/3} {
		s.add(at, withdrawals[random.IntN(len(withdrawals))], 0, round)
		for range 1 + random.IntN(2) {
			kind := serviceEvents[random.IntN(len(serviceEvents))]
			begin := at + between(random, -300*time.Millisecond, 300*time.Millisecond)
			s.add(begin, kind, between(random, 500*time.Millisecond, 2*time.Second), 0)
		}
	}
	if random.IntN(2) == 0 {
		s.add(first+s.Length/4, ReturnAll, 0, 0)
	}
	signals := []SignalKind{Reload, ReloadInSeries, Kill, Restart}
	for range random.IntN(3) {
		s.Events = append(s.Events, ListEvent{
			At:    between(random, s.Length/8, s.Length/2),
			Kind:  ProxyEvent,
			Proxy: random.IntN(s.Proxies),
			Then:  signals[random.IntN(len(signals))],
		})
	}
	s.drawHoldUps(random, first)
	slices.SortStableFunc(s.Events, func(a, b ListEvent) int { return int(a.At - b.At) })
}

// drawHoldUps draws hold-ups of one proxy in every second run, from shortly before the first withdrawal.
func (s *ListSchedule) drawHoldUps(random *rand.Rand, withdrawal time.Duration) {
	if random.IntN(2) == 0 {
		return
	}
	s.Events = append(s.Events, ListEvent{
		At:    withdrawal - between(random, 0, withdrawal/2),
		Kind:  ProxyEvent,
		Proxy: random.IntN(s.Proxies),
		Then:  HoldUps,
	})
}

func (s *ListSchedule) add(at time.Duration, kind ListEventKind, length time.Duration, from int) {
	s.Events = append(s.Events, ListEvent{At: at, Kind: kind, For: length, From: from})
}

// Describe describes the schedule, an event a line.
func (s *ListSchedule) Describe() (lines []string) {
	lines = append(lines, fmt.Sprintf(
		"%d endpoints, %d proxies, pushed %v, indented %v, whole first %v, omitted %v, cut at %d",
		s.Endpoints, s.Proxies, s.Pushed, s.Indented, s.WholeFirst, s.Omit, s.CutAt))
	for _, e := range s.Events {
		text := string(e.Kind)
		if e.Kind == ProxyEvent {
			text = fmt.Sprintf("proxy %d: %s", e.Proxy, e.Then)
		}
		lines = append(lines, fmt.Sprintf("%v %s, for %v",
			e.At.Round(time.Millisecond), text, e.For.Round(time.Millisecond)))
	}
	for proxy := range s.Plans {
		for _, rule := range s.Plans[proxy].Rules {
			lines = append(lines, describeRule(proxy, &rule))
		}
	}
	return lines
}

// describeRule describes a rule of a proxy's plan.
func describeRule(proxy int, rule *syscallfault.Rule) string {
	return fmt.Sprintf("proxy %d: %s of %s: %s, %d bytes, late by %v, one in %d, share %.2f",
		proxy, rule.Call, rule.Descriptor, rule.Error, rule.Bytes, rule.Delay, rule.Every, rule.Share)
}
