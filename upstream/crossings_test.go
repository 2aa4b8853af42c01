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

// departed is a client that has left.
type departed struct{}

func (departed) Left() bool { return true }

// Whatever comes between the choice of an endpoint and the first byte is looked at right
// before that byte: a call that is not wanted any more, or comes too late to be harmless,
// is not written, never ran, and leaves the connection to others or closed.
func TestBetweenTheChoiceAndTheFirstByte(t *testing.T) {
	for _, tc := range []struct {
		name    string
		between func(*Attempt) (may bool)
		want    balancer.Outcome
		kept    int // connections, with nothing out
	}{
		{"nothing", func(*Attempt) bool { return true }, balancer.OK, 1},
		{"the endpoint drains", func(*Attempt) bool { return false }, balancer.NotSent, 1},
		{"cancelled", func(c *Attempt) bool { c.Cancel(); return true }, balancer.NotSent, 0},
		{"withdrawn", func(c *Attempt) bool { c.Withdraw(); return true }, balancer.NotSent, 0},
		{"its time is over", func(c *Attempt) bool { c.WriteDeadline = time.Now(); return true }, balancer.NotSent, 1},
		{"its client has left", func(c *Attempt) bool { c.Request.Client = departed{}; return true }, balancer.NotSent, 1},
		{"cancelled and the endpoint drains", func(c *Attempt) bool { c.Cancel(); return false }, balancer.NotSent, 0},
	} {
		for _, idle := range []bool{false, true} {
			address, conns, requests := serve(t, okay, nil)
			descriptors := newDescriptors(1)
			p := NewPool(descriptors, time.Hour, 5*time.Second, new(buffer.Pool))
			knowResponses(p)
			if idle { // the connection is there already
				p.Do(newCall(address))
				<-requests
				letRest()
			}
			c := newCall(address)
			c.MaySend = func() bool { return tc.between(c) }
			outcome, response := p.Do(c)
			response.Free()
			if outcome != tc.want || descriptors.used() != tc.kept {
				t.Errorf("%s, on an idle connection %v: %v, %d connections kept", tc.name, idle, outcome, descriptors.used())
			}
			letRest()
			// The next call finds all in order, and the endpoint has had no more than what was wanted.
			if outcome, _ := p.Do(newCall(address)); outcome != balancer.OK {
				t.Errorf("%s, on an idle connection %v, then: %v", tc.name, idle, outcome)
			}
			want := 1
			if tc.want == balancer.OK {
				want++
			}
			for range want {
				<-requests
			}
			if len(requests) > 0 || len(conns) > 2-tc.kept {
				t.Errorf("%s, on an idle connection %v: %d requests too many, %d connections", tc.name, idle, len(requests), len(conns))
			}
			p.Close()
		}
	}
}

// From the last byte on a call may run: withdrawing it leaves it alone, and calling it
// off says that it may have.
func TestRightAfterTheLastByte(t *testing.T) {
	for _, tc := range []struct {
		name  string
		after func(*Attempt)
		want  balancer.Outcome
	}{
		{"withdrawn", (*Attempt).Withdraw, balancer.OK},
		{"cancelled", (*Attempt).Cancel, balancer.Cancelled},
		{"no repeat would be harmless now", func(c *Attempt) { c.WriteDeadline = time.Now() }, balancer.OK},
	} {
		answer := make(chan struct{})
		address, _, _ := serve(t, "", func(c net.Conn) { <-answer; io.WriteString(c, okay) })
		descriptors := newDescriptors(1)
		p := NewPool(descriptors, time.Hour, 5*time.Second, new(buffer.Pool))
		c := newCall(address)
		c.OnWritten = func() time.Time { tc.after(c); close(answer); return time.Time{} }
		outcome, response := p.Do(c)
		response.Free()
		if outcome != tc.want {
			t.Errorf("%s: %v", tc.name, outcome)
		}
		if p.Close(); descriptors.used() != 0 {
			t.Errorf("%s: %d connections held", tc.name, descriptors.used())
		}
	}
}

// deafListener is a machine that takes no connection until it hears: its queue is full.
type deafListener struct {
	net.Listener
	filled []net.Conn
}

func newDeaf(t *testing.T) *deafListener {
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
	d := &deafListener{}
	if d.Listener, err = net.FileListener(f); err != nil {
		t.Fatal(err)
	}
	f.Close()
	for range 2 {
		if c, err := net.DialTimeout("tcp", d.Addr().String(), 50*time.Millisecond); err == nil {
			d.filled = append(d.filled, c)
		}
	}
	t.Cleanup(func() {
		d.Close()
		for _, c := range d.filled {
			c.Close()
		}
	})
	return d
}

// hear takes what stands in the queue and what comes then, and returns the first connection on which bytes come.
func (d *deafListener) hear() <-chan string {
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
					io.WriteString(c, okay)
				}
			}()
		}
	}()
	return got
}

// A connection that comes up late, after its call has ended, brings no request.
func TestConnectionsThatComeUpLate(t *testing.T) {
	for _, tc := range []struct {
		name string
		set  func(*Attempt)
		end  func(*Attempt)
		want balancer.Outcome
	}{
		{"still wanted", func(*Attempt) {}, func(*Attempt) {}, balancer.OK},
		{"cancelled", func(*Attempt) {}, (*Attempt).Cancel, balancer.NotSent},
		{"withdrawn", func(*Attempt) {}, (*Attempt).Withdraw, balancer.NotSent},
		{"no repeat is harmless any more", func(c *Attempt) { c.WriteDeadline = time.Now().Add(50 * time.Millisecond) }, nil, balancer.NotSent},
		{"timed out", func(c *Attempt) { c.Deadline = time.Now().Add(50 * time.Millisecond) }, nil, balancer.ConnectFailed},
		{"on its way, the endpoint begins to drain", func(c *Attempt) { c.MaySend = func() bool { return false } }, func(*Attempt) {}, balancer.NotSent},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			d := newDeaf(t)
			descriptors := newDescriptors(1)
			p := NewPool(descriptors, time.Hour, 20*time.Second, new(buffer.Pool))
			c := newCall(d.Addr().String())
			tc.set(c)
			over, began := make(chan balancer.Outcome, 1), time.Now()
			go func() {
				outcome, response := p.Do(c)
				response.Free()
				over <- outcome
			}()
			for dialling := false; !dialling && tc.end != nil; { // the call is out
				c.mu.Lock()
				dialling = c.cancelDial != nil
				c.mu.Unlock()
			}
			if tc.end == nil { // by its own time, before the machine hears
				if got, took := <-over, time.Since(began); got != tc.want || took > 10*time.Second {
					t.Errorf("%v after %v, want %v", got, took, tc.want)
				}
			} else {
				tc.end(c)
			}
			heard := d.hear()
			if tc.end != nil {
				if got := <-over; got != tc.want {
					t.Errorf("%v, want %v", got, tc.want)
				}
			}
			// Another connection is through, and all that came before it has been heard out.
			after, err := net.Dial("tcp", d.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			io.WriteString(after, "after")
			first := <-heard
			if sent := first != "after"; sent != (tc.want == balancer.OK) {
				t.Errorf("%q arrived", first)
			}
			after.Close()
			if p.Close(); descriptors.used() != 0 {
				t.Errorf("%d connections held", descriptors.used())
			}
		})
	}
}

// A request that can't be out whole in time is broken off: its last byte was never
// written, so it never ran, however long its answer would have been waited for.
func TestWritingEndsWhenARepeatIsNoLongerHarmless(t *testing.T) {
	held := make(chan net.Conn, 1)
	p, c := largeCall(t, func(c net.Conn) { held <- c }) // who reads nothing of it
	c.WriteDeadline = time.Now().Add(100 * time.Millisecond)
	if outcome, _ := p.Do(c); !outcome.NeverRan() {
		t.Errorf("recorded as: %v", outcome)
	}
	if !time.Now().Before(c.Deadline) {
		t.Error("it was waited for until its answer was due")
	}
	(<-held).Close()
}

// A reload may shorten the idle limit while connections rest: it holds from the next look on.
func TestIdleLimitShrinksWhileConnectionsAreIdle(t *testing.T) {
	for _, tc := range []struct {
		keep  time.Duration
		conns int
	}{{time.Hour, 1}, {time.Nanosecond, 2}} {
		address, conns, requests := serve(t, okay, nil)
		descriptors := newDescriptors(8)
		p := NewPool(descriptors, time.Hour, 5*time.Second, new(buffer.Pool))
		knowResponses(p)
		for i := range 2 {
			if i == 1 {
				letRest()
				p.SetTimeouts(tc.keep, 5*time.Second)
			}
			outcome, response := p.Do(newCall(address))
			response.Free()
			if <-requests; outcome != balancer.OK {
				t.Errorf("keep %v, call %d: %v", tc.keep, i, outcome)
			}
		}
		if len(conns) != tc.conns {
			t.Errorf("keep %v: %d connections", tc.keep, len(conns))
		}
		if p.Close(); descriptors.used() != 0 {
			t.Errorf("keep %v: %d connections held", tc.keep, descriptors.used())
		}
	}
}
