package soak

import (
	"fmt"
	"slices"
	"time"
)

// maxListBreaks is how many breaks of a run have a timeline of their own.
const maxListBreaks = 3

// lateArrival is a request at an endpoint that was withdrawn, after the grace.
type lateArrival struct {
	arrival
	change endpointChange
	told   time.Time
	late   time.Duration // beyond the grace
}

// lateArrivals compares what came to the endpoints with what the services told.
func (r *listRun) lateArrivals() (late []lateArrival) {
	r.farm.mu.Lock()
	arrivals := slices.Clone(r.farm.arrivals)
	r.farm.mu.Unlock()
	for _, a := range arrivals {
		change := r.registry.changeAt(a.endpoint, a.at)
		if !change.isWithdrawal() {
			continue
		}
		told := r.services[a.proxy].told(a.endpoint, change, r.proxies[a.proxy].beganBefore(a.at))
		by := a.at.Sub(told) - drainGrace - listTolerance
		if by > 0 {
			late = append(late, lateArrival{arrival: a, change: change, told: told, late: by})
		}
	}
	return late
}

// listBreaks describes late arrivals: the first ones each with the timeline of its endpoint, and their number.
func (r *listRun) listBreaks(late []lateArrival) (breaks []Break) {
	if len(late) == 0 {
		return nil
	}
	worst := slices.MaxFunc(late, func(a, b lateArrival) int { return int(a.late - b.late) })
	breaks = append(breaks, Break{Rule: fmt.Sprintf("%d requests to withdrawn endpoints after the grace, up to %v late",
		len(late), worst.late.Round(time.Millisecond))})
	for _, l := range late[:min(len(late), maxListBreaks)] {
		breaks = append(breaks, r.describeLate(l))
	}
	return breaks
}

func (r *listRun) describeLate(l lateArrival) Break {
	from := l.change.at
	service := r.services[l.proxy]
	lines := []string{
		fmt.Sprintf("%8.3f (%.3f of the run) endpoint %d becomes %s, version %d", 0.0, from.Sub(r.began).Seconds(),
			l.endpoint, l.change.status, l.change.version),
		fmt.Sprintf("%8.3f proxy %d counts as told", l.told.Sub(from).Seconds(), l.proxy),
		fmt.Sprintf("%8.3f a request arrives there", l.at.Sub(from).Seconds()),
	}
	lines = append(lines, service.timeline(from, l.at)...)
	return Break{
		Rule: fmt.Sprintf("endpoint %d got a request %v after the grace", l.endpoint,
			l.late.Round(time.Millisecond)),
		Timeline: append(lines, string(r.proxies[l.proxy].logText())),
		from:     from,
		until:    l.at,
	}
}

// beganBefore returns when the process began that made a request at a time.
func (p *proxy) beganBefore(t time.Time) (began time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, l := range p.lives {
		if l.began.Before(t) {
			began = l.began
		}
	}
	return began
}

func (p *proxy) logText() []byte {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.log)
}
