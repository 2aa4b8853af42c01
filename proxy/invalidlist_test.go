package proxy

import (
	"bytes"
	"encoding/json"
	"log/slog"
	"strings"
	"sync"
	"testing"
	"time"

	"ryerill/config"
	"ryerill/discovery"
)

// lockedBuffer is a log that a test reads while it is written.
type lockedBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (b *lockedBuffer) Write(text []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(text)
}

func (b *lockedBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.String()
}

// An answer that is no list, or not a whole one, leaves the last list in force but for the endpoints that entries of it
// withdraw which are valid by themselves: nothing is added, and what it leaves out stays. It is logged once in a row with
// its cause, and the service is asked again soon: the next good list is in force.
func TestInvalidListKeepsLastList(t *testing.T) {
	const (
		endpoints     = 40
		withdrawn     = endpoints / 2 // by the spoilt list, which leaves out the others
		spoiltVersion = 9
	)
	farm := newEndpointFarm(t, endpoints)
	// spoil returns the text of a whole list in which half of the endpoints drain, an unknown one is ready and the rest is
	// left out, changed.
	spoil := func(change func(*discovery.EndpointList)) string {
		list := newEndpointRegistry(farm).whole(false)
		list.Index = spoiltVersion
		unknown := list.Endpoints[0]
		unknown.Name = "unknown"
		list.Endpoints = append([]discovery.Endpoint{unknown}, list.Endpoints[:withdrawn]...)
		for i := range withdrawn {
			list.Endpoints[i+1].Status = discovery.Terminating
		}
		change(&list)
		text, err := json.Marshal(list)
		if err != nil {
			t.Fatal(err)
		}
		return string(text)
	}
	// spoilLast has one more entry behind the others, changed.
	spoilLast := func(change func(*discovery.Endpoint)) string {
		return spoil(func(l *discovery.EndpointList) {
			last := l.Endpoints[0]
			change(&last)
			l.Endpoints = append(l.Endpoints, last)
		})
	}
	unchanged := spoil(func(*discovery.EndpointList) {})
	const tooMuch = 41 << 20 // bytes
	for _, tc := range []struct {
		name, text string
		pushed     bool
		ready      int // with the last list
	}{
		{"no JSON", "<html>" + unchanged, false, endpoints},
		{"cut off in an entry", unchanged[:len(unchanged)-60], false, endpoints - withdrawn + 1},
		{"cut off behind all entries", unchanged[:len(unchanged)-1], false, endpoints - withdrawn},
		{"too large", unchanged + strings.Repeat(" ", tooMuch), false, endpoints - withdrawn},
		{"two lists", unchanged + unchanged, false, endpoints - withdrawn},
		{"changes of an earlier version", spoil(func(l *discovery.EndpointList) { l.Index, l.Snapshot = 0, false }), false, endpoints},
		{"an entry without a name", spoilLast(func(e *discovery.Endpoint) { e.Name = "" }), false, endpoints - withdrawn},
		{"an entry of no address", spoilLast(func(e *discovery.Endpoint) { e.Address = "nowhere" }), false, endpoints - withdrawn},
		{"an entry of an unknown status", spoilLast(func(e *discovery.Endpoint) { e.Status = "Odd" }), true, endpoints - withdrawn},
		{"cut off, pushed", unchanged[:len(unchanged)-60], true, endpoints - withdrawn + 1},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			registry := newEndpointRegistry(farm)
			service := newListService(t, registry, tc.pushed)
			service.setFaults(func(f *listFaults) { f.invalidText = tc.text; f.wholeFirst = true })
			log := new(lockedBuffer)
			proxy, stop := runLogging(t, slog.New(slog.NewTextHandler(log, nil)), func(cfg *config.Config) {
				pool := &cfg.Pools[0]
				pool.Discovery = service.Addr().String()
				pool.KnownEndpoints = registry.whole(false)
				pool.Settings.PushedDiscovery = tc.pushed
				pool.Settings.Balancer.Subscribe = !tc.pushed
				pool.Settings.Balancer.Contract.MaxPollInterval = 10 * time.Second
			})
			t.Cleanup(stop)
			const notReceived = "endpoint list not received"
			for deadline := time.Now().Add(testTimeout); !strings.Contains(log.String(), notReceived); {
				if time.Now().After(deadline) {
					t.Fatal("nothing is logged")
				}
				time.Sleep(10 * time.Millisecond)
			}
			time.Sleep(1500 * time.Millisecond) // for more calls
			if status, _ := dial(t, proxy.Address()).ask(request("read", 4000)); status != 200 {
				t.Errorf("with the last list: answered %d", status)
			}
			if ready := readyEndpoints(proxy); ready != tc.ready {
				t.Errorf("with the last list: %d endpoints are ready, want %d", ready, tc.ready)
			}
			if lines := strings.Count(log.String(), notReceived); lines != 1 {
				t.Errorf("logged %d times:\n%s", lines, log.String())
			}
			registry.skipTo(spoiltVersion)
			registry.change(discovery.Terminating, everyNthOf(endpoints, 2)...)
			service.setFaults(func(f *listFaults) { f.invalidText = "" })
			deadline := time.Now().Add(3 * time.Second)
			for !strings.Contains(log.String(), "endpoint list received again") {
				if time.Now().After(deadline) {
					t.Fatalf("the next list is not in force:\n%s", log.String())
				}
				time.Sleep(10 * time.Millisecond)
			}
			if ready := readyEndpoints(proxy); ready != endpoints/2 {
				t.Errorf("with the next list: %d endpoints are ready, want %d", ready, endpoints/2)
			}
		})
	}
}

// readyEndpoints counts the endpoints that a proxy of one pool may send requests to.
func readyEndpoints(p *Proxy) (ready int) {
	c := p.activePools()[0]
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, e := range c.endpoints.byID {
		if e.guard.MaySend() {
			ready++
		}
	}
	return ready
}
