package proxy

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"

	"ryerill/config"
	"ryerill/fleet"
)

// The fleet host reads the activity of the pools while responses are streamed. Each response is recorded under the pool's
// mutex, which the race detector checks.
func TestActivityRacesWithStreamedResponses(t *testing.T) {
	t.Parallel()
	const (
		clients           = 8
		requestsPerClient = 25
	)
	body := pattern(1 << 20)
	endpoint := newBackend(t, func(c net.Conn, _ *http.Request) {
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", len(body))
		c.Write(body)
	})
	p := run(t, func(cfg *config.Config) {
		cfg.Fleet = &config.Fleet{Config: fleet.Config{
			Name: "n1", Fleet: "f", Listen: "127.0.0.1:0", Keys: [][]byte{[]byte("a-key-of-sixteen-bytes")},
		}}
	}, endpoint.endpoint("s1", 1))
	var active sync.WaitGroup
	for range clients {
		c := dial(t, p.Address())
		active.Go(func() {
			for range requestsPerClient {
				if _, err := io.WriteString(c, request("read", 15000)); err != nil {
					t.Error(err)
					return
				}
				response, err := http.ReadResponse(c.r, nil)
				if err != nil {
					t.Error(err)
					return
				}
				if n, err := io.Copy(io.Discard, response.Body); err != nil || n != int64(len(body)) {
					t.Errorf("got %d of %d bytes, status %d, error %v", n, len(body), response.StatusCode, err)
					return
				}
			}
		})
	}
	ended := make(chan struct{})
	go func() { defer close(ended); active.Wait() }()
	for reading := true; reading; {
		p.poolActivity()
		select {
		case <-ended:
			reading = false
		default:
		}
	}
	// A client may have read its response before the end of the response is recorded.
	waitUntil(t, "all responses to be recorded", func() bool {
		all := p.poolActivity()
		return len(all) == 1 && all[0].Responses == clients*requestsPerClient
	})
}
