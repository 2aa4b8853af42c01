package proxy

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

const (
	uploadDeadline = time.Second            // of the requests below
	answerSlack    = 550 * time.Millisecond // a final answer may come so long after the deadline
)

// uploadingClient sends a request with a body in chunks, as fast as the proxy's machine takes it.
type uploadingClient struct{ *client }

func newUploadingClient(t *testing.T, address string) uploadingClient {
	t.Helper()
	c := uploadingClient{dial(t, address)}
	head, _ := upload(0, true)
	deadline := fmt.Sprintf("Req-Deadline-Ms: %d\r\n\r\n", uploadDeadline.Milliseconds())
	if _, err := io.WriteString(c, strings.TrimSuffix(head, "\r\n")+deadline); err != nil {
		t.Fatal(err)
	}
	return c
}

// stallAtLastByte sends chunks until the proxy, whose endpoint takes no more, reads no more of them, and then the last
// chunk, which the proxy's machine still takes.
func (c uploadingClient) stallAtLastByte() {
	c.t.Helper()
	widest := uint32(0)
	for stalled := false; !stalled; {
		c.write(uploadedChunk)
		widest = max(widest, c.info().Snd_wnd)
		for end := time.Now().Add(stallTime); c.info().Snd_wnd < widest/2 && !stalled; time.Sleep(time.Millisecond) {
			stalled = time.Now().After(end)
		}
	}
	c.write("0\r\n\r\n")
}

// write writes text and waits until the proxy's machine has acknowledged it.
func (c uploadingClient) write(text string) {
	c.t.Helper()
	if _, err := io.WriteString(c, text); err != nil {
		c.t.Fatal(err)
	}
	waitUntil(c.t, "the acknowledgement", func() bool { info := c.info(); return info.Unacked == 0 && info.Notsent_bytes == 0 })
}

// info returns the state of the connection.
func (c uploadingClient) info() (info *unix.TCPInfo) {
	c.t.Helper()
	raw, err := c.Conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		c.t.Fatal(err)
	}
	_ = raw.Control(func(fd uintptr) { info, err = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO) })
	if err != nil {
		c.t.Fatal(err)
	}
	return info
}

// expectAnswer expects a final answer, with one of the given statuses, in the time that counts from the last byte.
func (c uploadingClient) expectAnswer(statuses ...int) {
	c.t.Helper()
	sent := time.Now()
	resp, err := http.ReadResponse(c.r, nil)
	if err != nil {
		c.t.Fatal(err)
	}
	if took := time.Since(sent); took > uploadDeadline+answerSlack || !slices.Contains(statuses, resp.StatusCode) {
		c.t.Errorf("got status %d %v after the last byte, want one of %v at most %v after it", resp.StatusCode, took, statuses, uploadDeadline+answerSlack)
	}
}

// stalledUpload returns a proxy and a client whose upload, to its last byte, waits for an endpoint. The endpoint takes as
// many bytes as each step says and never answers.
func stalledUpload(t *testing.T) (p *Proxy, c uploadingClient, steps chan<- int64) {
	t.Helper()
	taken := make(chan int64, 1024)
	t.Cleanup(func() { close(taken) })
	b := newRawBackend(t, func(_ net.Conn, r *bufio.Reader, _ *http.Request) {
		for bytes := range taken {
			if _, err := io.CopyN(io.Discard, r, bytes); err != nil {
				return
			}
		}
	})
	p = run(t, withManagement(""), b.endpoint("s1", 1))
	c = newUploadingClient(t, p.Address())
	c.stallAtLastByte()
	return p, c, taken
}

const (
	uploadChunk = 16 << 10               // bytes
	slowStep    = 128 << 10              // bytes that a slow endpoint takes at once
	stallTime   = 300 * time.Millisecond // a proxy that takes nothing for so long has stalled
)

var uploadedChunk = fmt.Sprintf("%x\r\n%s\r\n", uploadChunk, make([]byte, uploadChunk))

// An endpoint falls silent in the middle of an upload, and the client's last byte waits unread in the proxy's machine:
// the answer came 10 s after the proxy's last write, whatever the client's time.
func TestUploadToSilentEndpointIsAnsweredInTime(t *testing.T) {
	t.Parallel()
	p, c, _ := stalledUpload(t)
	c.expectAnswer(http.StatusServiceUnavailable) // it never ran
	waitUntil(t, "the request to be counted", func() bool { s := statsOf(t, p); return s.InFlight == 0 && s.Requests["pay"].Shed == 1 })
	if got := p.activePools()[0].ends.counts().Uploads["endpoint takes no bytes"]; got != 1 {
		t.Errorf("got %d uploads given up as the endpoint takes no bytes, want 1", got)
	}
}

// An endpoint takes an upload too slowly for the client's time, which counts from the last byte in the proxy's machine
// and not from the last one that the proxy wrote. The endpoint is not down.
func TestUploadToSlowEndpointIsAnsweredInTime(t *testing.T) {
	t.Parallel()
	p, c, steps := stalledUpload(t)
	ended := make(chan struct{})
	defer func() { <-ended }()
	go func() {
		defer close(ended)
		for range 20 {
			steps <- slowStep
			time.Sleep(uploadDeadline / 10)
		}
	}()
	c.expectAnswer(http.StatusServiceUnavailable, http.StatusGatewayTimeout)
	if s := statsOf(t, p); s.EndpointsDown != 0 {
		t.Errorf("got stats %+v, want no endpoint down", s)
	}
}

// An endpoint that pauses for longer than the client's time, while the client has not sent its last byte, is slow and
// sound: the client's time has not begun, and the upload must not be given up.
func TestUploadOutlastsPausesOfEndpoint(t *testing.T) {
	t.Parallel()
	b := newRawBackend(t, func(c net.Conn, r *bufio.Reader, req *http.Request) {
		for range 2 {
			time.Sleep(2 * uploadDeadline)
			if _, err := io.CopyN(io.Discard, req.Body, uploadChunk); err != nil {
				return
			}
		}
		if _, err := io.Copy(io.Discard, req.Body); err == nil {
			io.WriteString(c, okay)
		}
	})
	c := newUploadingClient(t, start(t, nil, b.endpoint("s1", 1)))
	began := time.Now()
	for time.Since(began) < 3*uploadDeadline {
		if _, err := io.WriteString(c, uploadedChunk); err != nil { // waits while no connection on the path has room
			t.Fatal(err)
		}
	}
	if _, err := io.WriteString(c, "0\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	c.expectAnswer(http.StatusOK)
}

// An endpoint falls silent in the middle of a response that it began before the upload was whole. The proxy reads no
// more of the upload then, and the client's time counts all the same.
func TestUploadWithHalfAnEarlyResponseIsAnsweredInTime(t *testing.T) {
	t.Parallel()
	responded := make(chan struct{})
	b := newRawBackend(t, func(c net.Conn, _ *bufio.Reader, req *http.Request) {
		io.CopyN(io.Discard, req.Body, uploadChunk)
		io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Le")
		close(responded)
		io.Copy(io.Discard, c)
	})
	c := newUploadingClient(t, start(t, nil, b.endpoint("s1", 1)))
	for range 6 { // more than is buffered
		c.write(uploadedChunk)
	}
	await(t, responded, "the half response")
	c.write(uploadedChunk + "0\r\n\r\n")
	c.expectAnswer(http.StatusBadGateway, http.StatusGatewayTimeout)
}
