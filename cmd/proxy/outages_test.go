package main

import (
	"bufio"
	"bytes"
	"crypto/sha256"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"sync"
	"testing"
	"time"

	"github.com/goccy/go-yaml"

	"ryerill/config"
)

// Seen while an incident was looked for, in which a request got no response while calls of the system failed: what
// survives single calls that fail still lost requests when all calls of a kind failed for two seconds. How it came about:
// an inspection of a connection that the system refuses was taken for a reset (uploads were answered 502) or for "nothing
// waits" (an idle connection was closed over a request that had come in); a connection whose bytes could not be read for
// 50 ms after an inspection had found them was closed; connections that were about to be used again were evicted for a
// descriptor that nobody lacked; and accept4 of the library asks for the protocol of what it has
// accepted, and closes that if the system can't say. The cause: a call that failed was taken for its answer. What proved
// it: each of the cases named below fails with only its rules in force.

// outage is a time in which calls of some kinds fail. Rules are of a fault plan, in YAML, without their times.
type outage struct {
	name    string
	rules   []string
	mayShed bool // requests may be answered 503: they can't be received, or reach their endpoint
}

var outages = []outage{
	{"writes to clients", []string{
		"call: writev, descriptor: client, error: ENOBUFS",
		"call: write, descriptor: client, error: ENOBUFS",
	}, false},
	{"writes to clients take a part, then fail", []string{
		"call: writev, descriptor: client, bytes: 1000, every: 2",
		"call: write, descriptor: client, bytes: 1000, every: 2",
		"call: writev, descriptor: client, error: EIO",
		"call: write, descriptor: client, error: EIO",
	}, false},
	{"reads from clients", []string{"call: read, descriptor: client, error: ENOMEM"}, false}, // seen
	{"reads from clients in parts, each after a fault", []string{
		"call: read, descriptor: client, bytes: 3, every: 2",
		"call: read, descriptor: client, error: EIO",
	}, false},
	{"accepting", []string{"call: accept4, error: ENFILE"}, false}, // seen
	{"all of clients now and then", []string{ // seen
		"call: writev, descriptor: client, error: ENOBUFS, every: 2",
		"call: write, descriptor: client, error: ENOBUFS, every: 2",
		"call: read, descriptor: client, error: ENOBUFS, every: 2",
		"call: accept4, error: ENOBUFS, every: 2",
		"call: recvfrom, descriptor: client, error: ENOMEM, every: 2",
		"call: shutdown, error: ENOBUFS, every: 2",
		"call: ppoll, error: ENOMEM, every: 2",
	}, false},
	{"registration of accepted connections", []string{"call: epoll_ctl, descriptor: client, error: ENOMEM"}, true},
	{"options", []string{ // seen
		"call: setsockopt, error: ENOBUFS",
		"call: getsockopt, error: ENOBUFS",
	}, true},
	{"inspecting", append(pollsFail(), "call: recvfrom, error: ENOMEM"), false}, // seen
	{"late calls", []string{"call: writev, delay: 3ms, every: 2", "call: read, delay: 3ms, every: 5"}, false},
	{"writes to endpoints", []string{
		"call: writev, descriptor: endpoint, error: ENOBUFS",
		"call: write, descriptor: endpoint, error: ENOBUFS",
	}, true},
	{"writes to endpoints take a part, then fail", []string{
		"call: writev, descriptor: endpoint, bytes: 900, every: 2",
		"call: write, descriptor: endpoint, bytes: 900, every: 2",
		"call: writev, descriptor: endpoint, error: ENOMEM",
		"call: write, descriptor: endpoint, error: ENOMEM",
	}, false},
	{"reads from endpoints", []string{"call: read, descriptor: endpoint, error: ENOBUFS"}, true},
	{"reads from endpoints in parts, each after a fault", []string{
		"call: read, descriptor: endpoint, bytes: 900, every: 2",
		"call: read, descriptor: endpoint, error: EIO",
	}, false},
	{"connections to endpoints", []string{
		"call: socket, error: EMFILE",
		"call: connect, error: EADDRNOTAVAIL",
	}, true},
}

// pollsFail are rules for all calls that a poll of this machine can be. Where there is no poll the library's is a ppoll,
// and plans that name poll are refused.
func pollsFail() []string {
	rules := []string{"call: ppoll, error: ENOMEM"}
	if runtime.GOARCH == "arm64" {
		return rules
	}
	return append(rules, "call: poll, error: ENOMEM")
}

// Times of an outage, since the program's start.
const (
	outageBegins   = 1 * time.Second
	outageEnds     = 3 * time.Second
	outageDeadline = 6 * time.Second // of each request
	loadEnds       = 4 * time.Second
	longBody       = 300 << 10
)

// TestNoRequestIsLostToAnOutage has calls of the real program fail for a while under load. Each response is compared
// byte by byte, and no unsafe request runs twice.
func TestNoRequestIsLostToAnOutage(t *testing.T) {
	program := build(t)
	laboratory := buildLaboratory(t)
	for _, outage := range outages {
		t.Run(outage.name, func(t *testing.T) {
			t.Parallel()
			playOutage(t, program, laboratory, outage)
		})
	}
}

func playOutage(t *testing.T, program, laboratory string, outage outage) {
	endpoint := &countingEndpoint{executions: map[string]int{}}
	var addresses []string
	for range 4 {
		server := httptest.NewServer(endpoint)
		t.Cleanup(server.Close)
		addresses = append(addresses, server.Listener.Addr().String())
	}
	plan := "rules:\n"
	for _, rule := range outage.rules {
		plan += fmt.Sprintf("  - {%s, from: %v, until: %v}\n", rule, outageBegins, outageEnds)
	}
	cmd, record := underFaults(t, program, laboratory, outageConfiguration(t, addresses, outageDeadline), plan)
	began := time.Now()
	address, _, _ := serving(t, cmd)
	load := &outageLoad{address: address, ends: began.Add(loadEnds), mayShed: outage.mayShed, problems: make(chan string, 1000)}
	var working sync.WaitGroup
	for client := range 8 {
		working.Go(func() { load.ask(client) })
	}
	working.Wait()
	close(load.problems)
	shown := 0
	for problem := range load.problems {
		if shown++; shown <= 5 {
			t.Error(problem)
		}
	}
	if shown > 5 {
		t.Errorf("and %d more", shown-5)
	}
	endpoint.mu.Lock()
	defer endpoint.mu.Unlock()
	for id, executions := range endpoint.executions {
		if executions > 1 {
			t.Errorf("unsafe request %s was executed %d times", id, executions)
		}
	}
	t.Logf("%d served, %d shed", load.served, load.shed)
	if injected := injections(t, record); len(injected) == 0 {
		t.Error("no call has failed: the test shows nothing")
	}
}

// outageConfiguration is that of a proxy with classes of each effect.
func outageConfiguration(t *testing.T, addresses []string, deadline time.Duration) string {
	t.Helper()
	var endpoints []config.EndpointFile
	for i, address := range addresses {
		endpoints = append(endpoints, config.EndpointFile{Name: fmt.Sprint("s", i), Address: address, Zone: "a"})
	}
	return poolConfiguration(t, config.MachineFile{Sockets: 256, MemoryMB: 128}, endpoints, []config.ClassFile{
		{Name: "read", Effect: "safe", Deadline: deadline},
		{Name: "burn", Effect: "unsafe", Deadline: deadline},
	})
}

// poolConfiguration is that of a proxy with one pool of listed endpoints.
func poolConfiguration(
	t *testing.T, machine config.MachineFile, endpoints []config.EndpointFile, classes []config.ClassFile,
) string {
	t.Helper()
	text, err := yaml.Marshal(&config.File{
		Name:      "n1",
		Machine:   machine,
		Listeners: []config.ListenerFile{{Name: "main", Address: "127.0.0.1:0"}},
		Routes:    []config.RouteFile{{Name: "all", Pool: "main"}},
		Pools: []config.PoolFile{{
			Name: "main", Zone: "a",
			Endpoints: endpoints,
			Limits:    config.LimitsFile{ConnectTimeout: time.Second},
			Classes:   classes,
		}},
	})
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

// countingEndpoint answers each request with its id, its body's digest and, on /long, more. It counts unsafe requests.
type countingEndpoint struct {
	mu         sync.Mutex
	executions map[string]int // by id, of unsafe requests
}

func (e *countingEndpoint) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	id := r.Header.Get("Req-Id")
	if r.Header.Get("Req-Kind") == "burn" && err == nil {
		e.mu.Lock()
		e.executions[id]++
		e.mu.Unlock()
	}
	if err != nil {
		return // the proxy has given it up
	}
	w.Write(expectedBody(id, r.URL.Path, body))
}

func expectedBody(id, path string, body []byte) []byte {
	text := fmt.Appendf(nil, "%s %x ", id, sha256.Sum256(body))
	if path == "/long" {
		text = append(text, bytes.Repeat([]byte(id), longBody/len(id))...)
	}
	return text
}

// outageLoad is clients that check each response.
type outageLoad struct {
	address  string
	ends     time.Time
	mayShed  bool
	problems chan string

	mu     sync.Mutex
	served int
	shed   int
}

// outageClient asks over one connection where it can.
type outageClient struct {
	load   *outageLoad
	number int
	conn   net.Conn // nil is none
	reader *bufio.Reader
}

// ask asks requests of all kinds in turn until the load ends.
func (l *outageLoad) ask(number int) {
	client := &outageClient{load: l, number: number}
	for i := number; time.Now().Before(l.ends); i++ {
		if i%7 == 0 {
			client.disconnect()
		}
		if err := client.connect(); err != nil {
			l.problems <- err.Error()
			return
		}
		goesOn, problem := client.askOne(i)
		if problem != "" {
			l.problems <- problem
		}
		if !goesOn {
			client.disconnect()
		}
		time.Sleep(5 * time.Millisecond)
	}
	client.disconnect()
}

func (c *outageClient) connect() error {
	if c.conn != nil {
		return nil
	}
	conn, err := net.Dial("tcp", c.load.address)
	if err != nil {
		return err
	}
	c.conn = conn
	c.reader = bufio.NewReader(conn)
	return nil
}

func (c *outageClient) disconnect() {
	if c.conn != nil {
		c.conn.Close()
		c.conn = nil
	}
}

// outageRequest is one request of an outage's load.
type outageRequest struct {
	id     string
	path   string
	class  string
	method string
	body   []byte
}

func newOutageRequest(client, i int) outageRequest {
	request := outageRequest{id: fmt.Sprintf("%08d%08d", client, i), path: "/short", class: "read", method: "GET"}
	switch i % 4 {
	case 1:
		request.path = "/long"
	case 2:
		request.class, request.method = "burn", "POST"
		request.body = bytes.Repeat([]byte(request.id), 20)
	case 3:
		request.class, request.method = "burn", "POST"
		request.body = bytes.Repeat([]byte(request.id), longBody/len(request.id))
	}
	return request
}

// askOne asks one request. It reports whether the connection goes on, and what is wrong with the response, if anything.
func (c *outageClient) askOne(i int) (goesOn bool, problem string) {
	request := newOutageRequest(c.number, i)
	began := time.Now()
	failed := func(what string, err error) (bool, string) {
		return false, fmt.Sprintf("%s %s %s with %d bytes, %.1f s before the end, after %v: %s: %v", request.id, request.method,
			request.path, len(request.body), c.load.ends.Sub(began).Seconds(), time.Since(began), what, err)
	}
	c.conn.SetDeadline(began.Add(outageDeadline + time.Second))
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: x\r\nReq-Id: %s\r\nReq-Kind: %s\r\nContent-Length: %d\r\n\r\n",
		request.method, request.path, request.id, request.class, len(request.body))
	if _, err := (&net.Buffers{[]byte(head), request.body}).WriteTo(c.conn); err != nil {
		return failed("not sent", err)
	}
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return failed("no response", err)
	}
	answer, err := io.ReadAll(response.Body)
	switch {
	case err != nil:
		return failed("half a response", err)
	case response.StatusCode == http.StatusServiceUnavailable && c.load.mayShed:
		c.load.count(&c.load.shed)
	case response.StatusCode != http.StatusOK:
		return failed(response.Status, nil)
	case !bytes.Equal(answer, expectedBody(request.id, request.path, request.body)):
		return failed("a wrong response", nil)
	default:
		c.load.count(&c.load.served)
	}
	return !response.Close, ""
}

func (l *outageLoad) count(n *int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	*n++
}
