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

// answeredAfterStop is how long after its last byte a client that stops in the middle of a request is answered at the
// latest, or its connection closed.
const answeredAfterStop = 3 * time.Second

// receiving reads each request to its end, as an endpoint would, and answers it then.
type receiving struct{ prompt }

func (r receiving) Find(req *http.Request, _ string) (Route, error) {
	return Route{Service: r, Target: req.RequestURI}, nil
}

func (r receiving) Accept(request *message.Request) uint64 {
	go func() {
		if stream := request.Outgoing.Stream; stream != nil {
			if _, err := io.Copy(io.Discard, stream); err != nil {
				return // the server answers what broke off
			}
		}
		request.Reply(message.Result{Kind: message.Served})
	}()
	return 1
}

func (receiving) ClientLeft(uint64) bool { return true }

// Wherever in a request a client stops, and however much it has sent before, it is answered in time.
func TestClientsThatStopInTheMiddleAreAnswered(t *testing.T) {
	server, _ := serving(t, receiving{prompt{names}}, 64)
	const head = "POST /burn HTTP/1.1\r\nHost: x\r\nReq-Id: %s\r\n"
	chunk := fmt.Sprintf("%x\r\n%s\r\n", 32<<10, strings.Repeat("y", 32<<10))
	for name, rest := range map[string]string{
		"in the request line":            "",
		"in a head":                      "Content-Le",
		"before a body":                  "Content-Length: 5\r\n\r\n",
		"in a short body":                "Content-Length: 5\r\n\r\nhel",
		"in a body that is held":         "Content-Length: 65000\r\n\r\n" + strings.Repeat("y", 64000),
		"in a long body":                 "Content-Length: 9000000\r\n\r\n" + strings.Repeat("y", 900000),
		"before a chunk":                 "Transfer-Encoding: chunked\r\n\r\n",
		"in a chunk's length":            "Transfer-Encoding: chunked\r\n\r\n" + chunk + "8",
		"in a chunk":                     "Transfer-Encoding: chunked\r\n\r\n" + strings.Repeat(chunk, 20) + "8\r\nyy",
		"before the last chunk":          "Transfer-Encoding: chunked\r\n\r\n" + chunk,
		"in what follows the last chunk": "Transfer-Encoding: chunked\r\n\r\n" + chunk + "0\r\n",
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
			if took := time.Since(stopped); took > answeredAfterStop {
				t.Errorf("answered after %v", took)
			}
			if err != nil || resp.StatusCode != http.StatusRequestTimeout {
				t.Errorf("answered %v, %v", resp, err)
			}
		})
	}
	t.Run("in the second request", func(t *testing.T) {
		t.Parallel()
		c, r := connect(t, server.Address())
		send(t, c, get(1, "")+get(2, "")[:30])
		stopped := time.Now()
		status200(t, r)
		resp, err := http.ReadResponse(r, nil)
		if err != nil || resp.StatusCode != http.StatusRequestTimeout || time.Since(stopped) > answeredAfterStop {
			t.Errorf("answered %v, %v after %v", resp, err, time.Since(stopped))
		}
	})
	t.Run("one that pauses", func(t *testing.T) {
		t.Parallel()
		c, r := connect(t, server.Address())
		send(t, c, fmt.Sprintf(head, "pauses")+"Content-Length: 200001\r\n\r\n"+strings.Repeat("y", 200000))
		time.Sleep(bodyGrace * 3 / 4)
		send(t, c, "y")
		status200(t, r)
	})
}
