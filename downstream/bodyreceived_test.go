package downstream

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"ryerill/message"
)

// stallingService reads nothing of its uploads, as if their endpoint took no bytes, until the test reads them.
type stallingService struct {
	*heldService
	received chan time.Time
}

func (s stallingService) Find(req *http.Request, _ string) (Route, error) {
	return Route{Service: s, Target: req.RequestURI}, nil
}

func (s stallingService) BodyReceived(_ uint64, at time.Time) { s.received <- at }

// maxReceiptDelay is how late the service may learn that a body was received: well under the 0.5 s by which an answer
// may be late.
const maxReceiptDelay = 250 * time.Millisecond

// longUpload returns the text of a request with a long body in chunks of the given size, without the last chunk.
func longUpload(id string, size, chunkSize int) string {
	chunk := fmt.Sprintf("%x;x=\"y\"\r\n%s\r\n", chunkSize, strings.Repeat("0\r\n\r\n", chunkSize)[:chunkSize])
	return "POST /burn HTTP/1.1\r\nHost: x\r\nReq-Id: " + id + "\r\nTransfer-Encoding: chunked\r\n\r\n" +
		strings.Repeat(chunk, size/chunkSize)
}

// While an endpoint takes nothing of an upload, the last byte may wait unread on the client's connection. The service
// must learn of it then, as the client's time counts from there: it was learnt when the proxy read it, at times never.
func TestBodyReceivedWhileUnread(t *testing.T) {
	const size = 160 << 10 // no more than is buffered and waits unread together
	plain := fmt.Sprintf("POST /burn HTTP/1.1\r\nHost: x\r\nReq-Id: plain\r\nContent-Length: %d\r\n\r\n", size)
	for _, tc := range []struct{ name, text, end string }{
		{"chunks", longUpload("chunks", size, 16<<10), "0\r\n\r\n"},
		{"short chunks", longUpload("short", size*7/16, 7), "0\r\n\r\n"},
		{"one long chunk", longUpload("long", size, size), "0\r\n\r\n"},
		{"trailer", longUpload("trailer", size, 16<<10), "00;x\r\nX-Sum: 1\r\n\r\n"},
		{"next request behind", longUpload("next", size, 16<<10), "0\r\n\r\n" + get(2, "")},
		{"length", plain + strings.Repeat("y", size-1), "y"},
		{"length, next request behind", plain + strings.Repeat("y", size-1), "y" + get(2, "")},
	} {
		t.Run(tc.name, func(t *testing.T) {
			service := stallingService{newHeldService(time.Minute), make(chan time.Time, 8)}
			s, _ := startServer(t, service, 64)
			c, _ := connect(t, s.Address())
			go io.WriteString(c, tc.text)
			request := receiveFrom(t, service.accepted, "the request")
			select {
			case <-service.received:
				t.Fatal("body counted as received before its last byte was sent")
			case <-time.After(10 * clientPollInterval):
			}
			send(t, c, tc.end)
			sent := time.Now()
			if at := receiveFrom(t, service.received, "the body"); at.Sub(sent) > maxReceiptDelay {
				t.Errorf("body counted as received %v after it was, want at most %v", at.Sub(sent), maxReceiptDelay)
			}
			if _, err := io.Copy(io.Discard, request.Outgoing.Stream); err != nil {
				t.Errorf("read the body: %v", err)
			}
			request.Reply(message.Result{Kind: message.Served})
		})
	}
}

// An upload whose client still sends, or waits for room to send, has not been received, however long the proxy does not
// read: such a client's time has not begun.
func TestUnfinishedBodyIsNotReceived(t *testing.T) {
	service := stallingService{newHeldService(time.Minute), make(chan time.Time, 8)}
	s, _ := startServer(t, service, 64)
	c, _ := connect(t, s.Address())
	text := longUpload("unfinished", 32<<20, 16<<10) // more than the connection holds
	go io.WriteString(c, text+"0\r\n\r\n")
	request := receiveFrom(t, service.accepted, "the request")
	part := make([]byte, 4<<20)
	for range 3 {
		time.Sleep(5 * clientPollInterval)
		if _, err := io.ReadFull(request.Outgoing.Stream, part); err != nil {
			t.Fatal(err)
		}
	}
	if len(service.received) > 0 {
		t.Error("body counted as received while the client waits for room to send")
	}
	if _, err := io.Copy(io.Discard, request.Outgoing.Stream); err != nil {
		t.Fatal(err)
	}
	receiveFrom(t, service.received, "the body")
	request.Reply(message.Result{Kind: message.Served})
}
