package relay

import (
	"errors"
	"io"
	"math/bits"
	"net"
	"net/netip"
	"os"
	"testing"
	"time"

	"go.uber.org/goleak"

	"ryerill/lab/faultnet"
)

const (
	patience = 10 * time.Second       // for what must come
	silence  = 100 * time.Millisecond // after which what has not come doesn't
)

// newPair returns relays between two processes, a and b, whose sockets are those returned.
func newPair(t *testing.T) (r *Relays, a, b *net.UDPConn, streamsOfB *net.TCPListener) {
	t.Helper()
	ignored := goleak.IgnoreCurrent()
	t.Cleanup(func() { goleak.VerifyNone(t, ignored) })
	r = New(faultnet.New(faultnet.Link{}, 1))
	t.Cleanup(r.Close)
	for name, socket := range map[string]**net.UDPConn{"a": &a, "b": &b} {
		datagrams, streams, err := listen()
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { datagrams.Close(); streams.Close() })
		*socket = datagrams
		if name == "b" {
			streamsOfB = streams
		}
		r.Add(name, datagrams.LocalAddr().(*net.UDPAddr).AddrPort())
	}
	return r, a, b, streamsOfB
}

// addressOf returns the address by which a reaches b.
func addressOf(t *testing.T, r *Relays) netip.AddrPort {
	t.Helper()
	text, err := r.Address("a", "b")
	if err != nil {
		t.Fatal(err)
	}
	again, err := r.Address("a", "b")
	if err != nil || again != text {
		t.Errorf("another address the second time: %s and %s, %v", text, again, err)
	}
	return netip.MustParseAddrPort(text)
}

// receive returns the next datagram and where it came from; nil if none comes in a time.
func receive(t *testing.T, at *net.UDPConn, within time.Duration) ([]byte, netip.AddrPort) {
	t.Helper()
	buffer := make([]byte, maxPiece)
	at.SetReadDeadline(time.Now().Add(within))
	n, from, err := at.ReadFromUDPAddrPort(buffer)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return nil, from
	}
	if err != nil {
		t.Fatal(err)
	}
	return buffer[:n], netip.AddrPortFrom(from.Addr().Unmap(), from.Port())
}

func TestDatagramsPassWithTheFaultsOfTheirPath(t *testing.T) {
	const sent = "some text"
	for name, tc := range map[string]struct {
		link    faultnet.Link
		copies  int
		changed int // bits of each copy
		least   time.Duration
	}{
		"no fault":    {faultnet.Link{}, 1, 0, 0},
		"lost":        {faultnet.Link{Drop: 1}, 0, 0, 0},
		"cut":         {faultnet.Link{Partitioned: true}, 0, 0, 0},
		"duplicated":  {faultnet.Link{Duplicate: 1}, 2, 0, 0},
		"corrupted":   {faultnet.Link{Corrupt: 1}, 1, 1, 0},
		"late":        {faultnet.Link{Delay: 50 * time.Millisecond}, 1, 0, 50 * time.Millisecond},
		"a slow path": {faultnet.Link{BytesPerS: 90}, 1, 0, 100 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			r, a, b, _ := newPair(t)
			address := addressOf(t, r)
			r.Do(func(n *faultnet.Network) { n.Set("a", "b", tc.link) })
			began := time.Now()
			if _, err := a.WriteToUDPAddrPort([]byte(sent), address); err != nil {
				t.Fatal(err)
			}
			for i := range tc.copies {
				got, from := receive(t, b, patience)
				if took := time.Since(began); took < tc.least {
					t.Errorf("it takes %v", took)
				}
				changed := 0
				for at := range min(len(got), len(sent)) {
					changed += bits.OnesCount8(got[at] ^ sent[at])
				}
				if len(got) != len(sent) || changed != tc.changed {
					t.Errorf("copy %d is %q: %d bits are changed, want %d", i, got, changed, tc.changed)
				}
				if from != address {
					t.Errorf("it comes from %v, and an answer is to go to %v", from, address)
				}
			}
			if got, _ := receive(t, b, silence); got != nil {
				t.Errorf("another copy: %q", got)
			}
		})
	}
}

// The answer to a datagram goes back over the other direction, whose faults it has.
func TestAnswersTakeTheOtherDirection(t *testing.T) {
	r, a, b, _ := newPair(t)
	address := addressOf(t, r)
	exchange := func(within time.Duration) (answer []byte) {
		if _, err := a.WriteToUDPAddrPort([]byte("ping"), address); err != nil {
			t.Fatal(err)
		}
		_, from := receive(t, b, patience)
		if _, err := b.WriteToUDPAddrPort([]byte("ack"), from); err != nil {
			t.Fatal(err)
		}
		answer, _ = receive(t, a, within)
		return answer
	}
	if got := exchange(patience); string(got) != "ack" {
		t.Errorf("answered %q", got)
	}
	r.Do(func(n *faultnet.Network) { n.Isolate("b", true) })
	if got := exchange(silence); got != nil {
		t.Errorf("cut off in one direction it answers %q", got)
	}
	r.Do(func(n *faultnet.Network) { n.Heal() })
	if got := exchange(patience); string(got) != "ack" {
		t.Errorf("once healed it answers %q", got)
	}
}

// A stream stalls while its path is cut, and loses nothing.
func TestStreamsStallWhileTheyAreCut(t *testing.T) {
	r, _, _, streams := newPair(t)
	client, err := net.DialTimeout("tcp", addressOf(t, r).String(), patience)
	if err != nil {
		t.Fatal(err)
	}
	defer client.Close()
	streams.SetDeadline(time.Now().Add(patience))
	server, err := streams.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer server.Close()
	read := func(want string, within time.Duration) error {
		buffer := make([]byte, len(want))
		server.SetReadDeadline(time.Now().Add(within))
		n, err := io.ReadFull(server, buffer)
		if err == nil && string(buffer[:n]) != want {
			t.Errorf("%q arrives, want %q", buffer[:n], want)
		}
		return err
	}
	write := func(text string) {
		client.SetWriteDeadline(time.Now().Add(patience))
		if _, err := io.WriteString(client, text); err != nil {
			t.Fatal(err)
		}
	}
	write("first")
	if err := read("first", patience); err != nil {
		t.Fatal(err)
	}
	r.Do(func(n *faultnet.Network) { n.Split([]string{"a"}) })
	write("second")
	if err := read("second", silence); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("while it is cut: %v", err)
	}
	r.Do(func(n *faultnet.Network) { n.Heal() })
	if err := read("second", patience); err != nil {
		t.Errorf("once healed: %v", err)
	}
	client.Close()
	server.SetReadDeadline(time.Now().Add(patience))
	if _, err := server.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
		t.Errorf("after its end: %v", err)
	}
}

func TestClosedRelaysOpenNothing(t *testing.T) {
	r, _, _, _ := newPair(t)
	r.Close()
	if address, err := r.Address("a", "b"); err == nil {
		t.Errorf("opened at %s", address)
	}
}
