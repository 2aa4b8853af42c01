package upstream

import (
	"io"
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	"ryerill/balancer"
	"ryerill/internal/buffer"
)

// leftClient is a client that has left.
type leftClient struct{}

func (leftClient) Left() bool { return true }

// Do rechecks right before the first byte whether the attempt may still be sent. An attempt that
// is cancelled, withdrawn, too late or without a client is not written and never ran; its
// connection is closed or goes back to the pool.
func TestDoRechecksBeforeFirstByte(t *testing.T) {
	for _, tc := range []struct {
		name    string
		between func(*Attempt) (may bool)
		want    balancer.Outcome
		kept    int // connections open afterwards, none with a request in flight
	}{
		{"nothing", func(*Attempt) bool { return true }, balancer.OK, 1},
		{"endpoint drains", func(*Attempt) bool { return false }, balancer.NotSent, 1},
		{"cancelled", func(a *Attempt) bool { a.Cancel(); return true }, balancer.NotSent, 0},
		{"withdrawn", func(c *Attempt) bool { c.Withdraw(); return true }, balancer.NotSent, 0},
		{"write deadline over", func(c *Attempt) bool { c.WriteDeadline = time.Now(); return true }, balancer.NotSent, 1},
		{"client has left", func(c *Attempt) bool { c.Request.Client = leftClient{}; return true }, balancer.NotSent, 1},
		{"cancelled and endpoint drains", func(c *Attempt) bool { c.Cancel(); return false }, balancer.NotSent, 0},
	} {
		for _, idle := range []bool{false, true} {
			address, conns, requests := serve(t, okResponse, nil)
			budget := newConnectionBudget(1)
			p := NewPool(budget, time.Hour, 5*time.Second, new(buffer.Pool))
			recordCommonResponses(p)
			if idle { // open the connection first
				p.Do(newAttempt(address))
				<-requests
				waitMinRest()
			}
			c := newAttempt(address)
			c.MaySend = func() bool { return tc.between(c) }
			outcome, response := p.Do(c)
			response.Free()
			if outcome != tc.want || budget.used() != tc.kept {
				t.Errorf("%s, idle connection %v: unexpected outcome %v or number %d of open connections", tc.name, idle, outcome, budget.used())
			}
			waitMinRest()
			// The next attempt succeeds, and the endpoint has received no unwanted request.
			if outcome, _ := p.Do(newAttempt(address)); outcome != balancer.OK {
				t.Errorf("%s, idle connection %v: next attempt got outcome %v, want OK", tc.name, idle, outcome)
			}
			want := 1
			if tc.want == balancer.OK {
				want++
			}
			for range want {
				<-requests
			}
			if len(requests) > 0 || len(conns) > 2-tc.kept {
				t.Errorf("%s, idle connection %v: got %d surplus requests, want 0, or too many connections: %d", tc.name, idle, len(requests), len(conns))
			}
			p.Close()
		}
	}
}

// After the last byte a request may be executed: Withdraw has no effect, and Cancel reports
// that it was possibly executed.
func TestEndingAttemptAfterLastByte(t *testing.T) {
	for _, tc := range []struct {
		name  string
		after func(*Attempt)
		want  balancer.Outcome
	}{
		{"withdrawn", (*Attempt).Withdraw, balancer.OK},
		{"cancelled", (*Attempt).Cancel, balancer.Cancelled},
		{"write deadline over", func(a *Attempt) { a.WriteDeadline = time.Now() }, balancer.OK},
	} {
		answer := make(chan struct{})
		address, _, _ := serve(t, "", func(c net.Conn) { <-answer; io.WriteString(c, okResponse) })
		budget := newConnectionBudget(1)
		p := NewPool(budget, time.Hour, 5*time.Second, new(buffer.Pool))
		c := newAttempt(address)
		c.OnWritten = func() time.Time { tc.after(c); close(answer); return time.Time{} }
		outcome, response := p.Do(c)
		response.Free()
		if outcome != tc.want {
			t.Errorf("%s: unexpected outcome %v", tc.name, outcome)
		}
		if p.Close(); budget.used() != 0 {
			t.Errorf("%s: got %d open connections after Close, want 0", tc.name, budget.used())
		}
	}
}

// fullBacklogListener is a listener whose accept queue is full: no connection opens before acceptAll.
type fullBacklogListener struct {
	net.Listener
	queued []net.Conn
}

func newFullBacklogListener(t *testing.T) *fullBacklogListener {
	t.Helper()
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err == nil {
		err = syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}})
	}
	if err == nil {
		err = syscall.Listen(fd, 0)
	}
	if err != nil {
		t.Fatal(err)
	}
	f := os.NewFile(uintptr(fd), "deaf")
	d := &fullBacklogListener{}
	if d.Listener, err = net.FileListener(f); err != nil {
		t.Fatal(err)
	}
	f.Close()
	for range 2 {
		if c, err := net.DialTimeout("tcp", d.Addr().String(), 50*time.Millisecond); err == nil {
			d.queued = append(d.queued, c)
		}
	}
	t.Cleanup(func() {
		d.Close()
		for _, c := range d.queued {
			c.Close()
		}
	})
	return d
}

// acceptAll accepts all queued and later connections, answers the first request on each, and
// sends the bytes received on each to the channel.
func (d *fullBacklogListener) acceptAll() <-chan string {
	got := make(chan string, 8)
	go func() {
		for {
			c, err := d.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				b := make([]byte, 1<<10)
				if n, _ := c.Read(b); n > 0 {
					got <- string(b[:n])
					io.WriteString(c, okResponse)
				}
			}()
		}
	}()
	return got
}

// A connection that opens after its attempt has ended carries no request.
func TestLateConnectionCarriesNoRequest(t *testing.T) {
	for _, tc := range []struct {
		name string
		set  func(*Attempt)
		end  func(*Attempt)
		want balancer.Outcome
	}{
		{"still wanted", func(*Attempt) {}, func(*Attempt) {}, balancer.OK},
		{"cancelled", func(*Attempt) {}, (*Attempt).Cancel, balancer.NotSent},
		{"withdrawn", func(*Attempt) {}, (*Attempt).Withdraw, balancer.NotSent},
		{"write deadline over", func(a *Attempt) { a.WriteDeadline = time.Now().Add(50 * time.Millisecond) }, nil, balancer.NotSent},
		{"timed out", func(c *Attempt) { c.Deadline = time.Now().Add(50 * time.Millisecond) }, nil, balancer.ConnectFailed},
		{"endpoint drains during the dial", func(c *Attempt) { c.MaySend = func() bool { return false } }, func(*Attempt) {}, balancer.NotSent},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			d := newFullBacklogListener(t)
			budget := newConnectionBudget(1)
			p := NewPool(budget, time.Hour, 20*time.Second, new(buffer.Pool))
			c := newAttempt(d.Addr().String())
			tc.set(c)
			done, began := make(chan balancer.Outcome, 1), time.Now()
			go func() {
				outcome, response := p.Do(c)
				response.Free()
				done <- outcome
			}()
			for dialing := false; !dialing && tc.end != nil; { // wait for the dial
				c.mu.Lock()
				dialing = c.cancelDial != nil
				c.mu.Unlock()
			}
			if tc.end == nil { // the attempt times out before any connection is accepted
				if got, took := <-done, time.Since(began); got != tc.want || took > 10*time.Second {
					t.Errorf("got outcome %v after %v, want %v within 10 s", got, took, tc.want)
				}
			} else {
				tc.end(c)
			}
			received := d.acceptAll()
			if tc.end != nil {
				if got := <-done; got != tc.want {
					t.Errorf("got outcome %v, want %v", got, tc.want)
				}
			}
			// A later connection is accepted after all earlier ones.
			after, err := net.Dial("tcp", d.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			io.WriteString(after, "after")
			first := <-received
			if sent := first != "after"; sent != (tc.want == balancer.OK) {
				t.Errorf("unexpected first bytes %q", first)
			}
			after.Close()
			if p.Close(); budget.used() != 0 {
				t.Errorf("got %d open connections after Close, want 0", budget.used())
			}
		})
	}
}

// The write deadline ends a request that is not written completely, before the attempt's own
// deadline. Its last byte was not written, so it never ran.
func TestWriteDeadlineEndsWriting(t *testing.T) {
	held := make(chan net.Conn, 1)
	p, c := largeAttempt(t, func(c net.Conn) { held <- c }) // the endpoint reads nothing
	c.WriteDeadline = time.Now().Add(100 * time.Millisecond)
	if outcome, _ := p.Do(c); !outcome.NeverRan() {
		t.Errorf("got outcome %v, want one that proves the request never ran", outcome)
	}
	if !time.Now().Before(c.Deadline) {
		t.Error("attempt ended after its deadline, want at its write deadline")
	}
	(<-held).Close()
}

// A reload may shorten the idle limit while connections are idle; it applies from the next attempt on.
func TestSetTimeoutsAppliesToIdleConnections(t *testing.T) {
	for _, tc := range []struct {
		keep  time.Duration
		conns int
	}{{time.Hour, 1}, {time.Nanosecond, 2}} {
		address, conns, requests := serve(t, okResponse, nil)
		budget := newConnectionBudget(8)
		p := NewPool(budget, time.Hour, 5*time.Second, new(buffer.Pool))
		recordCommonResponses(p)
		for i := range 2 {
			if i == 1 {
				waitMinRest()
				p.SetTimeouts(tc.keep, 5*time.Second)
			}
			outcome, response := p.Do(newAttempt(address))
			response.Free()
			if <-requests; outcome != balancer.OK {
				t.Errorf("idle limit %v, attempt %d: got outcome %v, want OK", tc.keep, i, outcome)
			}
		}
		if len(conns) != tc.conns {
			t.Errorf("idle limit %v: unexpected number of connections %d", tc.keep, len(conns))
		}
		if p.Close(); budget.used() != 0 {
			t.Errorf("idle limit %v: got %d open connections after Close, want 0", tc.keep, budget.used())
		}
	}
}
