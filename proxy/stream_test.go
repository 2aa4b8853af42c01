package proxy

import (
	"bufio"
	"bytes"
	"crypto/sha256"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httputil"
	"strings"
	"syscall"
	"testing"
	"time"

	"ryerill/config"
)

// pattern returns n fixed pseudo-random bytes, in which no part repeats.
func pattern(n int) []byte {
	b := make([]byte, n)
	r := rand.NewChaCha8(sha256.Sum256([]byte{1}))
	r.Read(b)
	return b
}

const longBodySize = 3 << 20

// A long response is streamed with every kind of framing: the client receives its
// beginning before the endpoint has sent the rest.
func TestLongResponsesAreStreamed(t *testing.T) {
	t.Parallel()
	body := pattern(longBodySize)
	chunks := func(w io.Writer, b []byte) {
		for len(b) > 0 {
			n := min(len(b), 70_001)
			fmt.Fprintf(w, "%x;x=\"y\"\r\n%s\r\n", n, b[:n])
			b = b[n:]
		}
	}
	for _, tc := range []struct {
		name, head string
		write      func(io.Writer, []byte)
		end        string
		close      bool
	}{
		{"a length", fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", longBodySize), func(w io.Writer, b []byte) { w.Write(b) }, "", false},
		{"chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", chunks, "0\r\nX-Sum: 1\r\n\r\n", false},
		{"its end", "HTTP/1.1 200 OK\r\n\r\n", func(w io.Writer, b []byte) { w.Write(b) }, "", true},
		{"its end, before 1.1", "HTTP/1.0 200 OK\r\n\r\n", func(w io.Writer, b []byte) { w.Write(b) }, "", true},
	} {
		for _, version := range []string{"1.1", "1.0"} {
			for _, first := range []int{1, 100_000} {
				t.Run(fmt.Sprint(tc.name, " to ", version, " after ", first), func(t *testing.T) {
					t.Parallel()
					seen := make(chan struct{})
					b := newBackend(t, func(c net.Conn, _ *http.Request) {
						io.WriteString(c, tc.head)
						tc.write(c, body[:first])
						<-seen
						tc.write(c, body[first:])
						io.WriteString(c, tc.end)
						if tc.close {
							c.Close()
						}
					})
					c := dial(t, start(t, nil, b.endpoint("s1", 1)))
					resp := c.send(strings.Replace(request("burn", 15000), "HTTP/1.1", "HTTP/"+version, 1))
					part := make([]byte, first)
					if _, err := io.ReadFull(resp.Body, part); err != nil {
						t.Fatal(err)
					}
					close(seen)
					rest, err := io.ReadAll(resp.Body)
					if err != nil || !bytes.Equal(append(part, rest...), body) || resp.StatusCode != 200 {
						t.Errorf("got %d and %d bytes, error %v; want the whole body with status 200", len(part), len(rest), err)
					}
					if version == "1.1" { // the connection is reusable
						if status, _ := c.ask("GET /ready HTTP/1.1\r\nHost: x\r\n\r\n"); status != 200 {
							t.Errorf("next request: got status %d, want 200", status)
						}
					}
				})
			}
		}
	}
}

// A truncated long response is recognizable as such at the client and counts as failed.
func TestTruncatedLongResponsesAreDetected(t *testing.T) {
	t.Parallel()
	body := string(pattern(200_000))
	for _, tc := range []struct{ name, text, version string }{
		{"a length", "HTTP/1.1 200 OK\r\nContent-Length: 300000\r\n\r\n" + body, "1.1"},
		{"chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + fmt.Sprintf("%x\r\n%s\r\n", len(body), body), "1.1"},
		{"chunks, to 1.0", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + fmt.Sprintf("%x\r\n%s\r\n", len(body), body), "1.0"},
	} {
		b := newBackend(t, respondsAndCloses(tc.text))
		p := run(t, withManagement(""), b.endpoint("s1", 1))
		resp := dial(t, p.Address()).send(strings.Replace(request("burn", 15000), "HTTP/1.1", "HTTP/"+tc.version, 1))
		got, err := io.ReadAll(resp.Body)
		if err == nil || len(got) > len(body) {
			t.Errorf("%s: got %d bytes, error %v; want an error", tc.name, len(got), err)
		}
		if tc.version == "1.0" && !errors.Is(err, syscall.ECONNRESET) {
			t.Errorf("%s: got error %v, want a connection reset", tc.name, err)
		}
		waitUntil(t, "the request to count as failed", func() bool { s := statsOf(t, p); return s.Requests["burn"].Failed == 1 && s.InFlight == 0 })
	}
}

// upload returns the head of a request with a long body, and the writer for its framing.
func upload(size int, chunked bool) (head string, frame func(io.Writer) io.WriteCloser) {
	head = fmt.Sprintf("POST /pay/7 HTTP/1.1\r\nHost: x\r\nReq-Id: u%016x\r\nReq-Kind: pay\r\nIdempotency-Key: k\r\n", rand.Uint64())
	if chunked {
		return head + "Transfer-Encoding: chunked\r\n\r\n", httputil.NewChunkedWriter
	}
	return head + fmt.Sprintf("Content-Length: %d\r\n\r\n", size), func(w io.Writer) io.WriteCloser { return plain{w} }
}

type plain struct{ io.Writer }

func (plain) Close() error { return nil }

// newRawBackend returns an endpoint whose behaviour reads the body from the connection.
func newRawBackend(t *testing.T, behave func(c net.Conn, r *bufio.Reader, req *http.Request)) *backend {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	b := &backend{Listener: l}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				r := bufio.NewReader(c)
				for {
					req, err := http.ReadRequest(r)
					if err != nil {
						return
					}
					b.requests.Add(1)
					behave(c, r, req)
				}
			}()
		}
	}()
	return b
}

// A long request is streamed unchanged. Its deadline starts at its last byte, so
// that a slow client does not use up the endpoint's time.
func TestLongRequestsAreStreamed(t *testing.T) {
	t.Parallel()
	body := pattern(longBodySize)
	for _, chunked := range []bool{false, true} {
		begun := make(chan struct{})
		b := newRawBackend(t, func(c net.Conn, _ *bufio.Reader, req *http.Request) {
			part := make([]byte, 64<<10)
			if _, err := io.ReadFull(req.Body, part); err != nil {
				return
			}
			close(begun)
			rest, err := io.ReadAll(req.Body)
			if err == nil && bytes.Equal(append(part, rest...), body) {
				io.WriteString(c, okay)
			}
		})
		p := run(t, withManagement(""), b.endpoint("s1", 1))
		c := dial(t, p.Address())
		head, frame := upload(longBodySize, chunked)
		io.WriteString(c, head)
		w := frame(c)
		w.Write(body[:100_000])
		await(t, begun, "the beginning of the request at the endpoint")
		if s := statsOf(t, p); s.Attempts != 0 || s.InFlight != 0 {
			t.Errorf("before the last byte: got %+v, want no attempt and none in flight", s)
		}
		w.Write(body[100_000:])
		w.Close()
		if chunked {
			io.WriteString(c, "X-Sum: 1\r\n\r\n")
		}
		if status, text := c.ask(""); status != 200 || text != "fine" {
			t.Errorf("chunked %v: got %d %q, want 200 \"fine\"", chunked, status, text)
		}
		if status, _ := c.ask("GET /ready HTTP/1.1\r\nHost: x\r\n\r\n"); status != 200 {
			t.Errorf("next request: got status %d, want 200", status)
		}
		if s := statsOf(t, p); s.Attempts != 1 || s.InFlight != 0 || s.Requests["pay"].Served != 1 {
			t.Errorf("after the request: got %+v, want 1 attempt, none in flight, 1 served", s)
		}
	}
}

// A long request cannot be retried: it is sent once, its status states
// whether it may have run, and an early response ends its upload.
func TestLongRequestsAreSentOnce(t *testing.T) {
	t.Parallel()
	for _, tc := range []struct {
		name   string
		behave func(c net.Conn, r *bufio.Reader, req *http.Request)
		want   int
	}{
		{"the endpoint breaks in the middle", func(c net.Conn, _ *bufio.Reader, req *http.Request) {
			io.ReadFull(req.Body, make([]byte, 1<<20))
			c.Close()
		}, 503}, // the last byte was not sent
		{"declined in the middle", func(c net.Conn, _ *bufio.Reader, req *http.Request) {
			io.ReadFull(req.Body, make([]byte, 1<<20))
			io.WriteString(c, "HTTP/1.1 503 No\r\nSrv-Declined: 1\r\nContent-Length: 0\r\n\r\n")
			io.Copy(io.Discard, req.Body)
		}, 503},
		{"error after the whole body", func(c net.Conn, _ *bufio.Reader, req *http.Request) {
			io.Copy(io.Discard, req.Body)
			io.WriteString(c, "HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n")
		}, 502},
		{"served", func(c net.Conn, _ *bufio.Reader, req *http.Request) {
			io.Copy(io.Discard, req.Body)
			io.WriteString(c, okay)
		}, 200},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			one, two := newRawBackend(t, tc.behave), newRawBackend(t, tc.behave)
			p := run(t, withManagement(""), one.endpoint("s1", 1), two.endpoint("s2", 1))
			c := dial(t, p.Address())
			const size = 60 << 20 // more than the socket buffers on the path hold
			head, _ := upload(size, false)
			go func() { // after an early response writing may fail
				io.WriteString(c, head)
				c.Write(make([]byte, size))
			}()
			resp := c.send("")
			if resp.StatusCode != tc.want || resp.Close != (tc.want == 503) {
				t.Errorf("got status %d, close %v", resp.StatusCode, resp.Close)
			}
			if n := one.requests.Load() + two.requests.Load(); n != 1 {
				t.Errorf("request was sent %d times, want once", n)
			}
			if s := statsOf(t, p); s.InFlight != 0 {
				t.Errorf("got stats %+v, want nothing in flight", s)
			}
		})
	}
}

// A client that leaves in the middle of its request does not count as a failure
// of the endpoint, and one that stops sending gets status 408.
func TestInterruptedUploads(t *testing.T) {
	t.Parallel()
	b := newRawBackend(t, func(c net.Conn, _ *bufio.Reader, req *http.Request) { io.Copy(io.Discard, req.Body) })
	p := run(t, withManagement(""), b.endpoint("s1", 1))
	for range 20 {
		c := dial(t, p.Address())
		head, _ := upload(longBodySize, false)
		io.WriteString(c, head)
		c.Write(make([]byte, 200_000))
		c.Close()
	}
	waitUntil(t, "all requests to end", func() bool {
		core := p.activePools()[0]
		core.mu.Lock()
		defer core.mu.Unlock()
		return len(core.requests.open) == 0
	})
	if s := statsOf(t, p); s.EndpointsDown != 0 || s.InFlight != 0 {
		t.Errorf("got stats %+v, want no endpoint down and nothing in flight", s)
	}
	slow := dial(t, p.Address())
	head, _ := upload(longBodySize, true)
	io.WriteString(slow, head+"1\r\nx\r\n")
	if status, _ := slow.ask(""); status != 408 {
		t.Errorf("client that stops sending: got status %d, want 408", status)
	}
}

// A client that does not read does not delay others: the proxy stops reading
// from its endpoint and serves the others.
func TestSlowReadersDoNotDelayOthers(t *testing.T) {
	t.Parallel()
	const size = 64 << 20 // more than the socket buffers on the path hold
	var wrote = make(chan int, 8)
	b := newRawBackend(t, func(c net.Conn, _ *bufio.Reader, req *http.Request) {
		io.Copy(io.Discard, req.Body)
		if req.Header.Get("X-Mode") == "" {
			io.WriteString(c, okay)
			return
		}
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", size)
		c.SetWriteDeadline(time.Now().Add(time.Second))
		n, _ := c.Write(make([]byte, size))
		wrote <- n
		c.Close()
	})
	address := start(t, func(c *config.Config) { c.Limits.Memory = 16 << 20 }, b.endpoint("s1", 1))
	for range cap(wrote) {
		c := dial(t, address)
		io.WriteString(c, strings.Replace(request("read", 15000), "Req-Owner: nobody", "X-Mode: long", 1))
	}
	for range 20 {
		if status, _ := dial(t, address).ask(request("read", 15000)); status != 200 {
			t.Errorf("other client: got status %d, want 200", status)
		}
	}
	for range cap(wrote) {
		if n := <-wrote; n >= size {
			t.Error("proxy read the whole response from the endpoint although the client does not read")
		}
	}
}
