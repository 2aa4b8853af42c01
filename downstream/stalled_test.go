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

// maxAnswerDelay is the time within which a client that stalls in a request is answered, or its connection closed,
// counted from its last byte.
const maxAnswerDelay = 3 * time.Second

// readingService reads each request to its end, as an endpoint would, and then answers it.
type readingService struct{ immediateService }

func (r readingService) Find(req *http.Request, _ string) (Route, error) {
	return Route{Service: r, Target: req.RequestURI}, nil
}

func (r readingService) Accept(request *message.Request) uint64 {
	go func() {
		if stream := request.Outgoing.Stream; stream != nil {
			if _, err := io.Copy(io.Discard, stream); err != nil {
				return // the server answers a failed upload
			}
		}
		request.Reply(message.Result{Kind: message.Served})
	}()
	return 1
}

func (readingService) ClientLeft(uint64) bool { return true }

// A client that stalls in a request is answered 408 in time, at whatever point it stalls and however much it has sent.
func TestStalledRequestsTimeOut(t *testing.T) {
	server, _ := startServer(t, readingService{immediateService{testClasses}}, 64)
	const head = "POST /burn HTTP/1.1\r\nHost: x\r\nReq-Id: %s\r\n"
	chunk := fmt.Sprintf("%x\r\n%s\r\n", 32<<10, strings.Repeat("y", 32<<10))
	for name, rest := range map[string]string{
		"in the request line":   "",
		"in a head":             "Content-Le",
		"before a body":         "Content-Length: 5\r\n\r\n",
		"in a short body":       "Content-Length: 5\r\n\r\nhel",
		"in a buffered body":    "Content-Length: 65000\r\n\r\n" + strings.Repeat("y", 64000),
		"in a long body":        "Content-Length: 9000000\r\n\r\n" + strings.Repeat("y", 900000),
		"before a chunk":        "Transfer-Encoding: chunked\r\n\r\n",
		"in a chunk's length":   "Transfer-Encoding: chunked\r\n\r\n" + chunk + "8",
		"in a chunk":            "Transfer-Encoding: chunked\r\n\r\n" + strings.Repeat(chunk, 20) + "8\r\nyy",
		"before the last chunk": "Transfer-Encoding: chunked\r\n\r\n" + chunk,
		"in the trailer":        "Transfer-Encoding: chunked\r\n\r\n" + chunk + "0\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c, r := connect(t, server.Address())
			text := fmt.Sprintf(head, strings.ReplaceAll(name, " ", "-")) + rest
			if rest == "" {
				text = text[:10]
			}
			send(t, c, text)
			stopped := time.Now()
			resp, err := http.ReadResponse(r, nil)
			if took := time.Since(stopped); took > maxAnswerDelay {
				t.Errorf("answered after %v, want at most 3s", took)
			}
			if err != nil || resp.StatusCode != http.StatusRequestTimeout {
				t.Errorf("got response %v, error %v, want status 408", resp, err)
			}
		})
	}
	t.Run("in the second request", func(t *testing.T) {
		t.Parallel()
		c, r := connect(t, server.Address())
		send(t, c, get(1, "")+get(2, "")[:30])
		stopped := time.Now()
		expectOK(t, r)
		resp, err := http.ReadResponse(r, nil)
		if err != nil || resp.StatusCode != http.StatusRequestTimeout || time.Since(stopped) > maxAnswerDelay {
			t.Errorf("got response %v, error %v after %v, want status 408 within 3s", resp, err, time.Since(stopped))
		}
	})
	t.Run("pause shorter than the limit", func(t *testing.T) {
		t.Parallel()
		c, r := connect(t, server.Address())
		send(t, c, fmt.Sprintf(head, "pauses")+"Content-Length: 200001\r\n\r\n"+strings.Repeat("y", 200000))
		time.Sleep(bodyGrace * 3 / 4)
		send(t, c, "y")
		expectOK(t, r)
	})
}
