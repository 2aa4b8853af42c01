package socket

import (
	"net"
	"testing"
	"time"
)

// Closing the listener ends a pending Await, and later calls of Await and Next fail with an error that IsClosed
// reports.
func TestListenerCloseEndsAccept(t *testing.T) {
	listener, err := Listen("127.0.0.1:0", false)
	if err != nil {
		t.Fatal(err)
	}
	ended := make(chan error, 1)
	go func() {
		_, err := listener.Await()
		ended <- err
	}()
	time.Sleep(20 * time.Millisecond) // until Await blocks
	listener.Close()
	select {
	case err := <-ended:
		if !IsClosed(err) {
			t.Errorf("pending Await: got error %v, want one of a closed listener", err)
		}
	case <-time.After(10 * time.Second):
		t.Fatal("pending Await did not return within 10s of the close")
	}
	for name, accept := range map[string]func() (int, error){"await": listener.Await, "next": listener.Next} {
		if _, err := accept(); !IsClosed(err) {
			t.Errorf("%s after the close: got error %v, want one of a closed listener", name, err)
		}
	}
	if conn, err := net.Dial("tcp", listener.Addr().String()); err == nil {
		conn.Close()
		t.Error("dial after the close: got a connection, want an error")
	}
}
