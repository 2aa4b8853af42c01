package proxy

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"go.uber.org/goleak"

	"ryerill/config"
	"ryerill/discovery"
)

// cancelBound is how long after its client has left a request may still be sent.
const cancelBound = 300 * time.Millisecond

// acceptStalled accepts the connections in the stalled listener's queue and later ones.
// The channel receives the first bytes of each.
func (s *stageTest) acceptStalled() <-chan string {
	got := make(chan string, 64)
	go func() {
		for {
			c, err := s.stalled.Accept()
			if err != nil {
				return
			}
			s.t.Cleanup(func() { c.Close() })
			go func() {
				b := make([]byte, 4<<10)
				if n, _ := c.Read(b); n > 0 {
					got <- string(b[:n])
				}
			}()
		}
	}()
	return got
}

// If a client leaves while the first attempt of its request is connecting, the request is
// not sent, whether or not running attempts may be cancelled, and its resources are released.
func TestConnectingRequestIsNotSentAfterClientLeaves(t *testing.T) {
	leaks := goleak.IgnoreCurrent()
	t.Run("all", func(t *testing.T) {
		for name, leave := range map[string]func(net.Conn){
			"closes":        func(c net.Conn) { c.Close() },
			"resets":        func(c net.Conn) { c.(*net.TCPConn).SetLinger(0); c.Close() },
			"ends its side": func(c net.Conn) { c.(*net.TCPConn).CloseWrite() },
		} {
			for _, cancel := range []bool{true, false} {
				for _, more := range []int{0, 5 << 10} { // bytes after the request
					for _, class := range []string{"read", "burn"} {
						t.Run(fmt.Sprint(name, ", cancel ", cancel, ", ", more, " more, ", class), func(t *testing.T) {
							t.Parallel()
							testDepartureWhileConnecting(t, class, leave, cancel, more)
						})
					}
				}
			}
		}
	})
	if err := goleak.Find(leaks); err != nil {
		t.Error(err)
	}
}

func testDepartureWhileConnecting(t *testing.T, class string, leave func(net.Conn), cancel bool, more int) {
	s := newStageTest(t, class, func(cfg *config.Config) {
		l := &cfg.Pools[0].Settings.Balancer.Limits
		l.AllowCancel, l.ConnectTimeout = cancel, testTimeout
	})
	s.stallDials()
	s.write(s.requestText("serve", "") + strings.Repeat("x", more))
	waitUntil(t, "an attempt in flight", func() bool { return s.inFlight() == 1 })
	left := time.Now()
	leave(s.c.Conn)
	waitUntil(t, "the end of the attempt", func() bool { return s.inFlight() == 0 })
	if took := time.Since(left); took > cancelBound {
		t.Errorf("request could be sent for %v after its client left", took)
	}
	received := s.acceptStalled()
	after, err := net.Dial("tcp", s.stalled.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	io.WriteString(after, "after")
	if first := <-received; first != "after" {
		t.Errorf("got %q at the endpoint, want \"after\" only", first)
	}
	after.Close()
	s.c.Close()
	s.awaitReleased(s.core(), 1)
	s.checkRules()
	s.close()
}

// A request gets no further attempt if its client leaves at the end of an attempt. Both orders of the
// attempt's end and the client's end are tested.
func TestBrokenAttemptIsNotRetriedAfterClientLeaves(t *testing.T) {
	for _, class := range []string{"read", "pay"} {
		for _, leavesFirst := range []bool{true, false} {
			t.Run(fmt.Sprint(class, ", leaves first ", leavesFirst), func(t *testing.T) {
				s := newStageTest(t, class, func(cfg *config.Config) { cfg.Pools[0].Settings.Balancer.Limits.AllowCancel = false })
				defer s.close()
				s.write(s.requestText("hang", ""))
				s.awaitArrival()
				c := s.core()
				if leavesFirst {
					s.c.Close()
					waitUntil(t, "the proxy to notice that the client left", func() bool { return s.p.counters.inFlight.Load() == 0 })
				}
				for _, b := range s.peers {
					b.Close() // no other attempt can connect
				}
				for _, b := range s.peers {
					b.CloseAll() // the current attempt ends
				}
				if !leavesFirst {
					if got := s.readStatus(); got == http.StatusOK {
						t.Errorf("got status %d, want a failure", got)
					}
					s.c.Close()
				}
				s.awaitReleased(c, 1)
				s.mu.Lock()
				defer s.mu.Unlock()
				for id, all := range s.received {
					if len(all) != 1 {
						t.Errorf("request %s was sent %d times, want once", id, len(all))
					}
				}
			})
		}
	}
}

// If the address of an endpoint is reassigned while an attempt is connecting to it, directly or
// after the endpoint was gone, the request goes to another address than the reassigned one.
func TestAddressReassignedDuringDial(t *testing.T) {
	for i, class := range []string{"read", "pay", "burn", "read", "burn"} {
		gone := i >= 3
		t.Run(fmt.Sprint(class, ", gone ", gone), func(t *testing.T) {
			t.Parallel()
			s := newStageTest(t, class, func(cfg *config.Config) { cfg.Pools[0].Settings.Balancer.Limits.ConnectTimeout = testTimeout })
			defer s.close()
			var list []discovery.Endpoint
			for i, name := range []string{"s1", "s2", "t1", "cold"} {
				list = append(list, s.peers[i].endpoint(name, []int{1, 1, 2, 1}[i]))
			}
			s.stallDials()
			c := s.core()
			for _, e := range list { // lists state the stalled address
				e.Address = s.stalled.Addr().String()
				c.EndpointsListed(discovery.EndpointList{Index: 1, Endpoints: []discovery.Endpoint{e}})
			}
			s.write(s.requestText("serve", ""))
			waitUntil(t, "an attempt in flight", func() bool { return s.inFlight() == 1 })
			if gone {
				c.EndpointsListed(discovery.EndpointList{Index: 2, Snapshot: true})
			}
			c.EndpointsListed(discovery.EndpointList{Index: 3, Snapshot: true, Endpoints: list})
			received := s.acceptStalled() // now the address of another endpoint
			if got := s.readStatus(); got != http.StatusOK {
				t.Errorf("got status %d, want 200", got)
			}
			select {
			case text := <-received:
				t.Errorf("got %q at the reassigned address, want nothing", text)
			default:
			}
			s.c.Close()
			s.awaitReleased(c, 1)
			s.checkRules()
		})
	}
}
