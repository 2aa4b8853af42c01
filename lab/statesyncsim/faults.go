package statesyncsim

import (
	"time"

	"ryerill/lab/faultnet"
	"ryerill/lab/scenario"
)

// networkFault is a fault of the network between replicas, from one time to another.
type networkFault struct {
	from, to time.Duration
	apply    func(*faultnet.Network)
	active   bool
}

// networkFaults returns a scenario's faults between proxies.
func networkFaults(sc *scenario.Scenario, replicaCount int) []networkFault {
	var faults []networkFault
	for _, fault := range sc.Faults {
		if !fault.BetweenProxies() {
			continue
		}
		from := simulationStart + fault.At
		faults = append(faults, networkFault{
			from:  from,
			to:    from + fault.For,
			apply: networkChange(&fault, affected(fault.Fraction, replicaCount)),
		})
	}
	return faults
}

// affected returns the names of a fraction of the replicas, of one at least.
func affected(fraction float64, replicaCount int) (names []string) {
	for i := range max(int(fraction*float64(replicaCount)), 1) {
		names = append(names, replicaName(i))
	}
	return names
}

// networkChange returns what a fault does to the network.
func networkChange(fault *scenario.Fault, names []string) func(*faultnet.Network) {
	switch fault.Kind {
	case scenario.Split:
		return func(n *faultnet.Network) { n.Split(names) }
	case scenario.Lossy:
		return func(n *faultnet.Network) { n.Usual(fault.Link) }
	default:
		return func(n *faultnet.Network) {
			for _, name := range names {
				n.Isolate(name, fault.Kind == scenario.OneWay)
			}
		}
	}
}

// applyFaults has the network behave as the faults that hold now state. Where one begins or ends the others are applied
// anew: what heals one partition heals all.
func (h *hub) applyFaults() {
	changed := false
	for i := range h.faults {
		fault := &h.faults[i]
		active := h.now >= fault.from && h.now < fault.to
		changed = changed || active != fault.active
		fault.active = active
	}
	if !changed {
		return
	}
	h.net.Heal()
	h.net.Usual(lan)
	for i := range h.faults {
		if h.faults[i].active {
			h.faults[i].apply(h.net)
		}
	}
}
