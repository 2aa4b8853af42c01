// Package soak runs real proxies of two tiers while calls of the system fail, signals arrive in series, and clients and
// endpoints misbehave, all drawn from a seed. Clients and endpoints keep accounts of their own, which must agree: one
// whole final response a request or a stated excuse, no unsafe request executed twice, nothing sent for who has left.
package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"ryerill/lab/repeater"
	"ryerill/lab/syscallfault"
)

// Sizes of a run.
const (
	frontProxies = 2
	backProxies  = 2
	endpoints    = 4
)

// Times that the proxies are held to.
const (
	longestDeadline = 2 * time.Second
	killGrace       = 700 * time.Millisecond // after the longest deadline: the earliest kill after SIGTERM
	killMargin      = 400 * time.Millisecond // what is sent later than this before the kill may go unanswered
)

// SignalKind is what happens to a process.
type SignalKind string

// The kinds of signals, and of series of them.
const (
	Restart        SignalKind = "SIGTERM, SIGKILL at its earliest, start"
	RestartTwice   SignalKind = "two SIGTERMs, SIGKILL at its earliest, start"
	RestartReload  SignalKind = "SIGTERM, SIGHUP, SIGKILL at its earliest, start"
	Kill           SignalKind = "SIGKILL, start, SIGHUP during the start"
	Reload         SignalKind = "SIGHUP"
	ReloadInSeries SignalKind = "three SIGHUPs"
	HoldUps        SignalKind = "six SIGSTOPs, each with SIGCONT 0.15 s later"
)

// Hold-ups by SIGSTOP. It stops the tool that traces the proxy, and so each of the proxy's calls that may fail.
const (
	holdUps       = 6
	holdUpLength  = 150 * time.Millisecond
	holdUpSpacing = 250 * time.Millisecond // from the end of one to the next
)

// signalKinds are drawn for proxies of two tiers.
var signalKinds = []SignalKind{Restart, RestartTwice, RestartReload, Kill, Reload, ReloadInSeries}

// Signal is one event at a proxy.
type Signal struct {
	At    time.Duration
	Proxy int // front proxies first
	Kind  SignalKind
}

// Schedule is all that is drawn for a run.
type Schedule struct {
	Seed     uint64
	Length   time.Duration
	Plans    []syscallfault.Plan // by proxy
	Signals  []Signal
	Crowd    bool          // idle clients fill the descriptors of the first proxy
	Outage   time.Duration // when discovery goes down for a while; 0 is never
	Silent   bool          // it answers nothing then, rather than 503
	Hanging  int           // the endpoint that hangs now and then
	Resetter int           // the endpoint that resets connections now and then

	Late     repeater.Fault // what endpoints send unasked
	LateFrom int            // the endpoint that does, or allEndpoints
}

// allEndpoints stands for the index of every endpoint.
const allEndpoints = -1

// maxLateness is how late endpoints send what nobody has asked for.
const maxLateness = 300 * time.Millisecond

// disturbance is a kind of failing call.
type disturbance struct {
	call   string
	kind   syscallfault.Kind
	errors []string
}

// disturbances are the calls that may fail. What ends a connection by its nature is not among them.
var disturbances = []disturbance{
	{"writev", syscallfault.Client, []string{"ENOBUFS", "ENOMEM", "EINTR", "EIO", "EAGAIN"}},
	{"write", syscallfault.Client, []string{"ENOBUFS", "EINTR"}},
	{"read", syscallfault.Client, []string{"ENOBUFS", "ENOMEM", "EINTR", "EIO"}},
	{"writev", syscallfault.Endpoint, []string{"ENOBUFS", "ENOMEM", "EINTR", "EIO"}},
	{"read", syscallfault.Endpoint, []string{"ENOBUFS", "ENOMEM", "EINTR", "EIO"}},
	{"connect", syscallfault.Endpoint, []string{"ENOBUFS", "EADDRNOTAVAIL", "ECONNREFUSED", "ENETUNREACH"}},
	{"socket", syscallfault.Any, []string{"ENOBUFS", "EMFILE", "ENFILE"}},
	{"accept4", syscallfault.Any, []string{"ENOBUFS", "ECONNABORTED", "EMFILE", "EINTR", "EPROTO"}},
	{"epoll_ctl", syscallfault.Client, []string{"ENOMEM", "ENOSPC"}},
	{"epoll_ctl", syscallfault.Endpoint, []string{"ENOMEM"}},
	{"recvfrom", syscallfault.Any, []string{"ENOMEM", "EINTR"}},
	{"ppoll", syscallfault.Any, []string{"ENOMEM", "EINTR"}},
	{"setsockopt", syscallfault.Any, []string{"ENOBUFS"}},
	{"shutdown", syscallfault.Client, []string{"ENOBUFS"}},
	{"fcntl", syscallfault.Client, []string{"EMFILE"}},
	{"read", syscallfault.Discovery, []string{"ENOBUFS", "EIO"}},
	{"writev", syscallfault.Discovery, []string{"ENOBUFS"}},
	{"write", syscallfault.Log, []string{"ENOSPC", "EIO", "EAGAIN"}},
	{"openat", syscallfault.File, []string{"EIO", "EMFILE", "ENFILE"}},
	{"read", syscallfault.File, []string{"EIO"}},
	{"write", syscallfault.File, []string{"ENOSPC", "EIO"}},
	{"fsync", syscallfault.File, []string{"EIO"}},
	{"renameat", syscallfault.File, []string{"ENOSPC", "EIO"}},
}

// Draw draws a run from a seed.
func Draw(seed uint64, length time.Duration) *Schedule {
	random := rand.New(rand.NewPCG(seed, seed))
	schedule := &Schedule{
		Seed:     seed,
		Length:   length,
		Crowd:    random.IntN(4) == 0,
		Silent:   random.IntN(2) == 0,
		Hanging:  random.IntN(endpoints),
		Resetter: random.IntN(endpoints),
	}
	if random.IntN(2) == 0 {
		schedule.Outage = between(random, length/4, length/2)
	}
	for proxy := range frontProxies + backProxies {
		schedule.Plans = append(schedule.Plans, drawPlan(random, seed+uint64(proxy)))
		schedule.Signals = append(schedule.Signals, drawSignal(random, length, proxy))
	}
	slices.SortFunc(schedule.Signals, func(a, b Signal) int { return int(a.At - b.At) })
	schedule.drawLate(random)
	return schedule
}

// lateForms are what endpoints send unasked in different runs.
var lateForms = [][]repeater.Form{{repeater.Whole}, {repeater.Whole, repeater.Pieces}, repeater.AllForms}

// drawLate draws what endpoints send unasked.
func (s *Schedule) drawLate(random *rand.Rand) {
	s.Late = repeater.Fault{
		Share:         []float64{0.01, 0.05, 0.3}[random.IntN(3)],
		Forms:         lateForms[random.IntN(len(lateForms))],
		AtNextRequest: random.IntN(3) == 0,
	}
	s.Late.MaxDelay = between(random, time.Millisecond, maxLateness)
	if s.Late.AtNextRequest {
		s.Late.MaxDelay = between(random, 0, serviceTime)
		s.Late.Forms = nil
	}
	s.LateFrom = random.IntN(endpoints+1) + allEndpoints
}

// drawPlan draws calls that fail now and then, for the whole life of each process, and some that are cut short or late.
// What fails is drawn by chance and not at intervals: one call in three is every attempt at what takes three such
// calls, and a fault that never passes leaves nothing to be served.
func drawPlan(random *rand.Rand, seed uint64) syscallfault.Plan {
	const kinds = 5
	plan := syscallfault.Plan{Seed: seed}
	for range kinds {
		rule := drawRule(random, disturbances, 12)
		rule.Skip = random.IntN(20)
		plan.Rules = append(plan.Rules, rule)
	}
	plan.Rules = append(plan.Rules,
		syscallfault.Rule{Call: "writev", Descriptor: syscallfault.Client, Bytes: 1 + random.IntN(90), Every: 7},
		syscallfault.Rule{Call: "read", Descriptor: syscallfault.Any, Bytes: 1 + random.IntN(60), Every: 11},
		syscallfault.Rule{
			Call:  "writev",
			Delay: between(random, 20*time.Millisecond, 130*time.Millisecond),
			Every: 200 + random.IntN(200),
		})
	return plan
}

// drawRule draws a call that fails by chance: half of such calls at most, and one in most and one at least.
func drawRule(random *rand.Rand, from []disturbance, most int) syscallfault.Rule {
	chosen := from[random.IntN(len(from))]
	return syscallfault.Rule{
		Call:       chosen.call,
		Descriptor: chosen.kind,
		Error:      chosen.errors[random.IntN(len(chosen.errors))],
		Share:      1 / float64(2+random.IntN(most)),
	}
}

func drawSignal(random *rand.Rand, length time.Duration, proxy int) Signal {
	return Signal{
		At:    between(random, length/6, length*2/3),
		Proxy: proxy,
		Kind:  signalKinds[random.IntN(len(signalKinds))],
	}
}

func between(random *rand.Rand, least, most time.Duration) time.Duration {
	return least + time.Duration(random.Int64N(int64(max(most-least, 1))))
}

// Events describes the schedule, an event a line.
func (s *Schedule) Events() (lines []string) {
	for _, signal := range s.Signals {
		at := signal.At.Round(time.Millisecond)
		lines = append(lines, fmt.Sprintf("%v proxy %d: %s", at, signal.Proxy, signal.Kind))
	}
	for proxy, plan := range s.Plans {
		for _, rule := range plan.Rules {
			lines = append(lines, describeRule(proxy, &rule))
		}
	}
	from := "all endpoints"
	if s.LateFrom != allEndpoints {
		from = fmt.Sprint("endpoint ", s.LateFrom)
	}
	lines = append(lines, fmt.Sprintf("%s: %.0f%% of responses followed within %v by %v, from the next request on: %v",
		from, 100*s.Late.Share, s.Late.MaxDelay.Round(time.Millisecond), s.Late.Forms, s.Late.AtNextRequest))
	if s.Crowd {
		lines = append(lines, "a crowd of idle clients at proxy 0")
	}
	if s.Outage > 0 {
		lines = append(lines, fmt.Sprintf("%v discovery down, silent: %v", s.Outage.Round(time.Millisecond), s.Silent))
	}
	return lines
}
