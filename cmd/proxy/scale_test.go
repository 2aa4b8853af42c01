package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"ryerill/discovery"
)

// A deployment at its usual size and at the largest one: the endpoints and the proxies grow alike.
const (
	usualEndpoints   = 200
	largestEndpoints = 16 * usualEndpoints
	endpointsAProxy  = 40
)

// proxyCost is what a proxy needs over the same traffic.
type proxyCost struct {
	processorTime   time.Duration
	peakMemory      int64 // bytes
	descriptors     int
	connections     int64 // made to endpoints
	discoveryAnswer int64 // bytes of lists
}

// What a proxy needs grows with the endpoints only so far, while the list changes ten times a second.
func TestCostOfThousandsOfEndpoints(t *testing.T) {
	program := build(t)
	usual := measureCost(t, program, usualEndpoints)
	largest := measureCost(t, program, largestEndpoints)
	t.Logf("%d endpoints: %+v", usualEndpoints, usual)
	t.Logf("%d endpoints: %+v", largestEndpoints, largest)
	const thousands = largestEndpoints / 1000.
	for _, row := range []struct {
		what          string
		before, after float64
		factor, more  float64
	}{
		{"seconds of processor time", usual.processorTime.Seconds(), largest.processorTime.Seconds(), 1.4, 0.02 + 0.03*thousands},
		{"bytes of memory", float64(usual.peakMemory), float64(largest.peakMemory), 1.5, 8e6 + 4e6*thousands},
		{"descriptors", float64(usual.descriptors), float64(largest.descriptors), 2, 40},
		{"connections", float64(usual.connections), float64(largest.connections), 2.5, 40},
		{"bytes of lists", float64(usual.discoveryAnswer), float64(largest.discoveryAnswer), 2, 64e3 + 500e3*thousands},
	} {
		if most := row.factor*row.before + row.more; row.after > most {
			t.Errorf("%v %s where %v were needed before: %v are allowed", row.after, row.what, row.before, most)
		}
	}
}

// measureCost has a proxy serve the same traffic before so many endpoints.
func measureCost(t *testing.T, program string, endpoints int) (cost proxyCost) {
	t.Helper()
	const clients, requests, pause = 8, 200, 20 * time.Millisecond
	var connections atomic.Int64
	service := newChangingList(t, endpoints, &connections)
	text := strings.NewReplacer(
		`"discovery":"127.0.0.1:1"`, fmt.Sprintf(`"discovery":%q`, service.Listener.Addr()),
		`"GroupSize":1`, fmt.Sprintf(`"GroupSize":%d,"Me":0`, endpoints/endpointsAProxy),
		`"sockets":256`, `"sockets":1024`,
	).Replace(configuration("127.0.0.1:0", service.list.Endpoints[0].Address))
	known, err := json.Marshal(service.list)
	if err != nil {
		t.Fatal(err)
	}
	before, rest, _ := strings.Cut(text, `"known":`)
	_, after, _ := strings.Cut(rest, "]},")
	cmd := prepare(t, program, before+`"known":`+string(known)+","+after, "serve")
	address, _, _ := serving(t, cmd)
	var all sync.WaitGroup
	for range clients {
		all.Go(func() { sendPaced(t, address, requests, pause) })
	}
	all.Wait()
	status := strconv.Itoa(cmd.Process.Pid)
	cost.processorTime = processorTime(t, status)
	cost.peakMemory = peakMemory(t, status)
	descriptors, err := os.ReadDir("/proc/" + status + "/fd")
	if err != nil {
		t.Fatal(err)
	}
	cost.descriptors = len(descriptors)
	cost.connections = connections.Load()
	cost.discoveryAnswer = service.bytes.Load()
	cmd.Process.Kill()
	cmd.Wait()
	return cost
}

// sendPaced sends requests on one connection.
func sendPaced(t *testing.T, address string, requests int, pause time.Duration) {
	c, r, err := connect(t, address)
	if err != nil {
		t.Error(err)
		return
	}
	defer c.Close()
	for range requests {
		io.WriteString(c, ask())
		resp, err := http.ReadResponse(r, nil)
		if err != nil || resp.StatusCode != http.StatusOK {
			t.Errorf("%v, %v", resp, err)
			return
		}
		io.Copy(io.Discard, resp.Body)
		time.Sleep(pause)
	}
}

// processorTime is what a process has used, in all modes.
func processorTime(t *testing.T, process string) time.Duration {
	t.Helper()
	const tick = 10 * time.Millisecond // of /proc
	text, err := os.ReadFile("/proc/" + process + "/stat")
	if err != nil {
		t.Fatal(err)
	}
	_, after, _ := strings.Cut(string(text), ") ")
	fields := strings.Fields(after)
	user, userErr := strconv.Atoi(fields[11])
	system, systemErr := strconv.Atoi(fields[12])
	if userErr != nil || systemErr != nil {
		t.Fatal(userErr, systemErr)
	}
	return time.Duration(user+system) * tick
}

// peakMemory is the most that a process has had resident.
func peakMemory(t *testing.T, process string) int64 {
	t.Helper()
	text, err := os.ReadFile("/proc/" + process + "/status")
	if err != nil {
		t.Fatal(err)
	}
	_, after, _ := strings.Cut(string(text), "VmHWM:")
	kilobytes, err := strconv.ParseInt(strings.Fields(after)[0], 10, 64)
	if err != nil {
		t.Fatal(err)
	}
	return kilobytes << 10
}

// changingList is a discovery service whose list changes in one entry ten times a second.
type changingList struct {
	*httptest.Server
	list  discovery.EndpointList // as at first
	bytes atomic.Int64           // of all answers

	mu       sync.Mutex
	version  uint64
	versions []uint64 // of each entry
	entries  []discovery.Endpoint
}

func newChangingList(t *testing.T, endpoints int, connections *atomic.Int64) *changingList {
	t.Helper()
	s := &changingList{version: 1, versions: make([]uint64, endpoints)}
	s.list.Index = 1
	s.list.Snapshot = true
	for i := range endpoints {
		l, err := net.Listen("tcp", fmt.Sprintf("127.78.%d.%d:0", i/200, i%200+1))
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { l.Close() })
		go answerAll(l, connections)
		s.list.Endpoints = append(s.list.Endpoints, discovery.Endpoint{
			Name: fmt.Sprintf("endpoint-%05d", i), Address: l.Addr().String(), Zone: "a", Type: "m2", Group: i / 8,
			Status: discovery.Ready, Weight: 1,
		})
	}
	s.entries = append(s.entries, s.list.Endpoints...)
	s.Server = httptest.NewServer(http.HandlerFunc(s.answer))
	t.Cleanup(s.Close)
	t.Cleanup(s.CloseClientConnections)
	go s.changeUntil(t.Context().Done())
	return s
}

// answerAll answers each request on a listener at once, and counts the connections.
func answerAll(l net.Listener, connections *atomic.Int64) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		connections.Add(1)
		go func() {
			defer c.Close()
			for r := bufio.NewReader(c); ; {
				if _, err := http.ReadRequest(r); err != nil {
					return
				}
				io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nfine")
			}
		}()
	}
}

// changeUntil has one endpoint after another drain, and the one before it come back.
func (s *changingList) changeUntil(done <-chan struct{}) {
	for i := 0; ; i++ {
		select {
		case <-done:
			return
		case <-time.After(100 * time.Millisecond):
		}
		s.mu.Lock()
		s.version++
		entry := i / 2 % len(s.entries)
		s.entries[entry].Status = []string{discovery.Terminating, discovery.Ready}[i%2]
		s.versions[entry] = s.version
		s.mu.Unlock()
	}
}

// changesSince returns the entries that are newer than a version.
func (s *changingList) changesSince(version uint64) discovery.EndpointList {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := discovery.EndpointList{Index: s.version, Endpoints: []discovery.Endpoint{}}
	for i, entry := range s.entries {
		if s.versions[i] > version {
			list.Endpoints = append(list.Endpoints, entry)
		}
	}
	return list
}

func (s *changingList) answer(w http.ResponseWriter, r *http.Request) {
	since, err := strconv.ParseUint(r.URL.Query().Get("since"), 10, 64)
	if err != nil {
		since = 0
	}
	list := s.changesSince(since)
	for end := time.Now().Add(2 * time.Second); len(list.Endpoints) == 0 && time.Now().Before(end); {
		time.Sleep(5 * time.Millisecond)
		list = s.changesSince(since)
	}
	text, err := json.Marshal(list)
	if err != nil {
		return
	}
	s.bytes.Add(int64(len(text)))
	w.Write(text)
}
