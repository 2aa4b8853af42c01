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

// lockedBuffer is a log buffer that a test can read concurrently with writes.
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

// An invalid or truncated list does not replace the last list. Its valid entries only withdraw endpoints: none are added,
// and omitted endpoints stay. Consecutive invalid lists are logged once with the cause, and the proxy polls again soon
// and applies the next valid list.
func TestInvalidListKeepsLastList(t *testing.T) {
	const (
		endpoints      = 40
		withdrawn      = endpoints / 2 // by the invalid list, which omits the others
		invalidVersion = 9
	)
	farm := newEndpointFarm(t, endpoints)
	// invalidList returns the text of a whole list after a change. In the list half of the endpoints drain, an unknown one
	// is ready and the others are omitted.
	invalidList := func(change func(*discovery.EndpointList)) string {
		list := newEndpointRegistry(farm).whole(false)
		list.Index = invalidVersion
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
	// invalidEntry appends one entry after a change to it.
	invalidEntry := func(change func(*discovery.Endpoint)) string {
		return invalidList(func(l *discovery.EndpointList) {
			last := l.Endpoints[0]
			change(&last)
			l.Endpoints = append(l.Endpoints, last)
		})
	}
	unchanged := invalidList(func(*discovery.EndpointList) {})
	const tooMuch = 41 << 20 // bytes
	for _, tc := range []struct {
		name, text string
		pushed     bool
		ready      int // number of ready endpoints while the last list applies
	}{
		{"no JSON", "<html>" + unchanged, false, endpoints},
		{"cut off in an entry", unchanged[:len(unchanged)-60], false, endpoints - withdrawn + 1},
		{"cut off after all entries", unchanged[:len(unchanged)-1], false, endpoints - withdrawn},
		{"too large", unchanged + strings.Repeat(" ", tooMuch), false, endpoints - withdrawn},
		{"two lists", unchanged + unchanged, false, endpoints - withdrawn},
		{"changes of an earlier version", invalidList(func(l *discovery.EndpointList) { l.Index, l.Snapshot = 0, false }), false, endpoints},
		{"an entry without a name", invalidEntry(func(e *discovery.Endpoint) { e.Name = "" }), false, endpoints - withdrawn},
		{"an entry of no address", invalidEntry(func(e *discovery.Endpoint) { e.Address = "nowhere" }), false, endpoints - withdrawn},
		{"an entry of an unknown status", invalidEntry(func(e *discovery.Endpoint) { e.Status = "Odd" }), true, endpoints - withdrawn},
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
					t.Fatal("the invalid list is not logged")
				}
				time.Sleep(10 * time.Millisecond)
			}
			time.Sleep(1500 * time.Millisecond) // time for more calls
			if status, _ := dial(t, proxy.Address()).ask(request("read", 4000)); status != 200 {
				t.Errorf("with the last list: got status %d, want 200", status)
			}
			if ready := readyEndpoints(proxy); ready != tc.ready {
				t.Errorf("with the last list: got %d ready endpoints, want %d", ready, tc.ready)
			}
			if lines := strings.Count(log.String(), notReceived); lines != 1 {
				t.Errorf("got %d log lines, want 1:\n%s", lines, log.String())
			}
			registry.skipTo(invalidVersion)
			registry.change(discovery.Terminating, everyNthOf(endpoints, 2)...)
			service.setFaults(func(f *listFaults) { f.invalidText = "" })
			deadline := time.Now().Add(3 * time.Second)
			for !strings.Contains(log.String(), "endpoint list received again") {
				if time.Now().After(deadline) {
					t.Fatalf("next list not applied within 3s:\n%s", log.String())
				}
				time.Sleep(10 * time.Millisecond)
			}
			if ready := readyEndpoints(proxy); ready != endpoints/2 {
				t.Errorf("with the next list: got %d ready endpoints, want %d", ready, endpoints/2)
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
