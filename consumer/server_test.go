package consumer

import (
	"io"
	"net"
	"runtime"
	"testing"
	"time"

	"ryerill/internal/buffer"
	"ryerill/internal/socket"
)

// A request that has reached this machine counts as taken: giving up its
// connection in the same moment would reset it and lose the request.
func TestGivenUpOnlyWhenNothingHasComeIn(t *testing.T) {
	for _, tc := range []struct {
		text string
		want bool
	}{{"", false}, {"GET", true}} {
		s, err := Listen("127.0.0.1:0", 16, Names{}, new(buffer.Pool))
		if err != nil {
			t.Fatal(err)
		}
		defer s.listener.Close()
		client, err := net.Dial("tcp", s.Address())
		if err != nil {
			t.Fatal(err)
		}
		defer client.Close()
		nc, err := s.listener.AcceptTCP()
		if err != nil {
			t.Fatal(err)
		}
		defer nc.Close()
		c := &conn{server: s, nc: nc, limit: limitReader{r: nc, N: maxHead}, idle: true}
		c.r = s.buffers.Reader(&c.limit)
		io.WriteString(client, tc.text)
		for until := time.Now().Add(20 * time.Second); (socket.Peek(nc) == socket.Waiting) != tc.want && time.Now().Before(until); {
			runtime.Gosched() // until the bytes have come in
		}
		s.mu.Lock()
		c.giveUp()
		s.mu.Unlock()
		if got := c.begin(); got != tc.want {
			t.Errorf("%q came in: goes on %v", tc.text, got)
		}
	}
}
