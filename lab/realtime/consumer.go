package realtime

import (
	"context"
	"errors"
	"net/http"
	"time"

	"ryerill/lab/load"
	"ryerill/lab/metrics"
)

// choose picks the front's next proxy for a zone: its own, or any if there is none.
func (r *run) choose(zone int) *instance {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, any := range []bool{false, true} {
		for range r.slots {
			r.turn[zone]++
			k := r.turn[zone] % len(r.slots)
			if r.slots[k] != nil && (any || r.slotOf[k] == zone) {
				return r.slots[k]
			}
		}
	}
	return nil
}

// first asks a first try with all its retries, as its consumer does.
func (r *run) first(ctx context.Context, q *load.Request) {
	c := &r.w.Classes[q.Class]
	late := time.Since(r.began) - q.At
	r.mu.Lock()
	r.late = append(r.late, late)
	r.rec.Count("first_tries", 1)
	r.moment.Asked++
	r.mu.Unlock()
	until := r.began.Add(q.At + c.Deadline)
	harmless := c.Effect == "safe" || c.Effect == "keyed" && c.Group == "all"
	last := metrics.TimedOut
	for try := 1; ; try++ {
		v, again, wait, useful := r.try(ctx, q, until, try, harmless)
		last = v
		if v <= metrics.Late {
			r.final(q, v, useful)
			return
		}
		if !again || try > r.w.Clients.Retries || time.Now().Add(wait).After(until) || ctx.Err() != nil {
			break
		}
		time.Sleep(wait)
	}
	r.final(q, last, 0)
}

// try asks once. It tells whether trying again is harmless, and after what wait.
func (r *run) try(ctx context.Context, q *load.Request, until time.Time, number int, harmless bool) (v metrics.Outcome, again bool, wait time.Duration, useful float64) {
	c := &r.w.Classes[q.Class]
	wait = r.w.Clients.Wait
	now := time.Now()
	left := min(time.Duration(r.w.Clients.Try*float64(c.Deadline)), until.Sub(now))
	r.count("tries", 1)
	if left <= 0 {
		return metrics.TimedOut, false, wait, 0
	}
	inst := r.choose(q.Zone)
	if inst == nil {
		return metrics.Failed, true, wait, 0
	}
	way := r.way(-1, 0)
	time.Sleep(way())
	id := r.newID(inst.number)
	sent := time.Now()
	r.took(inst.number, id, q.Class, sent, left)
	a, err := inst.caller.ask(ctx, inst.address, request(c.Name, c.EffectKind(), id, r.w.Tenants[q.Tenant].Name, left, q.Key, q.Work, number > 1),
		sent.Add(left+r.patience()))
	r.answered(inst.number, id, q.Class, a, err, ctx.Err() != nil)
	if err != nil {
		if errors.Is(err, errUnreachable) {
			return metrics.Failed, true, wait, 0
		}
		if isTimeout(err) {
			return metrics.TimedOut, harmless, wait, 0
		}
		return metrics.Failed, harmless, wait, 0
	}
	time.Sleep(way())
	if time.Since(now) > left { // the consumer's own clock: it has given this try up
		return metrics.TimedOut, harmless, wait, 0
	}
	switch a.status {
	case http.StatusOK:
		if time.Since(r.began)-q.At <= c.LatencyObjective {
			return metrics.OnTime, false, 0, usefulWork(a.body)
		}
		return metrics.Late, false, 0, usefulWork(a.body)
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		r.mu.Lock()
		r.rec.Count("refusals", 1)
		if a.retryAfter > 0 && r.who.Float64() < r.w.Clients.Honour {
			wait = min(a.retryAfter, r.w.Rules.MaxRetryAfter)
		}
		r.mu.Unlock()
		return metrics.Shed, true, wait, 0
	}
	return metrics.Failed, harmless, wait, 0
}

func (r *run) final(q *load.Request, v metrics.Outcome, useful float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	took := time.Since(r.began) - q.At
	r.rec.Final(q, v, took)
	switch v {
	case metrics.OnTime, metrics.Late:
		r.rec.Count("work_useful", useful)
		r.moment.Served++
		r.recent = append(r.recent, took)
	case metrics.Shed:
		r.moment.Refused++
	default:
		r.moment.Failed++
	}
}
