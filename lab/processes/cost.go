package processes

import (
	"context"
	"time"
)

// settleTime is how long a fleet that has started takes until all know all.
const settleTime = 5 * time.Second

// Cost is the processor time that one replica took.
type Cost struct {
	PerRequest time.Duration // under load
	Idle       time.Duration // a second, without any request
	Requests   int
}

// MeasureCost starts a fleet, leaves it idle for a span, and then sends requests to one of
// its replicas for another.
func MeasureCost(ctx context.Context, opt Options, span time.Duration, perSecond int) (c Cost, err error) {
	f, err := Start(ctx, opt)
	if err != nil {
		return c, err
	}
	defer f.Close()
	f.Ledger.SetServiceTime(0)
	time.Sleep(settleTime)
	pid := f.Replicas[0].Pid()
	beforeIdle, err := processorTime(pid)
	if err != nil {
		return c, err
	}
	time.Sleep(span)
	beforeLoad, err := processorTime(pid)
	if err != nil {
		return c, err
	}
	load, stop := context.WithTimeout(ctx, span)
	defer stop()
	f.Drive(load, 0, perSecond)
	afterLoad, err := processorTime(pid)
	if err != nil {
		return c, err
	}
	c.Requests = f.Ledger.Sum().Served
	c.Idle = time.Duration(float64(beforeLoad-beforeIdle) / span.Seconds())
	c.PerRequest = (afterLoad - beforeLoad) / time.Duration(max(c.Requests, 1))
	return c, nil
}
