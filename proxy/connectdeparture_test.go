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

// cancelBound is how long after its client has left a request may still be sent on.
const cancelBound = 300 * time.Millisecond

// acceptStalled accepts the connections in the stalled listener's queue and those that
// come then. It returns the bytes that arrive on each.
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

// A client that leaves while its request waits for its first attempt: the request is
// not sent on, whether or not what runs may be cancelled, and all that it held is free.
func TestConnectingRequestIsNotSentAfterClientLeaves(t *testing.T) {
	leaks := goleak.IgnoreCurrent()
	t.Run("all", func(t *testing.T) {
		for name, leave := range map[string]func(net.Conn){
			"closes":        func(c net.Conn) { c.Close() },
			"resets":        func(c net.Conn) { c.(*net.TCPConn).SetLinger(0); c.Close() },
			"ends its side": func(c net.Conn) { c.(*net.TCPConn).CloseWrite() },
		} {
			for _, cancel := range []bool{true, false} {
				for _, more := range []int{0, 5 << 10} { // bytes behind the request
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
	waitUntil(t, "its end", func() bool { return s.inFlight() == 0 })
	if took := time.Since(left); took > cancelBound {
		t.Errorf("it could be sent on for %v", took)
	}
	received := s.acceptStalled()
	after, err := net.Dial("tcp", s.stalled.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	io.WriteString(after, "after")
	if first := <-received; first != "after" {
		t.Errorf("sent on: %q", first)
	}
	after.Close()
	s.c.Close()
	s.awaitReleased(s.core(), 1)
	s.checkRules()
	s.close()
}

// A client that leaves between an attempt's end and the next causes no other attempt: the response of
// the first and the client's end come in both orders.
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
					waitUntil(t, "it has left", func() bool { return s.p.counters.inFlight.Load() == 0 })
				}
				for _, b := range s.peers {
					b.Close() // no other attempt can be made
				}
				for _, b := range s.peers {
					b.CloseAll() // and this one ends
				}
				if !leavesFirst {
					if got := s.readStatus(); got == http.StatusOK {
						t.Errorf("answered %d", got)
					}
					s.c.Close()
				}
				s.awaitReleased(c, 1)
				s.mu.Lock()
				defer s.mu.Unlock()
				for id, all := range s.received {
					if len(all) != 1 {
						t.Errorf("%s went out %d times", id, len(all))
					}
				}
			})
		}
	}
}

// An address may pass to another endpoint while an attempt is connecting to it, at once or
// after its endpoint was gone for a while: the attempt is not made there, but elsewhere.
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
			for _, e := range list { // as a list would have stated it
				e.Address = s.stalled.Addr().String()
				c.EndpointsListed(discovery.EndpointList{Index: 1, Endpoints: []discovery.Endpoint{e}})
			}
			s.write(s.requestText("serve", ""))
			waitUntil(t, "an attempt in flight", func() bool { return s.inFlight() == 1 })
			if gone {
				c.EndpointsListed(discovery.EndpointList{Index: 2, Snapshot: true})
			}
			c.EndpointsListed(discovery.EndpointList{Index: 3, Snapshot: true, Endpoints: list})
			received := s.acceptStalled() // the one that has the address now
			if got := s.readStatus(); got != http.StatusOK {
				t.Errorf("answered %d", got)
			}
			select {
			case text := <-received:
				t.Errorf("sent to the endpoint that has the address now: %q", text)
			default:
			}
			s.c.Close()
			s.awaitReleased(c, 1)
			s.checkRules()
		})
	}
}
