package socket

import (
	"net"
	"testing"
	"time"
)

// Whoever waits for connections is told when the listener is closed, and so is who asks later.
func TestClosingAListenerEndsAccepting(t *testing.T) {
	listener, err := Listen("127.0.0.1:0", false)
	if err != nil {
		t.Fatal(err)
	}
	ended := make(chan error, 1)
	go func() {
		_, err := listener.Await()
		ended <- err
	}()
	time.Sleep(20 * time.Millisecond) // it waits
	listener.Close()
	select {
	case err := <-ended:
		if !IsClosed(err) {
			t.Errorf("ended by %v", err)
		}
	case <-time.After(10 * time.Second):
		t.Fatal("it waits for ever")
	}
	for name, accept := range map[string]func() (int, error){"await": listener.Await, "next": listener.Next} {
		if _, err := accept(); !IsClosed(err) {
			t.Errorf("%s after the close: %v", name, err)
		}
	}
	if conn, err := net.Dial("tcp", listener.Addr().String()); err == nil {
		conn.Close()
		t.Error("somebody still listens")
	}
}
