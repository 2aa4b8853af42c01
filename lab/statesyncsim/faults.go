package statesyncsim

import (
	"cmp"
	"slices"
	"time"

	"ryerill/lab/faultnet"
	"ryerill/lab/scenario"
)

// networkFault is the begin or the end of a fault of the network between replicas.
type networkFault struct {
	at      time.Duration
	apply   func(*faultnet.Network)
	applied bool
}

// networkFaults returns a scenario's faults between proxies, by time.
func networkFaults(sc *scenario.Scenario, replicaCount int) []networkFault {
	var faults []networkFault
	for _, fault := range sc.Faults {
		if !fault.BetweenProxies() {
			continue
		}
		begin, end := networkChanges(&fault, affected(fault.Fraction, replicaCount))
		faults = append(faults,
			networkFault{at: simulationStart + fault.At, apply: begin},
			networkFault{at: simulationStart + fault.At + fault.For, apply: end})
	}
	slices.SortStableFunc(faults, func(a, b networkFault) int { return cmp.Compare(a.at, b.at) })
	return faults
}

// affected returns the names of a fraction of the replicas, of one at least.
func affected(fraction float64, replicaCount int) (names []string) {
	for i := range max(int(fraction*float64(replicaCount)), 1) {
		names = append(names, replicaName(i))
	}
	return names
}

// networkChanges returns what a fault does to the network, and what takes it back.
func networkChanges(fault *scenario.Fault, names []string) (begin, end func(*faultnet.Network)) {
	switch fault.Kind {
	case scenario.Split:
		return func(n *faultnet.Network) { n.Split(names) }, (*faultnet.Network).Heal
	case scenario.Lossy:
		return func(n *faultnet.Network) { n.Usual(fault.Link) }, func(n *faultnet.Network) { n.Usual(lan) }
	default:
		isolate := func(n *faultnet.Network) {
			for _, name := range names {
				n.Isolate(name, fault.Kind == scenario.OneWay)
			}
		}
		return isolate, (*faultnet.Network).Heal
	}
}
