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

// Lists of changes name new endpoints under new ids all day. Gone endpoints
// must be removed, or the memory of the proxy grows without bound.
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
		t.Errorf("got %d known endpoints, want the last one only", len(c.endpoints.byID))
	}
}

// Names beyond the bound are removed all at once. The cost is linear in the number of
// listed endpoints, so it must be rare: with a list of 7,000 each entry once caused it.
func TestNameEvictionIsRare(t *testing.T) {
	endpoints := newEndpointTable()
	evictions := 0
	const listed = 7000
	for i := range 3 * listed {
		name := fmt.Sprint("s", i)
		endpoints.byID[balancer.EndpointID(i)] = &listedEndpoint{name: name}
		delete(endpoints.byID, balancer.EndpointID(i-listed))
		endpoints.knownNames["mark"] = struct{}{}
		endpoints.addName(name)
		if _, there := endpoints.knownNames["mark"]; !there {
			evictions++
		}
		if len(endpoints.knownNames) > maxNames+2*listed+2 {
			t.Fatalf("got %d known names, above the bound", len(endpoints.knownNames))
		}
	}
	if evictions > 3 {
		t.Errorf("got %d evictions for %d names, want at most 3", evictions, 3*listed)
	}
	if _, there := endpoints.knownNames[fmt.Sprint("s", 3*listed-1)]; !there {
		t.Error("the newest name was removed")
	}
}
