package sim

import (
	"slices"
	"time"

	"ryerill/balancer"
)

// directory lists the providers of a tier, late. It answers calls in turn and
// tells watchers of changes.
type directory struct {
	s       *Sim
	tier    *tier
	entries []balancer.Endpoint
	index   map[balancer.EndpointID]int
	changed []uint64 // by entry: the version of its latest change
	version uint64
	busy    time.Duration // until when calls are waiting
	down    bool
	watches []*proxy
}

// spread is the longest time that a change takes to a watcher beyond the network's.
const spread = 200 * time.Millisecond

// silence is how long a watch must be quiet until its proxy notices.
const silence = 3200 * time.Millisecond

func newDirectory(s *Sim, t *tier) *directory {
	return &directory{s: s, tier: t, index: map[balancer.EndpointID]int{}}
}

// know takes in what has become of a provider and tells the watchers.
func (d *directory) know(p *provider, state balancer.EndpointState) {
	e := balancer.Endpoint{ID: p.id, State: state, Zone: p.zone, Cell: p.group, Weight: 1}
	if p.started > 0 {
		e.StartedAt = epoch + p.started
	}
	d.version++
	i, ok := d.index[p.id]
	if !ok {
		i = len(d.entries)
		d.index[p.id] = i
		d.entries, d.changed = append(d.entries, e), append(d.changed, 0)
	}
	d.entries[i], d.changed[i] = e, d.version
	if d.down {
		return
	}
	for _, w := range d.watches {
		d.tell(w, time.Duration(d.s.net.Float64()*float64(spread)))
	}
}

// tell gives a watcher what has changed since it was last told, some time later.
func (d *directory) tell(w *proxy, wait time.Duration) {
	d.s.after(d.s.delay(-1, 0)+wait, func() {
		if !w.alive || d.down || !slices.Contains(d.watches, w) || w.version == d.version {
			return
		}
		var list []balancer.Endpoint
		for i, v := range d.changed {
			if v > w.version {
				list = append(list, d.entries[i])
			}
		}
		w.version = d.version
		w.listed(balancer.ListChanges, list)
	})
}

// all returns the whole list, with what is gone.
func (d *directory) all() []balancer.Endpoint { return slices.Clone(d.entries) }

// subscribe asks for the whole list and its changes from then on.
func (d *directory) subscribe(p *proxy, on bool) {
	d.watches = slices.DeleteFunc(d.watches, func(w *proxy) bool { return w == p })
	if on {
		d.call(p, true)
	}
}

func (d *directory) fetch(p *proxy) { d.call(p, false) }

// call answers in turn; a call that would wait too long fails.
func (d *directory) call(p *proxy, watch bool) {
	s := d.s
	s.rec.Count("directory_calls", 1)
	start := max(s.now, d.busy)
	if limit := s.w.Discovery.Timeout; d.down || start-s.now > limit {
		s.after(limit, func() { d.failed(p) })
		return
	}
	d.busy = start + time.Duration(float64(time.Second)/s.w.Discovery.Capacity)
	s.at(d.busy+s.delay(-1, 0), func() {
		if !p.alive {
			return
		}
		if d.down {
			d.failed(p)
			return
		}
		p.version = d.version
		if watch && !slices.Contains(d.watches, p) {
			d.watches = append(d.watches, p)
		}
		p.listed(balancer.ListFull, d.all())
	})
}

func (d *directory) failed(p *proxy) {
	s := d.s
	s.rec.Count("directory_failed", 1)
	p.happen(balancer.Event{Kind: balancer.EndpointListUpdated, ListKind: balancer.ListFailed})
}

// silent makes the directory answer nothing, or lets it answer again.
func (d *directory) silent(on bool) {
	d.down = on
	if !on {
		return
	}
	watches := d.watches
	d.watches = nil
	for _, w := range watches {
		d.s.after(silence, func() { d.failed(w) })
	}
}
