package proxy

import (
	"fmt"
	"log/slog"
	"testing"
	"time"

	"ryerill/balancer"
	"ryerill/discovery"
	"ryerill/upstream"
)

// New endpoints come under new ids all day, in lists of changes: those
// that are gone are forgotten, or the proxy would grow until it is killed.
func TestGoneEndpointsAreForgotten(t *testing.T) {
	t.Parallel()
	c := &core{log: slog.New(slog.DiscardHandler), decisions: decisionLoop{balancer: balancer.New(balancer.Config{}, 1)},
		connections: upstream.NewPool(&(&poolResources{}).sockets, time.Second, time.Second, nil), endpoints: newEndpointTable()}
	e := discovery.Endpoint{Name: "first", Address: "127.0.0.1:1", Status: discovery.Ready}
	c.applyListLocked(balancer.ListFull, discovery.EndpointList{Snapshot: true, Endpoints: []discovery.Endpoint{e}})
	for i := range 100 {
		gone := discovery.Endpoint{Name: e.Name, Status: discovery.Gone}
		e.Name = fmt.Sprint("s", i)
		c.applyListLocked(balancer.ListChanges, discovery.EndpointList{Index: uint64(i), Endpoints: []discovery.Endpoint{gone, e}})
	}
	if len(c.endpoints.byID) != 1 || c.endpoints.byID[endpointID(e.Name)] == nil {
		t.Errorf("%d endpoints are known", len(c.endpoints.byID))
	}
}

// Names beyond the bound are forgotten all at once. That is work for all that are
// listed, so it must be rare however many these are: each entry of a list of 7,000
// once cost it.
func TestNameEvictionIsRare(t *testing.T) {
	endpoints := newEndpointTable()
	forgotten := 0
	const listed = 7000
	for i := range 3 * listed {
		name := fmt.Sprint("s", i)
		endpoints.byID[balancer.EndpointID(i)] = &listedEndpoint{name: name}
		delete(endpoints.byID, balancer.EndpointID(i-listed))
		endpoints.knownNames["mark"] = struct{}{}
		endpoints.addName(name)
		if _, there := endpoints.knownNames["mark"]; !there {
			forgotten++
		}
		if len(endpoints.knownNames) > maxNames+2*listed+2 {
			t.Fatalf("%d names are remembered", len(endpoints.knownNames))
		}
	}
	if forgotten > 3 {
		t.Errorf("forgotten %d times in %d names", forgotten, 3*listed)
	}
	if _, there := endpoints.knownNames[fmt.Sprint("s", 3*listed-1)]; !there {
		t.Error("the newest is forgotten")
	}
}
