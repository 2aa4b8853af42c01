package realtime

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"ryerill/lab/metrics"
)

// The proxies whose cost can be compared.
const (
	Ryerill      = "ryerill"
	Relay        = "relay"        // copies bytes between two connections
	ReverseProxy = "reverseproxy" // net/http/httputil.ReverseProxy
)

// Cost holds how a proxy's cost is measured: it is pinned to one core and saturated by clients that send their next
// request as soon as they are answered.
type Cost struct {
	Command     []string // of this program, to run the proxy in a process of its own
	Proxy       string   // one of the constants above
	Connections int
	Length      time.Duration // of the measurement, after the warm-up
}

const (
	costEndpoints    = 16  // enough that ryerill's limit doesn't bind
	costBody         = 512 // bytes of a response
	costWarmup       = 500 * time.Millisecond
	costCore         = 0                // that the proxy is pinned to
	costFinish       = 10 * time.Second // a client may wait this long for its last response
	costWrongPercent = 1                // responses other than 200 that make a measurement void
)

// Overhead measures a proxy's cost once.
func Overhead(ctx context.Context, c Cost) (*metrics.Result, error) {
	result, err := measureOverhead(ctx, c)
	if err != nil && !errors.Is(err, ctx.Err()) {
		return nil, fmt.Errorf("overhead: %w", err)
	}
	return result, err
}

// measureOverhead starts the proxy before an endpoint and measures it.
func measureOverhead(ctx context.Context, c Cost) (*metrics.Result, error) {
	backend, err := startPlainEndpoint()
	if err != nil {
		return nil, err
	}
	defer backend.close()
	service, err := startStaticDiscovery(backend.address())
	if err != nil {
		return nil, err
	}
	defer service.close()
	dir, err := os.MkdirTemp("", "ryerill-lab-")
	if err != nil {
		return nil, err
	}
	defer func() {
		_ = os.RemoveAll(dir) // what is left lies in the system's temporary folder
	}()
	address, err := freeAddress()
	if err != nil {
		return nil, err
	}
	cmd, err := c.proxyCommand(address, backend, service, filepath.Join(dir, "config.json"))
	if err != nil {
		return nil, err
	}
	log := &logTail{}
	cmd.Stdout = log
	cmd.Stderr = log
	launch := newLauncher()
	defer launch.close()
	if err := launch.startPinned(cmd, costCore); err != nil {
		return nil, fmt.Errorf("%s: %w", c.Proxy, err)
	}
	defer func() {
		_ = cmd.Process.Kill() // fails if it has ended
		_ = cmd.Wait()         // it was killed
	}()
	if err := awaitPort(ctx, address); err != nil {
		return nil, fmt.Errorf("%s never listened: %w; the end of its log:\n%s", c.Proxy, err, log)
	}
	return saturate(ctx, c, address, cmd.Process.Pid)
}

// proxyCommand returns the command that runs the proxy at an address, with its configuration in a file if it has one.
func (c *Cost) proxyCommand(
	address string, backend *plainEndpoint, service *staticDiscovery, file string,
) (*exec.Cmd, error) {
	argv := slices.Clone(c.Command)
	env := append(os.Environ(), "GOMAXPROCS=1")
	if c.Proxy == Ryerill {
		if err := writeCostConfiguration(file, address, service); err != nil {
			return nil, err
		}
		argv = append(argv, "proxy")
		env = environment(env, file)
	} else {
		argv = append(argv, c.Proxy, address, backend.address())
	}
	cmd := exec.Command(argv[0], argv[1:]...)
	cmd.Env = env
	return cmd, nil
}

// writeCostConfiguration writes the configuration of the proxy that is measured.
func writeCostConfiguration(file, address string, service *staticDiscovery) error {
	text, err := json.Marshal(map[string]any{
		"name":      "cost",
		"listen":    address,
		"discovery": service.address,
		"limits":    map[string]any{"cores": proxyCores, "memory_mb": proxyMemoryMB, "sockets": 1024},
		"known":     service.list,
		"settings": map[string]any{
			"Classes": []map[string]any{
				{"Name": "read", "Slo": 1_000_000, "Deadline": 5_000_000, "Worth": 1, "Effect": "pure"},
			},
			"Tiers":     []string{"one"},
			"GroupSize": 1,
			"Discovery": "subscribe",
			"Limits": map[string]any{
				"TryLimit": 3, "MostHeld": 20_000, "IdleClose": 60_000_000, "ConnectTimeout": 1_000_000,
			},
			"Contract": map[string]any{
				"AnswerSlack": 20_000, "StopSendingWithin": 1_000_000, "AskWithin": 10_000_000,
			},
		},
	})
	if err != nil {
		return err
	}
	return os.WriteFile(file, text, 0o600)
}

// awaitPort waits until something listens at an address.
func awaitPort(ctx context.Context, address string) error {
	deadline := time.Now().Add(readyWithin)
	for {
		conn, err := net.DialTimeout("tcp", address, time.Second)
		if err == nil {
			conn.Close()
			return nil
		}
		if time.Now().After(deadline) || ctx.Err() != nil {
			return err
		}
		time.Sleep(readyPoll)
	}
}

// clientResult is what one or more clients counted within the measurement.
type clientResult struct {
	ok        int // responses with status 200
	other     int
	latencies *hdrhistogram.Histogram // of those with status 200, in microseconds
}

func newClientResult() *clientResult {
	return &clientResult{latencies: hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)}
}

func (r *clientResult) add(other *clientResult) {
	r.ok += other.ok
	r.other += other.other
	r.latencies.Merge(other.latencies)
}

// saturate keeps all connections busy and measures what the proxy's process uses.
func saturate(ctx context.Context, c Cost, address string, pid int) (*metrics.Result, error) {
	from := time.Now().Add(costWarmup)
	until := from.Add(c.Length)
	ctx, cancel := context.WithCancel(ctx)
	var clients sync.WaitGroup
	defer clients.Wait()
	defer cancel()
	var mu sync.Mutex // guards total and failure
	total := newClientResult()
	var failure error
	for number := range c.Connections {
		clients.Go(func() {
			result := newClientResult()
			err := sendRepeatedly(ctx, address, number, from, until, result)
			mu.Lock()
			defer mu.Unlock()
			total.add(result)
			if failure == nil {
				failure = err
			}
		})
	}
	time.Sleep(time.Until(from))
	before, err := readUsage(pid)
	if err != nil {
		return nil, err
	}
	time.Sleep(time.Until(until))
	after, err := readUsage(pid)
	if err != nil {
		return nil, err
	}
	clients.Wait()
	if failure != nil {
		return nil, fmt.Errorf("%s: %w", c.Proxy, failure)
	}
	if ctx.Err() != nil {
		return nil, ctx.Err()
	}
	return costResult(total, after.CPU-before.CPU, c.Length), nil
}

// costResult sums a measurement up.
func costResult(total *clientResult, cpuTime, length time.Duration) *metrics.Result {
	seconds := func(percentile float64) float64 {
		return float64(total.latencies.ValueAtQuantile(percentile)) / 1e6
	}
	cpu := cpuTime.Seconds()
	result := &metrics.Result{Metrics: map[string]float64{
		"cpu_us":        cpu * 1e6 / float64(max(total.ok, 1)),
		"rps":           float64(total.ok) / length.Seconds(),
		"p50":           seconds(50),
		"p95":           seconds(95),
		"p99":           seconds(99),
		"other_answers": float64(total.other),
		"busy":          cpu / length.Seconds(),
	}}
	if total.other > total.ok*costWrongPercent/100 {
		result.Void = fmt.Sprintf("%d answers were not 200, %d were", total.other, total.ok)
	}
	return result
}

// sendRepeatedly sends one request after the other on one connection until a time. What it sends from the time from
// on counts.
func sendRepeatedly(
	ctx context.Context, address string, number int, from, until time.Time, result *clientResult,
) error {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return err
	}
	defer conn.Close()
	conn.SetDeadline(until.Add(costFinish))
	reader := bufio.NewReader(conn)
	line := make([]byte, 0, 256)
	for serial := uint64(1); ctx.Err() == nil; serial++ {
		sent := time.Now()
		if sent.After(until) {
			break
		}
		line = append(line[:0], "GET /read/7 HTTP/1.1\r\nHost: lab.svc\r\n"+
			"Req-Kind: read\r\nReq-Owner: everyone\r\nReq-Deadline-Ms: 5000\r\nReq-Id: "...)
		line = fmt.Appendf(line, "%016x\r\n\r\n", uint64(number)<<40|serial)
		status, err := exchangeOne(conn, reader, line)
		if err != nil {
			return err
		}
		switch {
		case sent.Before(from):
		case status == http.StatusOK:
			result.ok++
			// A latency beyond the histogram's range can't occur within the connection's deadline.
			_ = result.latencies.RecordValue(max(time.Since(sent).Microseconds(), 1))
		default:
			result.other++
		}
	}
	return nil
}

// exchangeOne sends a request and reads its response, whose status it returns.
func exchangeOne(conn net.Conn, reader *bufio.Reader, request []byte) (status int, err error) {
	if _, err := conn.Write(request); err != nil {
		return 0, err
	}
	resp, err := http.ReadResponse(reader, nil)
	if err != nil {
		return 0, err
	}
	_, err = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, err
}
