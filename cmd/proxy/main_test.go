package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"
)

// testTimeout is how long a test waits for what has to happen.
const testTimeout = 30 * time.Second

// build compiles the program as the deploy file does.
func build(t *testing.T) string {
	t.Helper()
	program := filepath.Join(t.TempDir(), "ryerill")
	if out, err := exec.Command("go", "build", "-o", program, ".").CombinedOutput(); err != nil {
		t.Fatalf("%v\n%s", err, out)
	}
	return program
}

// prepare readies the program with a configuration.
func prepare(t *testing.T, program, configuration string, args ...string) *exec.Cmd {
	t.Helper()
	file := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(file, []byte(configuration), 0o600); err != nil {
		t.Fatal(err)
	}
	cmd := exec.Command(program, args...)
	cmd.Env = append(os.Environ(), "ROUTER_CONFIG="+file, "ROUTER_NAME=", "ROUTER_LISTEN=", "ROUTER_DISCOVERY=")
	return cmd
}

// serving starts the program and returns where it serves, its log, which is read
// until then and beyond, and what the log says of reloads.
func serving(t *testing.T, cmd *exec.Cmd) (address string, log io.ReadCloser, reloads <-chan string) {
	t.Helper()
	log, err := cmd.StderrPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { cmd.Process.Kill() })
	address, reloads = addressOf(t, log)
	return address, log, reloads
}

func configuration(listen, backend string) string {
	return fmt.Sprintf(`{"name":"n1","listen":%q,"discovery":"127.0.0.1:1","seed":"1",
 "limits":{"cores":1,"memory_mb":192,"sockets":256},
 "known":{"index":1,"snapshot":true,"endpoints":[{"name":"s1","address":%q,"zone":"a","status":"Ready"}]},
 "settings":{"Areas":["a"],"Tiers":["only"],"Tier":0,"GroupSize":1,"Discovery":"subscribe",
  "Classes":[{"Name":"read","Slo":2000000,"Deadline":30000000,"Effect":"pure","Worth":1,"LateWorth":0.5}],
  "Limits":{"IdleClose":5000000,"ConnectTimeout":1000000,"MayCancel":true,"TryLimit":3}}}`, listen, backend)
}

// addressOf returns the address that a program logs when it serves. It keeps reading
// the log, so that the program never blocks on it, and passes on what it says of
// reloads.
func addressOf(t *testing.T, log io.Reader) (string, <-chan string) {
	t.Helper()
	found, reloads := make(chan string, 1), make(chan string, 8)
	go func() {
		for lines := bufio.NewScanner(log); lines.Scan(); {
			if _, address, ok := strings.Cut(lines.Text(), "address="); ok && strings.Contains(lines.Text(), "msg=serving") {
				found <- address
			} else if strings.Contains(lines.Text(), "reloaded") {
				reloads <- lines.Text()
			}
		}
	}()
	select {
	case address := <-found:
		return address, reloads
	case <-time.After(testTimeout):
		t.Fatal("it does not say where it serves")
		return "", nil
	}
}

func connect(t *testing.T, address string) (net.Conn, *bufio.Reader, error) {
	t.Helper()
	c, err := net.Dial("tcp", address)
	if err != nil {
		return nil, nil, err
	}
	t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(testTimeout))
	return c, bufio.NewReader(c), nil
}

func ask() string {
	return fmt.Sprintf("GET /read HTTP/1.1\r\nHost: x\r\nReq-Id: %016x\r\nReq-Kind: read\r\n\r\n", rand.Uint64())
}

func TestProgramServesAndFinishesWhatItTook(t *testing.T) {
	arrived, release := make(chan struct{}, 8), make(chan struct{})
	backend := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		arrived <- struct{}{}
		<-release
		io.WriteString(w, "fine")
	}))
	t.Cleanup(backend.Close) // after the program
	cmd := prepare(t, build(t), configuration("127.0.0.1:0", backend.Listener.Addr().String()), "serve")
	address, _, _ := serving(t, cmd)
	ended := make(chan error, 1)
	go func() { ended <- cmd.Wait() }()
	idle, idleR, err := connect(t, address)
	if err != nil {
		t.Fatal(err)
	}
	io.WriteString(idle, "GET /ready HTTP/1.1\r\nHost: x\r\n\r\n")
	if resp, err := http.ReadResponse(idleR, nil); err != nil || resp.StatusCode != 200 {
		t.Fatalf("/ready: %v, %v", resp, err)
	}
	busy, busyR, err := connect(t, address)
	if err != nil {
		t.Fatal(err)
	}
	io.WriteString(busy, ask())
	<-arrived

	signalledAt := time.Now()
	if err := cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	late, lateR, err := connect(t, address)
	if err == nil {
		io.WriteString(late, ask())
	}
	if time.Since(signalledAt) > 400*time.Millisecond {
		lateR = nil // this machine is too busy for the client to be in time: nothing is promised
	} else if err != nil {
		t.Errorf("a consumer that comes right after SIGTERM: %v", err)
	}
	if _, err := idleR.ReadByte(); err != io.EOF {
		t.Errorf("the idle connection ends with %v", err)
	}
	if took := time.Since(signalledAt); took < 400*time.Millisecond {
		t.Errorf("it stopped accepting after %v", took)
	}
	select {
	case <-ended:
		t.Fatal("it ended with an invocation out")
	default:
	}
	close(release)
	for _, r := range []*bufio.Reader{busyR, lateR} {
		if r == nil {
			continue
		}
		resp, err := http.ReadResponse(r, nil)
		if err != nil {
			t.Fatal(err)
		}
		if body, err := io.ReadAll(resp.Body); resp.StatusCode != 200 || !resp.Close || string(body) != "fine" {
			t.Errorf("answered %s %q, %v, close %v", resp.Status, body, err, resp.Close)
		}
	}
	select {
	case err := <-ended:
		if err != nil {
			t.Errorf("it ended with %v", err)
		}
	case <-time.After(testTimeout):
		t.Error("it did not end")
	}
}

// SIGHUP under load: a torn file leaves everything as it was, a good one moves
// the watch to the directory that it names, and no request suffers.
func TestReloadUnderLoad(t *testing.T) {
	backend := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, "fine") }))
	t.Cleanup(backend.Close) // after the program
	asked := make(chan string, 64)
	directory := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if asked <- r.URL.RawQuery; strings.HasPrefix(r.URL.RawQuery, "since=0&") {
			fmt.Fprintf(w, `{"index":1,"snapshot":true,"endpoints":[{"name":"s2","address":%q,"zone":"a","status":"Ready"}]}`,
				backend.Listener.Addr())
			return
		}
		<-r.Context().Done()
	}))
	defer directory.Close()
	defer directory.CloseClientConnections()
	first := configuration("127.0.0.1:0", backend.Listener.Addr().String())
	cmd := prepare(t, build(t), first, "serve")
	cmd.Env = append(cmd.Env, "ROUTER_DISCOVERY=127.0.0.1:1") // as at the start, for ever
	var file string
	for _, variable := range cmd.Env {
		if value, ok := strings.CutPrefix(variable, "ROUTER_CONFIG="); ok {
			file = value
		}
	}
	address, _, reloads := serving(t, cmd)
	stop, over := make(chan struct{}), make(chan error, 2)
	for range cap(over) {
		go func() {
			c, r, err := connect(t, address)
			for err == nil {
				select {
				case <-stop:
					over <- nil
					return
				default:
				}
				var resp *http.Response
				io.WriteString(c, ask())
				if resp, err = http.ReadResponse(r, nil); err == nil {
					if io.Copy(io.Discard, resp.Body); resp.StatusCode != 200 {
						err = errors.New(resp.Status)
					}
				}
			}
			over <- err
		}()
	}
	for _, step := range []struct{ text, says string }{
		{first[:len(first)/2], "not reloaded"},
		{strings.Replace(first, "127.0.0.1:1", directory.Listener.Addr().String(), 1), "configuration reloaded"},
	} {
		if err := os.WriteFile(file, []byte(step.text), 0o600); err != nil {
			t.Fatal(err)
		}
		if err := cmd.Process.Signal(syscall.SIGHUP); err != nil {
			t.Fatal(err)
		}
		select {
		case line := <-reloads:
			if !strings.Contains(line, step.says) {
				t.Errorf("after SIGHUP it says %s", line)
			}
		case <-time.After(testTimeout):
			t.Fatal("nothing happens on SIGHUP")
		}
	}
	for _, query := range []string{"since=0&timeout_ms=2000", "since=1&timeout_ms=2000"} {
		select {
		case got := <-asked:
			if got != query {
				t.Errorf("the new directory is asked for %q", got)
			}
		case <-time.After(testTimeout):
			t.Fatal("the new directory is not asked")
		}
	}
	close(stop)
	for range cap(over) {
		if err := <-over; err != nil {
			t.Errorf("an invocation meanwhile: %v", err)
		}
	}
}

func TestCommandLine(t *testing.T) {
	program, good := build(t), configuration("127.0.0.1:1", "127.0.0.1:2")
	taken, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer taken.Close()
	for _, tc := range []struct {
		args, configuration string
		status              int
		out                 string
	}{
		{"version", good, 0, "ryerill "},
		{"check", good, 0, "tier 1 of 1, 1 classes, 1 providers known"},
		{"check", strings.Replace(good, `"Slo":2000000`, `"Slo":"soon"`, 1), 2, `setting Classes.0.Slo: unexpected value "soon"`},
		{"serve", strings.Replace(good, `"sockets":256`, `"sockets":3`, 1), 2, `limits.sockets: unexpected value "3"`},
		{"serve", configuration(taken.Addr().String(), "127.0.0.1:2"), 1, "listen for clients"},
		{"sing", good, 2, `unknown command "sing"`},
		{"check twice", good, 2, "unknown command"},
	} {
		out, err := prepare(t, program, tc.configuration, strings.Fields(tc.args)...).CombinedOutput()
		status := 0
		var exit *exec.ExitError
		if errors.As(err, &exit) {
			status = exit.ExitCode()
		}
		if status != tc.status || !strings.Contains(string(out), tc.out) {
			t.Errorf("%s: status %d, %s", tc.args, status, out)
		}
	}
}
