package realtime

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httputil"
	"net/url"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"golang.org/x/sys/unix"

	"ryerill/config"
	"ryerill/discovery"
	"ryerill/lab/metrics"
)

// The proxies whose cost can be compared.
const (
	Ryerill      = "ryerill"
	Relay        = "relay"        // copies bytes between two connections
	ReverseProxy = "reverseproxy" // net/http/httputil.ReverseProxy
)

// Cost says how a proxy's cost is measured: it is pinned to one core and
// saturated by consumers that ask again as soon as they are answered.
type Cost struct {
	Command     []string // of this program, to run the proxy in a process of its own
	Proxy       string
	Connections int
	Length      time.Duration
}

const (
	costProviders = 16  // enough that ryerill's limit doesn't bind
	costBody      = 512 // bytes of an answer
	costWarmup    = 500 * time.Millisecond
)

// Overhead measures a proxy's cost once.
func Overhead(ctx context.Context, c Cost) (*metrics.Result, error) {
	back, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("overhead: %w", err)
	}
	defer back.Close()
	go plainProvider(back)
	dir, err := os.MkdirTemp("", "ryerill-lab-")
	if err != nil {
		return nil, fmt.Errorf("overhead: %w", err)
	}
	defer os.RemoveAll(dir)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("overhead: %w", err)
	}
	address := l.Addr().String()
	l.Close()
	argv := slices.Clone(c.Command)
	env := append(os.Environ(), "GOMAXPROCS=1")
	if c.Proxy == Ryerill {
		list, stop, err := staticDirectory(back.Addr().String())
		if err != nil {
			return nil, err
		}
		defer stop()
		file := filepath.Join(dir, "config.json")
		text, err := json.Marshal(map[string]any{"name": "cost", "listen": address, "discovery": list.address,
			"limits": map[string]any{"cores": 1, "memory_mb": 192, "sockets": 1024}, "known": list.list,
			"settings": map[string]any{"Classes": []any{map[string]any{"Name": "read", "Slo": 1_000_000, "Deadline": 5_000_000, "Worth": 1, "Effect": "pure"}},
				"Tiers": []string{"one"}, "GroupSize": 1, "Discovery": "subscribe",
				"Limits":   map[string]any{"TryLimit": 3, "MostHeld": 20000, "IdleClose": 60_000_000, "ConnectTimeout": 1_000_000},
				"Contract": map[string]any{"AnswerSlack": 20_000, "StopSendingWithin": 1_000_000, "AskWithin": 10_000_000}}})
		if err != nil {
			return nil, fmt.Errorf("overhead: %w", err)
		}
		if err := os.WriteFile(file, text, 0o600); err != nil {
			return nil, fmt.Errorf("overhead: %w", err)
		}
		argv = append(argv, "proxy")
		env = append(env, config.EnvFile+"="+file, config.EnvName+"=", config.EnvListen+"=", config.EnvDiscovery+"=")
	} else {
		argv = append(argv, c.Proxy, address, back.Addr().String())
	}
	cmd := exec.Command(argv[0], argv[1:]...)
	log := &tail{}
	cmd.Env, cmd.Stdout, cmd.Stderr = env, log, log
	launch := newLauncher()
	defer launch.close()
	if err := launch.startOn(cmd, 0); err != nil {
		return nil, fmt.Errorf("overhead: %s: %w", c.Proxy, err)
	}
	defer func() { cmd.Process.Kill(); cmd.Wait() }()
	if err := awaitPort(ctx, address); err != nil {
		return nil, fmt.Errorf("overhead: %s never listened: %w; its last words:\n%s", c.Proxy, err, log)
	}
	return saturate(ctx, c, address, cmd.Process.Pid)
}

// startOn starts a process that may run on one core only.
func (l *launcher) startOn(cmd *exec.Cmd, core int) (err error) {
	var before, one unix.CPUSet
	one.Set(core)
	over := make(chan struct{})
	l.todo <- func() {
		defer close(over)
		if err = unix.SchedGetaffinity(0, &before); err != nil {
			return
		}
		if err = unix.SchedSetaffinity(0, &one); err != nil {
			return
		}
		err = cmd.Start() // the child inherits what this thread may use
		unix.SchedSetaffinity(0, &before)
	}
	<-over
	return err
}

func awaitPort(ctx context.Context, address string) error {
	for end := time.Now().Add(readyWithin); ; {
		c, err := net.DialTimeout("tcp", address, time.Second)
		if err == nil {
			c.Close()
			return nil
		}
		if time.Now().After(end) || ctx.Err() != nil {
			return err
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// saturate keeps so many connections busy and reads what it cost.
func saturate(ctx context.Context, c Cost, address string, pid int) (*metrics.Result, error) {
	var mu sync.Mutex
	all := hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
	served, other := 0, 0
	start := time.Now()
	from, until := start.Add(costWarmup), start.Add(costWarmup+c.Length)
	var clients sync.WaitGroup
	var failed error
	for n := range c.Connections {
		clients.Add(1)
		go func() {
			defer clients.Done()
			mine := hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
			good, bad, err := drive(ctx, address, n, from, until, mine)
			mu.Lock()
			defer mu.Unlock()
			all.Merge(mine)
			served, other = served+good, other+bad
			if err != nil && failed == nil {
				failed = err
			}
		}()
	}
	time.Sleep(time.Until(from))
	before, err := readUsage(pid)
	if err != nil {
		return nil, fmt.Errorf("overhead: %w", err)
	}
	time.Sleep(time.Until(until))
	after, err := readUsage(pid)
	if err != nil {
		return nil, fmt.Errorf("overhead: %w", err)
	}
	clients.Wait()
	if failed != nil {
		return nil, fmt.Errorf("overhead: %s: %w", c.Proxy, failed)
	}
	if ctx.Err() != nil {
		return nil, ctx.Err()
	}
	q := func(p float64) float64 { return float64(all.ValueAtQuantile(p)) / 1e6 }
	cpu := (after.CPU - before.CPU).Seconds()
	res := &metrics.Result{Metrics: map[string]float64{"cpu_us": cpu * 1e6 / float64(max(served, 1)), "rps": float64(served) / c.Length.Seconds(),
		"p50": q(50), "p95": q(95), "p99": q(99), "other_answers": float64(other), "busy": cpu / c.Length.Seconds()}}
	if other > served/100 {
		res.Void = fmt.Sprintf("%d answers were not 200, %d were", other, served)
	}
	return res, nil
}

func drive(ctx context.Context, address string, n int, from, until time.Time, h *hdrhistogram.Histogram) (good, bad int, err error) {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return 0, 0, err
	}
	defer conn.Close()
	conn.SetDeadline(until.Add(10 * time.Second))
	r := bufio.NewReader(conn)
	line := make([]byte, 0, 256)
	for k := uint64(1); ctx.Err() == nil; k++ {
		at := time.Now()
		if at.After(until) {
			break
		}
		line = append(line[:0], "GET /read/7 HTTP/1.1\r\nHost: lab.svc\r\nReq-Kind: read\r\nReq-Owner: everyone\r\nReq-Deadline-Ms: 5000\r\nReq-Id: "...)
		line = append(line, fmt.Sprintf("%016x", uint64(n)<<40|k)...)
		line = append(line, "\r\n\r\n"...)
		if _, err := conn.Write(line); err != nil {
			return good, bad, err
		}
		resp, err := http.ReadResponse(r, nil)
		if err != nil {
			return good, bad, err
		}
		if _, err := io.Copy(io.Discard, resp.Body); err != nil {
			return good, bad, err
		}
		if at.Before(from) {
			continue
		}
		if resp.StatusCode == http.StatusOK {
			good++
			h.RecordValue(max(int64(time.Since(at)/time.Microsecond), 1))
		} else {
			bad++
		}
	}
	return good, bad, nil
}

// plainProvider answers every request with the same 200, as cheaply as it can.
func plainProvider(l net.Listener) {
	text := []byte("HTTP/1.1 200 OK\r\nContent-Length: " + strconv.Itoa(costBody) + "\r\n\r\n" + strings.Repeat("x", costBody))
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go func() {
			defer c.Close()
			buf, have := make([]byte, 4096), 0
			for {
				c.SetDeadline(time.Now().Add(time.Minute))
				n, err := c.Read(buf[have:])
				if err != nil {
					return
				}
				have += n
				for {
					end := bytes.Index(buf[:have], []byte("\r\n\r\n"))
					if end < 0 {
						break
					}
					have = copy(buf, buf[end+4:have])
					if _, err := c.Write(text); err != nil {
						return
					}
				}
				if have == len(buf) {
					return
				}
			}
		}()
	}
}

type static struct {
	address string
	list    discovery.EndpointList
}

// staticDirectory lists one address under several names, for ever.
func staticDirectory(back string) (static, func(), error) {
	s := static{list: discovery.EndpointList{Index: 1, Snapshot: true}}
	for i := range costProviders {
		s.list.Endpoints = append(s.list.Endpoints, discovery.Endpoint{Name: fmt.Sprintf("p-%d", i), Address: back, Zone: "z", Status: discovery.Ready, Weight: 1})
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return s, nil, fmt.Errorf("overhead: %w", err)
	}
	s.address = l.Addr().String()
	server := &http.Server{ReadHeaderTimeout: 5 * time.Second, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		list := s.list
		if since := r.URL.Query().Get("since"); since != "" && since != "0" {
			wait, _ := strconv.Atoi(r.URL.Query().Get("timeout_ms"))
			select {
			case <-time.After(time.Duration(min(wait, 60_000)) * time.Millisecond):
			case <-r.Context().Done():
			}
			list.Snapshot, list.Endpoints = false, []discovery.Endpoint{}
		}
		json.NewEncoder(w).Encode(list)
	})}
	go server.Serve(l)
	return s, func() { server.Close() }, nil
}

// ServeRelay copies bytes between consumers at one address and a provider at another.
func ServeRelay(address, back string) error {
	runtime.GOMAXPROCS(1)
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	for {
		c, err := l.Accept()
		if err != nil {
			return err
		}
		go func() {
			defer c.Close()
			b, err := net.Dial("tcp", back)
			if err != nil {
				return
			}
			defer b.Close()
			go func() {
				pump(b, c)
				b.(*net.TCPConn).CloseWrite()
			}()
			pump(c, b)
		}()
	}
}

// pump copies by a buffer: splicing would spare the relay what every proxy that reads must do.
func pump(to io.Writer, from io.Reader) {
	buf := make([]byte, 4096)
	for {
		n, err := from.Read(buf)
		if err != nil {
			return
		}
		if _, err := to.Write(buf[:n]); err != nil {
			return
		}
	}
}

// ServeReverseProxy is the standard library's proxy between two addresses.
func ServeReverseProxy(address, back string) error {
	runtime.GOMAXPROCS(1)
	p := httputil.NewSingleHostReverseProxy(&url.URL{Scheme: "http", Host: back})
	p.Transport = &http.Transport{MaxIdleConnsPerHost: 1024, MaxIdleConns: 1024}
	return (&http.Server{Addr: address, Handler: p, ReadHeaderTimeout: 5 * time.Second}).ListenAndServe()
}
