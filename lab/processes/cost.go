package processes

import (
	"context"
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Cost is what one copy took over a span.
type Cost struct {
	PerRequest time.Duration // of processor time, at load
	Idle       time.Duration // a second, without any request
	Requests   int
}

// ticks of processor time that a second has, as /proc counts.
const ticks = 100

// cpu is the processor time that a process has taken.
func cpu(pid int) (time.Duration, error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, err
	}
	_, rest, _ := strings.Cut(string(text), ") ")
	fields := strings.Fields(rest)
	if len(fields) < 13 {
		return 0, fmt.Errorf("process %d: its times can't be read", pid)
	}
	user, err1 := strconv.Atoi(fields[11])
	system, err2 := strconv.Atoi(fields[12])
	if err1 != nil || err2 != nil {
		return 0, fmt.Errorf("process %d: its times can't be read", pid)
	}
	return time.Duration(user+system) * time.Second / ticks, nil
}

// MeasureCost starts a fleet, leaves it idle for a span, and then drives one of its
// copies for another.
func MeasureCost(ctx context.Context, opt Options, span time.Duration, perSecond int) (c Cost, err error) {
	f, err := Start(ctx, opt)
	if err != nil {
		return c, err
	}
	defer f.Close()
	f.Ledger.Work(0)
	time.Sleep(5 * time.Second) // until all know all
	pid := f.Replicas[0].Pid()
	a, err := cpu(pid)
	if err != nil {
		return c, err
	}
	time.Sleep(span)
	b, err := cpu(pid)
	if err != nil {
		return c, err
	}
	load, stop := context.WithTimeout(ctx, span)
	defer stop()
	var all sync.WaitGroup
	all.Add(1)
	go func() { defer all.Done(); f.Drive(load, 0, perSecond) }()
	all.Wait()
	d, err := cpu(pid)
	if err != nil {
		return c, err
	}
	c.Requests = f.Ledger.Sum().Served
	c.Idle = time.Duration(float64(b-a) / span.Seconds())
	c.PerRequest = (d - b) / time.Duration(max(c.Requests, 1))
	return c, nil
}
