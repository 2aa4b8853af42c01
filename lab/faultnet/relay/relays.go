// Package relay injects the faults of package faultnet between real processes on the
// loopback interface. Between each pair of processes stands a relay for each direction,
// which takes datagrams and streams at one port. A process is configured with the relay's
// address for each of its peers, so that both ends of what passes are known.
package relay

import (
	"errors"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"time"

	"ryerill/lab/faultnet"
)

const (
	maxPiece          = 64 << 10              // bytes of a datagram, and of a piece of a stream
	partitionInterval = 20 * time.Millisecond // between attempts to pass on a piece of a partitioned stream
	dialTimeout       = time.Second
	idleTimeout       = 30 * time.Second // a stream on which nothing passes for so long ends
	maxPortAttempts   = 20               // for a port that is free for datagrams and streams
)

// direction is from one process to another, by their names.
type direction struct{ from, to string }

// Relays are the relays among a number of processes. Methods are safe for concurrent use.
// Close ends their goroutines.
type Relays struct {
	startedAt  time.Time
	goroutines sync.WaitGroup

	mu sync.Mutex // guards what follows

	network    *faultnet.Network
	corruption uint64 // state of the generator that picks the bit that is changed
	processes  map[string]netip.AddrPort
	relays     map[direction]*relay
	conns      map[net.Conn]struct{}
	isClosed   bool
}

// New returns relays that behave as network does, which only Do may change from now on.
func New(network *faultnet.Network) *Relays {
	return &Relays{
		startedAt: time.Now(),
		network:   network,
		processes: map[string]netip.AddrPort{},
		relays:    map[direction]*relay{},
		conns:     map[net.Conn]struct{}{},
	}
}

// Add sets the address of a process.
func (r *Relays) Add(name string, address netip.AddrPort) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.processes[name] = address
}

// Do changes or reads the network.
func (r *Relays) Do(change func(*faultnet.Network)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	change(r.network)
}

// Address returns the address by which one process reaches another. It opens their relay
// if there is none yet.
func (r *Relays) Address(from, to string) (string, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	key := direction{from, to}
	if open := r.relays[key]; open != nil {
		return open.streams.Addr().String(), nil
	}
	if r.isClosed {
		return "", errors.New("the relays have ended")
	}
	datagrams, streams, err := listen()
	if err != nil {
		return "", err
	}
	opened := &relay{relays: r, from: from, to: to, datagrams: datagrams, streams: streams}
	r.relays[key] = opened
	r.goroutines.Add(2)
	go opened.serveDatagrams()
	go opened.serveStreams()
	return streams.Addr().String(), nil
}

// listen opens a port of the loopback interface for both datagrams and streams.
func listen() (*net.UDPConn, *net.TCPListener, error) {
	loopback := net.IPv4(127, 0, 0, 1)
	for attempt := 0; ; attempt++ {
		streams, err := net.ListenTCP("tcp", &net.TCPAddr{IP: loopback})
		if err != nil {
			return nil, nil, err
		}
		port := streams.Addr().(*net.TCPAddr).Port
		datagrams, err := net.ListenUDP("udp", &net.UDPAddr{IP: loopback, Port: port})
		if err == nil {
			return datagrams, streams, nil
		}
		streams.Close()
		if attempt > maxPortAttempts {
			return nil, nil, fmt.Errorf("no port for both kinds: %w", err)
		}
	}
}

// Close ends all relays and what passes through them, and waits for their goroutines.
func (r *Relays) Close() {
	r.mu.Lock()
	r.isClosed = true
	for _, open := range r.relays {
		open.datagrams.Close()
		open.streams.Close()
	}
	for conn := range r.conns {
		conn.Close()
	}
	r.mu.Unlock()
	r.goroutines.Wait()
}

// now is the network's time.
func (r *Relays) now() time.Duration { return time.Since(r.startedAt) }

// track has Close end a connection. It returns false if Close was called already.
func (r *Relays) track(conn net.Conn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.isClosed {
		return false
	}
	r.conns[conn] = struct{}{}
	return true
}

// release closes a connection and forgets it.
func (r *Relays) release(conn net.Conn) {
	conn.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.conns, conn)
}

// Multiplier and increment of Knuth's MMIX linear congruential generator.
const (
	lcgMultiplier = 6364136223846793005
	lcgIncrement  = 1442695040888963407
)

// corruptByte changes one bit of a datagram that is not empty. r.mu is held.
func (r *Relays) corruptByte(datagram []byte) {
	r.corruption = r.corruption*lcgMultiplier + lcgIncrement
	datagram[int(r.corruption>>33)%len(datagram)] ^= 1 << (r.corruption >> 61)
}
