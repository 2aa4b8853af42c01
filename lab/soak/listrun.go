package soak

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"ryerill/discovery"
	"ryerill/lab/ports"
)

const (
	listClients      = 6 // of each proxy, and fewer of each where there are many
	listPause        = 6 * time.Millisecond
	listTimeout      = 3 * time.Second // of each request
	listSockets      = 400
	listMemoryMB     = 256
	reportTimeout    = 3 * time.Second
	connectTimeout   = 100 * time.Millisecond
	reportedCounter  = "sends_after_grace"
	listReconnection = 20 * time.Millisecond
)

// ListResult is what a run with changing lists came to.
type ListResult struct {
	Seed      uint64        `json:"seed"`
	Endpoints int           `json:"endpoints"`
	Proxies   int           `json:"proxies"`
	Requests  int           `json:"requests"` // that came to endpoints
	Late      int           `json:"late"`     // to withdrawn ones, after the grace
	Counted   int64         `json:"counted"`  // by the proxies that run at the end, of the same
	Statuses  map[int]int   `json:"statuses"` // of the responses
	FirstOK   time.Duration `json:"first_ok"` // of the last proxy, since the load began
	Injected  int           `json:"injected"` // calls that were disturbed
	Breaks    []Break       `json:"breaks"`
}

// listRun is one run with changing lists.
type listRun struct {
	schedule   *ListSchedule
	farm       *endpointFarm
	registry   *endpointRegistry
	services   []*listService // by proxy
	proxies    []*proxy
	management []string // addresses, by proxy
	reserved   *ports.Reservation
	began      time.Time

	mu       sync.Mutex
	statuses map[int]int
	firstOK  map[int]time.Duration // by proxy
}

// PlayLists plays a schedule with changing lists and compares the accounts. An error means that the run could not be
// played.
func PlayLists(ctx context.Context, schedule *ListSchedule, options Options) (*ListResult, error) {
	if err := os.RemoveAll(options.Directory); err != nil { // of an earlier run
		return nil, err
	}
	r := &listRun{schedule: schedule, statuses: make(map[int]int), firstOK: make(map[int]time.Duration)}
	defer r.close()
	if err := r.build(options); err != nil {
		return nil, err
	}
	if err := startAll(ctx, r.proxies); err != nil {
		return nil, withLogs(err, r.proxies)
	}
	r.began = time.Now()
	if err := r.load(ctx); err != nil {
		return nil, withLogs(err, r.proxies)
	}
	return r.settle()
}

func (r *listRun) build(options Options) error {
	farm, err := startFarm(r.schedule.Endpoints)
	if err != nil {
		return err
	}
	r.farm = farm
	r.registry = newEndpointRegistry(farm.listeners)
	r.reserved, err = ports.Reserve(2 * r.schedule.Proxies)
	if err != nil {
		return err
	}
	for index := range r.schedule.Proxies {
		if err := r.buildProxy(index, options); err != nil {
			return err
		}
	}
	return nil
}

func (r *listRun) buildProxy(index int, options Options) error {
	service, err := startListService(r.registry, r.schedule.Pushed, listFaults{
		indented:     r.schedule.Indented,
		wholeFirst:   r.schedule.WholeFirst,
		omitDraining: r.schedule.Omit,
	})
	if err != nil {
		return err
	}
	r.services = append(r.services, service)
	address := r.reserved.Addresses[2*index].String()
	management := r.reserved.Addresses[2*index+1].String()
	configuration, err := r.configuration(index, address, management)
	if err != nil {
		return err
	}
	p, err := newProxy(index, options, &r.schedule.Plans[index], address, service.address(), configuration)
	if err != nil {
		return err
	}
	r.proxies = append(r.proxies, p)
	r.management = append(r.management, management)
	return nil
}

// listConfiguration is a configuration in the platform's form, as far as a run states it.
type listConfiguration struct {
	Name      string                 `json:"name"`
	Listen    string                 `json:"listen"`
	Discovery string                 `json:"discovery"`
	Mgmt      string                 `json:"mgmt"`
	Seed      string                 `json:"seed"`
	Limits    map[string]int         `json:"limits"`
	Known     discovery.EndpointList `json:"known"`
	Settings  map[string]any         `json:"settings"`
}

// configuration is the text of a proxy's configuration.
func (r *listRun) configuration(index int, address, management string) ([]byte, error) {
	known := r.registry.whole(r.registry.currentVersion(), false)
	if r.schedule.Unknown {
		known = discovery.EndpointList{Snapshot: true, Endpoints: []discovery.Endpoint{}}
	}
	mode := "subscribe"
	if r.schedule.Pushed {
		mode = "automatic"
	}
	return json.Marshal(&listConfiguration{
		Name:      fmt.Sprint("p", index),
		Listen:    address,
		Discovery: r.services[index].address(),
		Mgmt:      management,
		Seed:      fmt.Sprint(r.schedule.Seed + 1),
		Limits:    map[string]int{"cores": 1, "memory_mb": listMemoryMB, "sockets": listSockets},
		Known:     known,
		Settings: map[string]any{
			"Areas": []string{"a"}, "Kinds": []string{"machine"}, "Tiers": []string{"only"}, "Tier": 0,
			"GroupSize": r.schedule.Proxies, "Me": index, "Discovery": mode,
			"Classes": []map[string]any{{
				"Name": "read", "Slo": microseconds(listTimeout), "Deadline": microseconds(listTimeout),
				"Effect": "pure", "Worth": 1, "LateWorth": 0.5,
			}},
			"Limits": map[string]any{
				"IdleClose": microseconds(5 * time.Second), "ConnectTimeout": microseconds(connectTimeout),
				"MayCancel": true, "TryLimit": 3,
			},
			"Contract": map[string]any{
				"StopSendingWithin": microseconds(drainGrace), "AskWithin": microseconds(askWithin), "ColdFrom": 0.5,
				"WarmUp": microseconds(time.Second), "FallMultiple": 2, "OverloadFor": microseconds(time.Second),
			},
		},
	})
}

func microseconds(d time.Duration) int64 { return d.Microseconds() }

// load has clients ask while the schedule is played.
func (r *listRun) load(ctx context.Context) error {
	playing, stop := context.WithTimeout(ctx, r.schedule.Length)
	defer stop()
	var working sync.WaitGroup
	clients := max(min(listClients, listClients*maxListProxies/len(r.proxies)), 1)
	for index := range r.proxies {
		for range clients {
			working.Go(func() { r.ask(playing, index) })
		}
	}
	failures := make(chan error, len(r.schedule.Events))
	for _, event := range r.schedule.Events {
		working.Go(func() { failures <- r.play(playing, event) })
	}
	working.Wait()
	var all error
	for range r.schedule.Events {
		all = errors.Join(all, <-failures)
	}
	return all
}

// play plays an event at its time.
func (r *listRun) play(ctx context.Context, event ListEvent) error {
	if !sleep(ctx, time.Until(r.began.Add(event.At))) {
		return nil
	}
	switch event.Kind {
	case DrainQuarter:
		r.registry.change(discovery.Terminating, r.quarter(event.From)...)
	case RemoveQuarter:
		r.registry.change(discovery.Gone, r.quarter(event.From)...)
	case DrainOneByOne:
		for _, endpoint := range r.quarter(event.From) {
			r.registry.change(discovery.Terminating, endpoint)
			if !sleep(ctx, oneByOneInterval) {
				return nil
			}
		}
	case ReturnAll:
		r.registry.change(discovery.Ready, r.registry.withdrawn()...)
	case ResetWatches:
		r.each((*listService).resetAll)
	case SilenceWatches:
		r.each((*listService).silenceAll)
	case ProxyEvent:
		p := r.proxies[event.Proxy]
		p.playing.Lock() // a restart ends before the next signal
		defer p.playing.Unlock()
		return p.play(ctx, event.Then)
	default:
		r.disturbServices(ctx, event)
	}
	return nil
}

// disturbServices has the services of all proxies misbehave for a while.
func (r *listRun) disturbServices(ctx context.Context, event ListEvent) {
	set := func(on bool) func(*listFaults) {
		return func(f *listFaults) {
			switch event.Kind {
			case ServiceDown:
				f.unreachable = on
			case ServiceCrowded:
				f.crowded = on
			case ServiceSlow:
				f.piecePause = map[bool]time.Duration{true: slowPiecePause}[on]
			case ServiceCuts:
				f.cutAt = map[bool]int{true: r.schedule.CutAt}[on]
			case ServiceLags:
				f.lagging = on
			}
		}
	}
	r.each(func(s *listService) { s.setFaults(set(true)) })
	if event.Kind != ServiceSlow {
		r.each((*listService).resetAll)
	}
	if event.For > 0 && sleep(ctx, event.For) {
		r.each(func(s *listService) { s.setFaults(set(false)) })
	}
}

func (r *listRun) each(do func(*listService)) {
	for _, service := range r.services {
		do(service)
	}
}

// quarter returns the endpoints whose number leaves a remainder by four.
func (r *listRun) quarter(remainder int) (endpoints []int) {
	for i := remainder % quarters; i < r.schedule.Endpoints; i += quarters {
		endpoints = append(endpoints, i)
	}
	return endpoints
}

// ask has one client ask a proxy until ctx ends, over one connection as long as that goes on.
func (r *listRun) ask(ctx context.Context, index int) {
	for ctx.Err() == nil {
		r.askOnConnection(ctx, index)
		sleep(ctx, listReconnection)
	}
}

func (r *listRun) askOnConnection(ctx context.Context, index int) {
	conn, err := net.Dial("tcp", r.proxies[index].address)
	if err != nil {
		return // between two processes
	}
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for ctx.Err() == nil {
		_ = conn.SetDeadline(time.Now().Add(listTimeout + time.Second)) // fails only once it is closed
		_, err := fmt.Fprintf(conn, "GET %s%d HTTP/1.1\r\nHost: x\r\nReq-Id: %016x\r\nReq-Kind: read\r\n\r\n",
			listRequestPath, index, rand.Uint64())
		if err != nil {
			return
		}
		response, err := http.ReadResponse(reader, nil)
		if err != nil {
			return // what is lost is judged by the runs of two tiers
		}
		_, _ = io.Copy(io.Discard, response.Body) // an error shows with the next request
		r.answered(index, response.StatusCode)
		if response.Close {
			return
		}
		sleep(ctx, listPause)
	}
}

func (r *listRun) answered(index, status int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.statuses[status]++
	if _, known := r.firstOK[index]; !known && status == http.StatusOK {
		r.firstOK[index] = time.Since(r.began)
	}
}

// settle compares the accounts.
func (r *listRun) settle() (*ListResult, error) {
	late := r.lateArrivals()
	result := &ListResult{
		Seed:      r.schedule.Seed,
		Endpoints: r.schedule.Endpoints,
		Proxies:   r.schedule.Proxies,
		Requests:  len(r.farm.arrivals),
		Late:      len(late),
		Statuses:  r.statuses,
		Breaks:    r.listBreaks(late),
	}
	for index, p := range r.proxies {
		result.Counted += r.countedSends(index)
		result.FirstOK = max(result.FirstOK, r.firstOK[index])
		breaks, injected, err := p.finish()
		if err != nil {
			return nil, err
		}
		result.Breaks = append(result.Breaks, breaks...)
		result.Injected += len(injected)
	}
	if result.Counted > 0 {
		result.Breaks = append(result.Breaks, Break{
			Rule: fmt.Sprintf("the proxies have counted %d requests to withdrawn endpoints", result.Counted),
		})
	}
	return result, nil
}

// countedSends returns what a proxy itself has counted of requests to withdrawn endpoints.
func (r *listRun) countedSends(index int) int64 {
	client := http.Client{Timeout: reportTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get("http://" + r.management[index] + "/ops/faults")
	if err != nil {
		return 0 // its calls fail too
	}
	defer response.Body.Close()
	var report struct {
		Pools map[string]map[string]json.RawMessage `json:"pools"`
	}
	if json.NewDecoder(response.Body).Decode(&report) != nil {
		return 0
	}
	var total int64
	for _, pool := range report.Pools {
		var counted int64
		if json.Unmarshal(pool[reportedCounter], &counted) == nil {
			total += counted
		}
	}
	return total
}

func (r *listRun) close() {
	for _, p := range r.proxies {
		if p.command != nil {
			p.kill()
		}
	}
	r.each((*listService).close)
	if r.farm != nil {
		r.farm.close()
	}
	if r.reserved != nil {
		r.reserved.Release()
	}
}

// sleep waits, and reports false if ctx has ended before.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}
