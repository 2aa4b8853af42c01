// Package ports reserves ports of the loopback interface for processes that the laboratory starts, and restarts, at
// the same addresses. The kernel holds a reservation, so that it also counts in other processes, and is gone when the
// process that made it ends.
package ports

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"

	"golang.org/x/sys/unix"
)

// Ports are reserved below those that the system gives out by itself, which the processes' own connections have.
const (
	minPort     = 11_000
	maxPort     = 32_000
	maxAttempts = 1000 // in a row that may fail
)

var loopback = netip.AddrFrom4([4]byte{127, 0, 0, 1})

// Reservation is a number of ports that nobody else reserves until it is released. Other programs may listen at them,
// for streams and for datagrams, as long as they set SO_REUSEADDR on listening sockets, as the net package does.
type Reservation struct {
	Addresses []netip.AddrPort
	sockets   []int
}

// Reserve reserves n ports that nobody listens at. It fails if too few are free.
func Reserve(n int) (*Reservation, error) {
	reservation := &Reservation{}
	failures := 0
	for len(reservation.Addresses) < n {
		address := netip.AddrPortFrom(loopback, uint16(minPort+rand.IntN(maxPort-minPort)))
		err := reservation.add(address)
		if err == nil {
			failures = 0
			continue
		}
		failures++
		if failures > maxAttempts {
			reservation.Release()
			return nil, fmt.Errorf("ports: %w", err)
		}
	}
	return reservation, nil
}

// Release gives the ports back.
func (r *Reservation) Release() {
	for _, socket := range r.sockets {
		_ = unix.Close(socket) // there is nothing to write, so nothing can be lost
	}
	r.sockets = nil
}

// add reserves one address.
func (r *Reservation) add(address netip.AddrPort) error {
	socket, err := bind(address)
	if err != nil {
		return err
	}
	if err := checkDatagrams(address); err != nil {
		_ = unix.Close(socket)
		return err
	}
	r.sockets = append(r.sockets, socket)
	r.Addresses = append(r.Addresses, address)
	return nil
}

// bind returns a socket that is bound to an address, and never listens. It is bound without SO_REUSEADDR, which fails
// if any other socket is bound there, and gets the option afterwards, which lets listening sockets have it beside this
// one.
func bind(address netip.AddrPort) (int, error) {
	socket, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return -1, err
	}
	err = unix.Bind(socket, &unix.SockaddrInet4{Addr: address.Addr().As4(), Port: int(address.Port())})
	if err == nil {
		err = unix.SetsockoptInt(socket, unix.SOL_SOCKET, unix.SO_REUSEADDR, 1)
	}
	if err != nil {
		_ = unix.Close(socket)
		return -1, err
	}
	return socket, nil
}

// checkDatagrams returns an error if somebody has an address for datagrams.
func checkDatagrams(address netip.AddrPort) error {
	datagrams, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return err
	}
	return datagrams.Close()
}
