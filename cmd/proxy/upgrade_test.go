package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// process is a running program that may be one of several of a proxy.
type process struct {
	*exec.Cmd
	admin string
	log   chan string // lines that say what a test waits for
	ended chan error
}

// launch starts the program beside whatever runs already, with a management endpoint.
func launch(t *testing.T, program, configuration, scratch string) *process {
	t.Helper()
	return launchCommand(t, prepare(t, program, configuration, "serve"), scratch)
}

// launchCommand starts a program that is ready to be run, as launch does.
func launchCommand(t *testing.T, cmd *exec.Cmd, scratch string) *process {
	t.Helper()
	p := &process{Cmd: cmd, log: make(chan string, 64), ended: make(chan error, 1)}
	p.Env = append(p.Env, "ROUTER_MGMT=127.0.0.1:0", "TMPDIR="+scratch)
	log, err := p.StderrPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := p.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { p.Process.Kill() })
	go func() {
		for lines := bufio.NewScanner(log); lines.Scan(); {
			select {
			case p.log <- lines.Text():
			default:
			}
		}
		p.ended <- p.Wait()
	}()
	_, p.admin, _ = strings.Cut(p.says(t, "management endpoint listening"), "address=")
	p.admin, _, _ = strings.Cut(p.admin, " ")
	return p
}

// says waits for a line of the log.
func (p *process) says(t *testing.T, text string) string {
	t.Helper()
	for end := time.After(testTimeout); ; {
		select {
		case line := <-p.log:
			if strings.Contains(line, text) {
				return line
			}
		case <-end:
			t.Fatalf("never logged: %s", text)
		}
	}
}

// call sends a request to the management endpoint.
func (p *process) call(t *testing.T, method, path, body string) (int, string) {
	t.Helper()
	c, r, err := connect(t, p.admin)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	fmt.Fprintf(c, "%s /ops/%s HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s", method, path, len(body), body)
	resp, err := http.ReadResponse(r, nil)
	if err != nil {
		t.Fatal(err)
	}
	text, _ := io.ReadAll(resp.Body)
	return resp.StatusCode, string(text)
}

func (p *process) waitReady(t *testing.T) {
	t.Helper()
	for end := time.Now().Add(testTimeout); ; time.Sleep(10 * time.Millisecond) {
		if status, _ := p.call(t, "GET", "readiness", ""); status == 200 {
			return
		}
		if time.Now().After(end) {
			t.Fatal("never ready")
		}
	}
}

// freeAddress is one that nobody listens at.
func freeAddress(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

// Three upgrades in a row under load, over new and kept connections: no more connections are
// closed without an answer than the two an upgrade that operators allow, overrides persist, and a
// torn or foreign file in the directory that the processes share has no effect.
func TestUpgradeUnderLoad(t *testing.T) {
	fine := func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, "fine") }
	var atOut, turned atomic.Int64
	backend := httptest.NewServer(http.HandlerFunc(fine))
	defer backend.Close()
	out := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { atOut.Add(1); fine(w, r) }))
	defer out.Close()
	directory := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if strings.Contains(r.URL.RawQuery, "since=7") {
			<-r.Context().Done()
			return
		}
		fmt.Fprintf(w, `{"index":7,"snapshot":true,"endpoints":[{"name":"s1","address":%q,"zone":"a","status":"Ready"},{"name":"s2","address":%q,"zone":"a","status":"Ready"}]}`,
			backend.Listener.Addr(), out.Listener.Addr())
	}))
	defer directory.Close()
	defer directory.CloseClientConnections()
	program, scratch, listen := build(t), t.TempDir(), freeAddress(t)
	text := strings.Replace(configuration(listen, backend.Listener.Addr().String()), "127.0.0.1:1", directory.Listener.Addr().String(), 1)
	now := launch(t, program, text, scratch)
	now.waitReady(t)
	for end := time.Now().Add(testTimeout); ; { // until the list is there
		if status, _ := now.call(t, "POST", "backends/down", "s2"); status == 200 {
			break
		} else if time.Now().After(end) {
			t.Fatal(status)
		}
	}
	for _, strange := range []string{"ryerill-0.word", filepath.Base(onlyOverrideFile(t, scratch)) + "-torn"} {
		if err := os.WriteFile(filepath.Join(scratch, strange), []byte(`{"format":"ry`), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	before := atOut.Load()
	stop, over := make(chan struct{}), make(chan error, 4)
	for i := range cap(over) {
		go func() {
			var c net.Conn
			var r *bufio.Reader
			for served := 0; ; served++ {
				select {
				case <-stop:
					over <- nil
					return
				default:
				}
				if c == nil || i%2 == 0 { // half of them connect anew each time
					if c != nil {
						c.Close()
					}
					var err error
					if c, err = net.Dial("tcp", listen); errors.Is(err, syscall.ECONNRESET) {
						c = nil
						turned.Add(1)
						continue
					} else if err != nil {
						over <- fmt.Errorf("after %d: %w", served, err)
						return
					}
					c.SetDeadline(time.Now().Add(testTimeout))
					r = bufio.NewReader(c)
				}
				_, torn := io.WriteString(c, ask()) // it takes the error of a reset that was there before
				resp, err := http.ReadResponse(r, nil)
				if errors.Is(err, syscall.ECONNRESET) || torn != nil {
					c = nil
					turned.Add(1)
					continue
				}
				if errors.Is(err, io.ErrUnexpectedEOF) && i%2 == 1 {
					c = nil // a kept connection that was closed while idle: a client sends once more
					continue
				}
				if err == nil {
					if io.Copy(io.Discard, resp.Body); resp.StatusCode != 200 {
						err = errors.New(resp.Status)
					}
				}
				if err != nil {
					over <- fmt.Errorf("after %d: %w", served, err)
					return
				}
				if resp.Close {
					c.Close()
					c = nil
				}
			}
		}()
	}
	for range 3 {
		next := launch(t, program, text, scratch)
		next.waitReady(t)
		if err := now.Process.Signal(syscall.SIGTERM); err != nil {
			t.Fatal(err)
		}
		select {
		case err := <-now.ended:
			if err != nil {
				t.Errorf("the old process ended with %v", err)
			}
		case <-time.After(testTimeout):
			t.Fatal("the old process does not end")
		}
		now = next
	}
	if atOut.Load() != before {
		t.Errorf("%d requests at a backend that is out", atOut.Load()-before)
	}
	if status, _ := now.call(t, "POST", "backends/up", "s2"); status != 200 {
		t.Error(status)
	}
	for end := time.Now().Add(testTimeout); atOut.Load() == before; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("no work for who is back")
		}
	}
	close(stop)
	for range cap(over) {
		if err := <-over; err != nil {
			t.Errorf("a request during upgrades: %v", err)
		}
	}
	if n := turned.Load(); n > 2*3 {
		t.Errorf("%d connections turned back in 3 upgrades", n)
	}
}

func onlyOverrideFile(t *testing.T, scratch string) string {
	t.Helper()
	files, _ := filepath.Glob(filepath.Join(scratch, "ryerill-*.word"))
	if len(files) != 1 {
		t.Fatalf("%v", files)
	}
	return files[0]
}

// A truncated override file is passed over and the next override is stored again; an override at one
// process holds in the other; a second process that can't start does not affect the first one.
func TestOverrideFileIsSharedByProcesses(t *testing.T) {
	backend := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, "fine") }))
	defer backend.Close()
	program, scratch, listen := build(t), t.TempDir(), freeAddress(t)
	text := configuration(listen, backend.Listener.Addr().String())
	first := launch(t, program, text, scratch)
	first.waitReady(t)
	if status, _ := first.call(t, "POST", "drain/start", ""); status != 200 {
		t.Fatal(status)
	}
	if err := os.WriteFile(onlyOverrideFile(t, scratch), []byte("{\"format\":"), 0o600); err != nil {
		t.Fatal(err)
	}
	first.says(t, "override file malformed")
	if status, _ := first.call(t, "GET", "readiness", ""); status != 503 {
		t.Errorf("a truncated file ended the drain: %d", status)
	}
	if status, _ := first.call(t, "POST", "backends/down", "s1"); status != 200 {
		t.Error(status)
	}
	second := launch(t, program, text, scratch)
	if status, _ := second.call(t, "POST", "drain/stop", ""); status != 200 {
		t.Error(status)
	}
	first.waitReady(t)
	second.waitReady(t)
	if status, _ := second.call(t, "POST", "backends/up", "s1"); status != 200 {
		t.Error(status)
	}
	for _, tc := range []struct{ mgmt, says string }{{first.admin, "mgmt: "}, {"nowhere", "mgmt: "}, {"127.0.0.1", "mgmt: "}} {
		third := prepare(t, program, text, "serve")
		third.Env = append(third.Env, "ROUTER_MGMT="+tc.mgmt, "TMPDIR="+scratch)
		said, err := third.CombinedOutput()
		var exit *exec.ExitError
		if !errors.As(err, &exit) || exit.ExitCode() != 2 || !strings.Contains(string(said), tc.says) {
			t.Errorf("a management endpoint at %s: %v, %s", tc.mgmt, err, said)
		}
	}
	for _, p := range []*process{first, second} {
		if status, _ := p.call(t, "GET", "readiness", ""); status != 200 {
			t.Errorf("after one that could not start: %d", status)
		}
	}
	// SIGTERM in the middle of a drain, with a successor and without one: the drain
	// passes to the process that is left, and both end in good order.
	if status, _ := first.call(t, "POST", "drain/start", ""); status != 200 {
		t.Error(status)
	}
	for i, p := range []*process{first, second} {
		if status, _ := second.call(t, "GET", "readiness", ""); i == 0 && status != 200 {
			t.Errorf("who is to take a drained proxy over answers %d", status)
		}
		for end := time.Now().Add(testTimeout); ; time.Sleep(10 * time.Millisecond) {
			if status, _ := p.call(t, "GET", "readiness", ""); status == 503 {
				break
			} else if time.Now().After(end) {
				t.Fatal("the drain does not reach both")
			}
		}
		if err := p.Process.Signal(syscall.SIGTERM); err != nil {
			t.Fatal(err)
		}
		select {
		case err := <-p.ended:
			if err != nil {
				t.Errorf("SIGTERM in a drain: %v", err)
			}
		case <-time.After(testTimeout):
			t.Fatal("SIGTERM in a drain does not end it")
		}
	}
}
