package soak

import (
	"context"
	"errors"
	"fmt"
	"math"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"ryerill/lab/ports"
	"ryerill/lab/syscallfault"
)

const (
	outageLength = 1500 * time.Millisecond
	quietTime    = 1500 * time.Millisecond // after which a proxy holds no descriptors of requests any more
	recoveryTime = 10 * time.Second
	maxKept      = 70 // descriptors that a quiet proxy holds at most: reserves, idle connections
)

// Options are what a run needs.
type Options struct {
	Proxy      string // the program
	Laboratory string // the program that makes its calls fail
	Directory  string // for files of the run, which stay
}

// run is one run.
type run struct {
	schedule  *Schedule
	account   *account
	reserved  *ports.Reservation // of the proxies' addresses, by index
	endpoints []*endpoint
	directory []*directory // by tier
	proxies   []*proxy     // front proxies first
	began     time.Time
}

// Play plays a schedule and compares the accounts. An error means that the run could not be played.
func Play(ctx context.Context, schedule *Schedule, options Options) (*Result, error) {
	if err := os.RemoveAll(options.Directory); err != nil { // of an earlier run
		return nil, err
	}
	r := &run{schedule: schedule, account: newAccount()}
	defer r.close()
	if err := r.build(options); err != nil {
		return nil, err
	}
	for index := frontProxies; index < frontProxies+backProxies; index++ {
		r.account.backs = append(r.account.backs, r.proxyOf(index))
	}
	r.began = time.Now()
	if err := startAll(ctx, r.proxies); err != nil {
		return nil, withLogs(err, r.proxies)
	}
	if err := r.load(ctx); err != nil {
		return nil, withLogs(err, r.proxies)
	}
	result := r.account.settle(r.began)
	result.Seed = schedule.Seed
	result.Breaks = append(result.Breaks, r.keptDescriptors()...)
	result.Breaks = append(result.Breaks, r.silentProxies()...)
	for _, p := range r.proxies {
		breaks, injected, err := p.finish()
		if err != nil {
			return nil, err
		}
		result.Breaks = append(result.Breaks, breaks...)
		result.Injected += len(injected)
		r.addInjections(&result, p, injected)
	}
	return &result, nil
}

// build makes the stand-ins and the proxies' files.
func (r *run) build(options Options) error {
	var err error
	r.reserved, err = ports.Reserve(frontProxies + backProxies)
	if err != nil {
		return err
	}
	var addresses []string
	for i := range endpoints {
		e, err := startEndpoint(i, r.schedule, r.account)
		if err != nil {
			return err
		}
		r.endpoints = append(r.endpoints, e)
		addresses = append(addresses, e.address)
	}
	back, err := r.buildTier(addresses, options, frontProxies, frontProxies+backProxies)
	if err != nil {
		return err
	}
	_, err = r.buildTier(back, options, 0, frontProxies)
	return err
}

// buildTier makes a tier of proxies with its discovery service, and returns their addresses.
func (r *run) buildTier(upstream []string, options Options, from, to int) (addresses []string, err error) {
	d, err := startDirectory(upstream, r.schedule.Silent)
	if err != nil {
		return nil, err
	}
	r.directory = append(r.directory, d)
	for index := from; index < to; index++ {
		address := r.reserved.Addresses[index].String()
		configuration, err := tierConfiguration(index, address, d.address)
		if err != nil {
			return nil, err
		}
		p, err := newProxy(index, options, &r.schedule.Plans[index], address, d.address, configuration)
		if err != nil {
			return nil, err
		}
		r.proxies = append(r.proxies, p)
		addresses = append(addresses, p.address)
	}
	return addresses, nil
}

// startAll starts proxies at once.
func startAll(ctx context.Context, proxies []*proxy) error {
	failures := make(chan error, len(proxies))
	for _, p := range proxies {
		go func() { failures <- p.start(ctx) }()
	}
	var all error
	for range proxies {
		all = errors.Join(all, <-failures)
	}
	return all
}

// load has clients ask the front proxies while the schedule is played.
func (r *run) load(ctx context.Context) error {
	playing, stop := context.WithTimeout(ctx, r.schedule.Length)
	defer stop()
	var working sync.WaitGroup
	for _, p := range r.proxies {
		if p.index >= frontProxies {
			continue
		}
		crowded := r.schedule.Crowd && p.index == 0
		if crowded {
			working.Go(func() { crowd(playing, p.address) })
		}
		for range clientsOfProxy {
			working.Go(func() {
				c := &client{proxy: p, account: r.account, crowded: crowded, seed: r.schedule.Seed}
				c.run(playing)
			})
		}
	}
	failures := make(chan error, len(r.schedule.Signals))
	for _, signal := range r.schedule.Signals {
		working.Go(func() {
			time.Sleep(time.Until(r.began.Add(signal.At)))
			failures <- r.proxyOf(signal.Proxy).play(ctx, signal.Kind)
		})
	}
	if r.schedule.Outage > 0 {
		working.Go(r.playOutage)
	}
	working.Wait()
	var all error
	for range r.schedule.Signals {
		all = errors.Join(all, <-failures)
	}
	return all
}

// proxyOf returns a proxy by its index.
func (r *run) proxyOf(index int) *proxy {
	for _, p := range r.proxies {
		if p.index == index {
			return p
		}
	}
	return nil
}

// playOutage takes discovery down for a while.
func (r *run) playOutage() {
	time.Sleep(time.Until(r.began.Add(r.schedule.Outage)))
	for _, d := range r.directory {
		d.down.Store(true)
	}
	time.Sleep(outageLength)
	for _, d := range r.directory {
		d.down.Store(false)
	}
}

// keptDescriptors returns a break for each proxy that holds more descriptors than it should when all is quiet.
func (r *run) keptDescriptors() (breaks []Break) {
	time.Sleep(quietTime)
	for _, p := range r.proxies {
		open, err := p.openDescriptors()
		if err == nil && open > maxKept {
			breaks = append(breaks, Break{
				Rule:     fmt.Sprintf("proxy %d holds %d descriptors when all is quiet", p.index, open),
				Timeline: []string{string(p.log)},
			})
		}
	}
	return breaks
}

// silentProxies returns a break for each front proxy that serves nothing any more once all trouble is over.
func (r *run) silentProxies() (breaks []Break) {
	for _, p := range r.proxies {
		if p.index < frontProxies && !p.serves(time.Now().Add(recoveryTime)) {
			breaks = append(breaks, Break{
				Rule:     fmt.Sprintf("proxy %d serves nothing once all is quiet", p.index),
				Timeline: []string{string(p.log)},
			})
		}
	}
	return breaks
}

// serves reports whether the proxy serves a request until a deadline.
func (p *proxy) serves(deadline time.Time) bool {
	for time.Now().Before(deadline) {
		c := &client{proxy: p, account: newAccount(), seed: math.MaxUint32}
		if c.connect() {
			c.ask()
			c.disconnect()
		}
		for _, r := range c.account.requests {
			if r.status == http.StatusOK {
				return true
			}
		}
		time.Sleep(quietTime / 10)
	}
	return false
}

func (r *run) close() {
	for _, p := range r.proxies {
		if p.command != nil {
			p.kill()
		}
	}
	for _, d := range r.directory {
		d.close()
	}
	for _, e := range r.endpoints {
		e.close()
	}
	if r.reserved != nil {
		r.reserved.Release()
	}
}

// withLogs adds the proxies' logs to an error.
func withLogs(err error, proxies []*proxy) error {
	var text strings.Builder
	for _, p := range proxies {
		p.mu.Lock()
		fmt.Fprintf(&text, "\nproxy %d:\n%s", p.index, p.log)
		p.mu.Unlock()
	}
	return fmt.Errorf("%w%s", err, text.String())
}

// finish ends a proxy after a run. It returns the break that an end by itself is, and what was injected.
func (p *proxy) finish() (breaks []Break, injected []syscallfault.Injection, err error) {
	p.kill()
	if p.crashed != nil {
		breaks = append(breaks, Break{Rule: p.crashed.Error(), Timeline: []string{string(p.log)}})
	}
	injected, err = readInjections(p)
	return breaks, injected, err
}

// readInjections reads what was injected at a proxy.
func readInjections(p *proxy) ([]syscallfault.Injection, error) {
	file, err := os.Open(p.recordFile())
	if err != nil {
		return nil, err
	}
	defer file.Close()
	return syscallfault.ReadInjections(file)
}

// addInjections adds to the timelines of breaks what was injected at a proxy meanwhile.
func (r *run) addInjections(result *Result, p *proxy, injected []syscallfault.Injection) {
	for i := range result.Breaks {
		b := &result.Breaks[i]
		if b.until.IsZero() {
			continue
		}
		for _, injection := range injected {
			if injection.Time.Before(b.from) || injection.Time.After(b.until) {
				continue
			}
			b.Timeline = append(b.Timeline, fmt.Sprintf("%8.3f proxy %d: %s of %s %d: %s %s",
				injection.Time.Sub(r.began).Seconds(), p.index, injection.Call, injection.Kind, injection.Descriptor,
				injection.Error, injection.Delay))
		}
	}
}

// openDescriptors returns how many descriptors the running process holds.
func (p *proxy) openDescriptors() (int, error) {
	children, err := os.ReadFile(fmt.Sprintf("/proc/%d/task/%d/children", p.command.Process.Pid, p.command.Process.Pid))
	if err != nil {
		return 0, err
	}
	for child := range strings.FieldsSeq(string(children)) {
		entries, err := os.ReadDir(filepath.Join("/proc", child, "fd"))
		if err == nil {
			return len(entries), nil
		}
	}
	return 0, os.ErrNotExist
}
