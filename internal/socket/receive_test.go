package socket

import (
	"testing"
	"time"
)

// PeekAt returns the unread bytes at any position, again and again, and nothing behind the last one.
func TestPeekAt(t *testing.T) {
	receiver, sender := connPair(t)
	const (
		size      = 100_017
		blockSize = 1000
	)
	sent := make([]byte, size)
	for i := range sent {
		sent[i] = byte(i * i >> 3)
	}
	if _, err := sender.Write(sent); err != nil {
		t.Fatal(err)
	}
	for unread, end := 0, time.Now().Add(10*time.Second); unread < size && time.Now().Before(end); time.Sleep(time.Millisecond) {
		unread, _ = Unread(receiver)
	}
	if unread, known := Unread(receiver); unread != size || !known {
		t.Fatalf("Unread: got %d, %v, want %d, true", unread, known, size)
	}
	for _, position := range []int{0, 1, blockSize - 1, blockSize, blockSize + 1, 9*blockSize + 7, size - 1, size, size + 5, maxVectors * blockSize} {
		block := make([]byte, blockSize)
		n := PeekAt(receiver, position, block)
		if want := max(min(size-position, len(block)), 0); n != want {
			t.Errorf("at %d: got %d bytes, want %d", position, n, want)
		}
		for i := range n {
			if block[i] != sent[position+i] {
				t.Fatalf("at %d: byte %d differs", position, i)
			}
		}
	}
	if n := PeekAt(sender, 0, make([]byte, 1)); n != 0 {
		t.Errorf("without unread bytes: got %d bytes, want 0", n)
	}
}
