package baseline

import (
	"slices"

	"ryerill/balancer"
)

// endpoint is an endpoint with the attempts that it has in flight.
type endpoint struct {
	balancer.Endpoint
	inFlight int
}

// endpointList is the endpoints that discovery lists, and those that are gone but have attempts in flight.
type endpointList struct {
	all  []*endpoint
	byID map[balancer.EndpointID]*endpoint
}

// apply takes a full list, or the changes of one.
func (l *endpointList) apply(endpoints []balancer.Endpoint, full bool) {
	if full {
		for _, known := range l.all {
			known.State = balancer.Gone
		}
	}
	for _, listed := range endpoints {
		known := l.byID[listed.ID]
		if known == nil {
			known = &endpoint{}
			l.byID[listed.ID] = known
			l.all = append(l.all, known)
		}
		if listed.State == balancer.Gone { // it is listed without its place
			listed.Zone = known.Zone
			listed.Cell = known.Cell
		}
		known.Endpoint = listed
	}
	l.all = slices.DeleteFunc(l.all, func(known *endpoint) bool {
		if known.State != balancer.Gone || known.inFlight != 0 {
			return false
		}
		delete(l.byID, known.ID)
		return true
	})
}

// ready counts the endpoints that are ready.
func (l *endpointList) ready() int {
	count := 0
	for _, e := range l.all {
		if e.State == balancer.Ready {
			count++
		}
	}
	return count
}
