package chaos

import (
	"fmt"
	"math/rand/v2"
	"time"

	"ryerill/fleet/membership"
	"ryerill/lab/faultnet"
	"ryerill/lab/membershipsim"
)

const (
	stepLength    = 100 * time.Millisecond // of virtual time, between two checks
	virtualStream = 22                     // of the seed
	lateStart     = 4 * time.Second        // of the replicas beyond those that the configuration states

	// So many replicas more than the configuration states join later, unless the fleet is
	// too large for all to have met by then.
	extraReplicas         = 2
	maxWithExtraReplicas  = 30
	minConfiguredReplicas = 2
)

// Stats are the statistics of a run in virtual time. proxy-lab prints them with the names
// of their fields.
type Stats struct {
	Copies, Steps     int
	Length            time.Duration
	Agreed            time.Duration // after the last fault's end, until all knew all
	Deaths, Suspected int           // changes that any replica saw
	Plans, Done       int
	Datagrams         uint64
}

// virtual is one run in virtual time.
type virtual struct {
	sim        *membershipsim.Sim
	replicas   []*virtualReplica
	rng        *rand.Rand
	mutation   Mutation
	stats      Stats
	violation  *Violation // the first one
	lastFault  time.Duration
	configured int // replicas that the configuration states

	planCosts map[string]float64 // of the goodput, by target
	zoneCosts [zones]float64     // of the goodput, now
}

// Play runs a schedule in virtual time. It returns the first violation, or nil. Equal
// schedules have equal results.
func Play(s Schedule, mutation Mutation) (Stats, *Violation) {
	net := faultnet.New(membershipsim.Lan, s.Seed)
	v := &virtual{
		sim:        membershipsim.New(s.Replicas, net, s.Seed),
		rng:        rand.New(rand.NewPCG(s.Seed, virtualStream)),
		mutation:   mutation,
		stats:      Stats{Copies: s.Replicas, Steps: len(s.Steps), Length: s.Length},
		configured: max(s.Replicas-extraReplicas, minConfiguredReplicas),
		planCosts:  map[string]float64{},
	}
	if s.Replicas > maxWithExtraReplicas {
		v.configured = s.Replicas
	}
	v.sim.OnChange = v.countChange
	v.sim.Configure = func(index int, c *membership.Config) {
		c.Tags.SettingsHash = v.replicas[index].version
		c.Tags.Phase = membership.Starting
	}
	v.startAll()
	v.scheduleFaults(s.Steps)
	for v.sim.Now < max(v.lastFault, s.Length) && v.violation == nil {
		v.step()
	}
	v.awaitRecovery()
	v.stats.Datagrams = net.Total.Frames
	return v.stats, v.violation
}

func (v *virtual) countChange(c membershipsim.Change) {
	switch c.Record.Status {
	case membership.Dead:
		v.stats.Deaths++
	case membership.Suspect:
		v.stats.Suspected++
	}
}

// startAll starts the replicas that the configuration states, and has the others start
// once these have met.
func (v *virtual) startAll() {
	for i, replica := range v.sim.Replicas {
		v.replicas = append(v.replicas, &virtualReplica{
			Replica:         replica,
			index:           i,
			version:         firstVersion,
			previousVersion: firstVersion,
		})
	}
	for i := range v.replicas {
		if i < v.configured {
			v.start(i)
		} else {
			v.sim.At(lateStart, func() { v.start(i) })
		}
	}
}

func (v *virtual) scheduleFaults(steps []Step) {
	for _, step := range steps {
		v.sim.At(step.At, func() { v.begin(&step) })
		v.lastFault = max(v.lastFault, step.At)
		if step.hasVirtualEnd() {
			end := step.At + step.Duration
			v.sim.At(end, func() { v.end(&step) })
			v.lastFault = max(v.lastFault, end)
		}
	}
}

// fail records the first violation.
func (v *virtual) fail(rule, format string, args ...any) {
	if v.violation == nil {
		v.violation = &Violation{At: v.sim.Now, Rule: rule, Text: fmt.Sprintf(format, args...)}
	}
}

// step plays a step: membership by itself, and then the rest of each replica, as the host
// does.
func (v *virtual) step() {
	v.sim.Run(v.sim.Now + stepLength)
	v.sim.UpdatePlacements(v.configured)
	reportsDue := v.sim.Now%time.Second < stepLength
	for _, replica := range v.replicas {
		if replica.runs() {
			v.tick(replica, reportsDue)
		}
	}
	v.check()
}

// indexOf returns the index of the replica of a name, or -1.
func (v *virtual) indexOf(name string) int {
	var index int
	if _, err := fmt.Sscanf(name, "m%d", &index); err != nil || index >= len(v.replicas) {
		return -1
	}
	return index
}
