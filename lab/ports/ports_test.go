package ports

import (
	"context"
	"net"
	"net/netip"
	"syscall"
	"testing"

	"golang.org/x/sys/unix"
)

// What was seen: a process of a fleet could not listen at its address at its start. Ports were looked for one replica
// at a time and set free before the next one's, so that of some 48 drawn from 12,000 two were the same in about one
// fleet of eleven. Reservations that are held at the same time never share a port.
func TestReservedPortsAreGivenOutOnce(t *testing.T) {
	const reservations, each = 40, 25 // of 21,000 ports: 24 would be drawn twice without a reservation
	seen := map[netip.AddrPort]bool{}
	for range reservations {
		reservation, err := Reserve(each)
		if err != nil {
			t.Fatal(err)
		}
		defer reservation.Release()
		for _, address := range reservation.Addresses {
			if seen[address] {
				t.Errorf("%s is given out twice", address)
			}
			seen[address] = true
		}
	}
	if len(seen) != reservations*each {
		t.Errorf("%d ports, want %d", len(seen), reservations*each)
	}
}

// A port that is reserved can't be reserved again, also while a program listens there and after it has ended.
func TestAReservationHoldsWhileOthersListen(t *testing.T) {
	reservation, err := Reserve(1)
	if err != nil {
		t.Fatal(err)
	}
	address := reservation.Addresses[0]
	refused := func(when string) {
		t.Helper()
		if err := new(Reservation).add(address); err == nil {
			t.Errorf("%s: it is reserved twice", when)
		}
	}
	refused("at first")
	for range 2 { // a process and the one that follows it
		streams, err := net.Listen("tcp", address.String())
		if err != nil {
			t.Fatal("streams:", err)
		}
		datagrams, err := net.ListenPacket("udp", address.String())
		if err != nil {
			t.Fatal("datagrams:", err)
		}
		refused("while somebody listens")
		streams.Close()
		datagrams.Close()
		refused("after that")
	}
	reservation.Release()
	again := &Reservation{}
	defer again.Release()
	if err := again.add(address); err != nil {
		t.Error("after its release:", err)
	}
}

// A second process may listen beside the first one, as at an upgrade: both share the port.
func TestAReservationLetsTwoShareAPort(t *testing.T) {
	reservation, err := Reserve(1)
	if err != nil {
		t.Fatal(err)
	}
	defer reservation.Release()
	shared := net.ListenConfig{Control: func(_, _ string, conn syscall.RawConn) (err error) {
		controlErr := conn.Control(func(fd uintptr) {
			err = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_REUSEPORT, 1)
		})
		if controlErr != nil {
			return controlErr
		}
		return err
	}}
	for range 2 {
		listener, err := shared.Listen(context.Background(), "tcp", reservation.Addresses[0].String())
		if err != nil {
			t.Fatal(err)
		}
		defer listener.Close()
	}
}
