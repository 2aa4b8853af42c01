package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// echo is an endpoint that answers all requests, save those that ask to be held: it
// sends on held for each of these, and answers one for each value on let, and all at the test's end.
func echo(t *testing.T) (s *httptest.Server, held, let chan struct{}) {
	t.Helper()
	held, let = make(chan struct{}, 64), make(chan struct{}, 64)
	s = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Query().Has("hold") {
			held <- struct{}{}
			<-let
		}
		io.WriteString(w, "fine")
	}))
	t.Cleanup(func() {
		close(let) // a test that fails must not wait for those who are held
		s.Close()
	})
	return s, held, let
}

// served asks on a connection of its own, and returns the status.
func served(t *testing.T, address, what string) int {
	t.Helper()
	c, r, err := connect(t, address)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	io.WriteString(c, what)
	resp, err := http.ReadResponse(r, nil)
	if err != nil {
		t.Fatalf("%.20q: %v", what, err)
	}
	return resp.StatusCode
}

// The reader of the log may exit: the next line must not end the program.
func TestLogReaderGone(t *testing.T) {
	backend, _, _ := echo(t)
	cmd := prepare(t, build(t), configuration("127.0.0.1:0", backend.Listener.Addr().String()), "serve")
	address, log, _ := serving(t, cmd)
	log.Close()    // the pipe's only reader
	for range 20 { // each is logged
		if err := cmd.Process.Signal(syscall.SIGHUP); err != nil {
			t.Fatal(err)
		}
		if code := served(t, address, ask()); code != http.StatusOK {
			t.Fatalf("answered %d", code)
		}
	}
	cmd.Process.Signal(syscall.SIGTERM)
	if err := cmd.Wait(); err != nil {
		t.Errorf("it ended with %v", err)
	}
}

// The machine may allow fewer descriptors than the configuration says, or take
// some away while the program runs. A client beyond them is rejected at once or waits
// unaccepted; /ready is answered, and once descriptors are free all is as before.
func TestDescriptorsRunOutAndComeBack(t *testing.T) {
	backend, held, let := echo(t)
	cmd := prepare(t, build(t), configuration("127.0.0.1:0", backend.Listener.Addr().String()), "serve")
	address, _, _ := serving(t, cmd)
	if code := served(t, address, ask()); code != http.StatusOK {
		t.Fatalf("at first: %d", code)
	}
	open := func() int {
		entries, err := os.ReadDir("/proc/" + strconv.Itoa(cmd.Process.Pid) + "/fd")
		if err != nil {
			t.Fatal(err)
		}
		return len(entries)
	}
	before := open()
	var allowed unix.Rlimit
	if err := unix.Prlimit(cmd.Process.Pid, unix.RLIMIT_NOFILE, nil, &allowed); err != nil {
		t.Fatal(err)
	}
	limit := func(n uint64) {
		t.Helper()
		if err := unix.Prlimit(cmd.Process.Pid, unix.RLIMIT_NOFILE, &unix.Rlimit{Cur: n, Max: allowed.Max}, nil); err != nil {
			t.Fatal(err)
		}
	}
	for round := range 3 {
		// clients take all, idle ones or such as have a request open
		if round < 2 {
			limit(uint64(before + 6))
		}
		var idle []net.Conn
		var busy []*bufio.Reader
		for len(idle) < 12 && round < 2 {
			c, err := net.Dial("tcp", address)
			if err != nil {
				t.Fatal(err)
			}
			defer c.Close()
			idle = append(idle, c)
		}
		for len(busy) < 3 && round == 2 { // each with a descriptor at the endpoint's side
			c, r, err := connect(t, address)
			if err != nil {
				t.Fatal(err)
			}
			defer c.Close()
			io.WriteString(c, strings.Replace(ask(), "/read", "/read?hold=1", 1))
			<-held
			busy = append(busy, r)
		}
		if round == 2 {
			free := uint64(0) // the lowest number that is: a limit there leaves none
			for ; ; free++ {
				if _, err := os.Lstat(fmt.Sprintf("/proc/%d/fd/%d", cmd.Process.Pid, free)); err != nil {
					break
				}
			}
			limit(free)
		}
		began := time.Now()
		if code := served(t, address, "GET /ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"); code != http.StatusOK {
			t.Errorf("round %d: /ready without a descriptor: %d", round, code)
		}
		if code := served(t, address, ask()); code != http.StatusServiceUnavailable && code != http.StatusOK {
			t.Errorf("round %d: a request without a descriptor: %d", round, code)
		}
		if took := time.Since(began); took > 2*time.Second {
			t.Errorf("round %d: answered after %v", round, took)
		}
		limit(allowed.Cur)
		for _, c := range idle {
			c.Close()
		}
		for range busy {
			let <- struct{}{}
		}
		for _, r := range busy {
			if resp, err := http.ReadResponse(r, nil); err != nil || resp.StatusCode != http.StatusOK {
				t.Errorf("round %d: what was taken: %v, %v", round, resp, err)
			}
		}
		for end := time.Now().Add(testTimeout); open() > before+1+2*len(busy); time.Sleep(10 * time.Millisecond) {
			if time.Now().After(end) {
				t.Fatalf("round %d: %d descriptors are left, %d at first", round, open(), before)
			}
		}
		for range 8 {
			if code := served(t, address, ask()); code != http.StatusOK {
				t.Errorf("round %d: with room again: %d", round, code)
			}
		}
	}
	cmd.Process.Signal(syscall.SIGTERM)
	if err := cmd.Wait(); err != nil {
		t.Errorf("it ended with %v", err)
	}
}
