package chaos

import (
	"context"
	"fmt"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"

	"ryerill/config"
	"ryerill/lab/faultnet"
	"ryerill/lab/processes"
)

const (
	endpoints      = 6
	requestsSecond = 15 // to each replica

	processPlanTimeout = 3 * time.Minute
	pollInterval       = 100 * time.Millisecond
	quotaCheckInterval = 500 * time.Millisecond

	recoveryTime   = 2 * time.Second // after the last fault's end: two latency objectives
	recoveredPart  = 0.95            // of the goodput before the first fault
	measuredPeriod = 3 * time.Second

	maxMoreFiles  = 24 // descriptors that a replica may hold more at the end
	maxResidentMB = 64
	maxCrashText  = 2000 // bytes of the log from a panic on
)

// Processes runs a schedule on real processes of the program that command starts, under
// load. It returns the sum of the ledger and the first violation, or nil. Progress is
// called with a line about each fault, from several goroutines.
func Processes(
	ctx context.Context, s Schedule, command []string, progress func(string),
) (sum processes.Sum, violation *Violation, err error) {
	dir, err := os.MkdirTemp("", "ryerill-night")
	if err != nil {
		return sum, nil, err
	}
	defer func() {
		_ = os.RemoveAll(dir) // what stays behind is in the folder for temporary files
	}()
	service, err := startDiscovery()
	if err != nil {
		return sum, nil, err
	}
	defer service.close()
	f, err := processes.Start(ctx, fleetOptions(s, command, dir, service))
	if err != nil {
		return sum, nil, err
	}
	defer f.Close()
	r := &processRun{fleet: f, discovery: service, startedAt: time.Now(), progress: progress}
	stopLoad := r.startLoad(ctx)
	defer stopLoad()
	if !until(ctx, agreeTimeout, r.agree) {
		r.fail(ruleViewsAgree, "not even at the start: %s", r.describeViews())
		return sum, r.violation(), nil
	}
	filesBefore := r.openFiles()
	pause(ctx, measuredPeriod)
	usualGoodput, _ := f.Ledger.Served(time.Now().Add(-measuredPeriod), time.Now())
	r.startedAt = time.Now()
	r.injectFaults(ctx, s)
	if err := r.endFaults(ctx); err != nil {
		r.fail(ruleReplicaStarts, "%v", err)
		return f.Ledger.Sum(), r.violation(), nil
	}
	endedAt := time.Now()
	r.checkRecovery(ctx, endedAt, usualGoodput)
	progress(fmt.Sprintf("at rest %v after the last trouble", time.Since(endedAt).Round(10*time.Millisecond)))
	stopLoad()
	sum = f.Ledger.Sum()
	r.checkLedger(&sum)
	r.checkProcesses(filesBefore)
	return sum, r.violation(), nil
}

// fleetOptions describe a fleet that shares all state, has a tenant with a quota, and watches a discovery service.
func fleetOptions(s Schedule, command []string, dir string, service *discoveryService) processes.Options {
	return processes.Options{
		Command:   command,
		Dir:       dir,
		Replicas:  s.Replicas,
		Endpoints: endpoints,
		Change: func(_ int, file *config.File) {
			file.Fleet.Sharing = &config.SharingFile{Quotas: true, Counters: true, Evidence: true}
			file.Pools[0].Tenants = []config.TenantFile{{Name: "acme", Quota: totalQuota}}
			service.configure(&file.Pools[0])
		},
	}
}

// processRun is one run on processes.
type processRun struct {
	fleet     *processes.Fleet
	discovery *discoveryService
	startedAt time.Time // of the faults, once they are injected
	progress  func(string)
	faults    sync.WaitGroup // goroutines that inject them

	mu             sync.Mutex // guards what follows
	firstViolation *Violation
	plans          int // that were started

	changing  sync.Mutex // held while keys are rotated or a process is upgraded; guards what follows
	keyNumber int
}

// fail records the first violation.
func (r *processRun) fail(rule, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.firstViolation == nil {
		r.firstViolation = &Violation{At: time.Since(r.startedAt), Rule: rule, Text: fmt.Sprintf(format, args...)}
	}
}

// violation returns the first violation, or nil.
func (r *processRun) violation() *Violation {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.firstViolation
}

// startLoad sends requests to all replicas. The function that it returns ends that and
// waits for it; it may be called again.
func (r *processRun) startLoad(ctx context.Context) (stopLoad func()) {
	load, cancel := context.WithCancel(ctx)
	var clients sync.WaitGroup
	for i := range r.fleet.Replicas {
		clients.Add(1)
		go func() {
			defer clients.Done()
			r.fleet.Drive(load, i, requestsSecond)
		}()
	}
	return func() {
		cancel()
		clients.Wait()
	}
}

// injectFaults begins and ends each fault at its time, and checks the quota meanwhile.
func (r *processRun) injectFaults(ctx context.Context, s Schedule) {
	for _, step := range s.Steps {
		r.faults.Add(1)
		go func() {
			defer r.faults.Done()
			if !pause(ctx, step.At-time.Since(r.startedAt)) {
				return
			}
			at := time.Since(r.startedAt).Round(100 * time.Millisecond)
			r.progress(fmt.Sprintf("%v %s %v for %v", at, step.Kind, step.Replicas, step.Duration))
			r.inject(ctx, &step)
		}()
	}
	for end := r.startedAt.Add(s.Length); time.Now().Before(end) && ctx.Err() == nil; time.Sleep(quotaCheckInterval) {
		r.checkQuota()
	}
	r.faults.Wait()
}

// endFaults ends all faults, and starts the replicas that are not up.
func (r *processRun) endFaults(ctx context.Context) error {
	r.fleet.Relays.Do(func(n *faultnet.Network) {
		n.Heal()
		n.Usual(faultnet.Link{})
	})
	r.fleet.Ledger.FailEndpoint(-1)
	r.discovery.heal()
	for i, replica := range r.fleet.Replicas {
		signal(replica, syscall.SIGCONT)
		if replica.Up() {
			continue
		}
		_ = replica.Await() // a fault has ended it
		if err := r.fleet.Launch(ctx, i); err != nil {
			return err
		}
	}
	return nil
}

// signal sends a signal to a replica. One that another fault has ended is no failure.
func signal(replica *processes.Replica, s syscall.Signal) { _ = replica.Signal(s) }

// checkRecovery waits for what must come to hold after the last fault.
func (r *processRun) checkRecovery(ctx context.Context, endedAt time.Time, usualGoodput float64) {
	pause(ctx, recoveryTime+measuredPeriod+time.Second)
	if r.violation() == nil {
		r.checkGoodput(endedAt.Add(recoveryTime), usualGoodput)
	}
	switch {
	case r.violation() != nil:
	case !until(ctx, agreeTimeout, r.agree):
		r.fail(ruleViewsAgree, "after %v they are not: %s", agreeTimeout, r.describeViews())
	case !until(ctx, processPlanTimeout, r.planSettled):
		r.fail(rulePlanEnds, "after %v: %s", processPlanTimeout, r.describePlan())
	}
}

// checkGoodput checks the goodput of the measured period from a time on.
func (r *processRun) checkGoodput(from time.Time, usualGoodput float64) {
	goodput, requests := r.fleet.Ledger.Served(from, from.Add(measuredPeriod))
	r.progress(fmt.Sprintf("goodput before %.4f, and after %v %.4f of %d",
		usualGoodput, recoveryTime, goodput, requests))
	if goodput < recoveredPart*usualGoodput || requests == 0 {
		r.fail(ruleGoodputRecovers, "%.4f of %d requests are served %v after the last trouble, %.4f before the first",
			goodput, requests, recoveryTime, usualGoodput)
	}
}

// checkLedger checks that each request had one answer in time.
func (r *processRun) checkLedger(sum *processes.Sum) {
	if sum.Lost+sum.Late+sum.Repeated > 0 || sum.Failed > r.fleet.Ledger.InjectedErrors() || sum.Served == 0 {
		r.fail(ruleOneAnswer, "%+v", *sum)
	}
}

// openFiles returns how many descriptors each replica holds, by name.
func (r *processRun) openFiles() map[string]int {
	files := map[string]int{}
	for _, replica := range r.fleet.Replicas {
		files[replica.Name] = processes.OpenFiles(replica.Pid())
	}
	return files
}

// checkProcesses checks that no replica has crashed or holds much more than before.
func (r *processRun) checkProcesses(filesBefore map[string]int) {
	filesNow := r.openFiles()
	for _, replica := range r.fleet.Replicas {
		name := replica.Name
		log := replica.Log()
		if i := strings.Index(log, "panic"); i >= 0 {
			r.fail(ruleReplicaCrashes, "%s: %s", name, log[i:min(len(log), i+maxCrashText)])
		}
		if filesNow[name] > filesBefore[name]+maxMoreFiles {
			r.fail(ruleNoResourceGrowth, "%s holds %d descriptors, %d before", name, filesNow[name], filesBefore[name])
		}
		if mb := processes.ResidentMB(replica.Pid()); mb > maxResidentMB {
			r.fail(ruleNoResourceGrowth, "%s holds %d MB", name, mb)
		}
	}
}

// until waits until a condition holds. It returns false after a timeout, or once ctx ends.
func until(ctx context.Context, timeout time.Duration, holds func() bool) bool {
	for end := time.Now().Add(timeout); !holds(); time.Sleep(pollInterval) {
		if time.Now().After(end) || ctx.Err() != nil {
			return false
		}
	}
	return true
}

// pause waits. It returns false if ctx ends before.
func pause(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(max(d, 0)):
		return true
	}
}
