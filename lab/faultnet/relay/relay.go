package relay

import (
	"errors"
	"net"
	"net/netip"
	"sync"
	"time"

	"ryerill/lab/faultnet"
)

// relay passes on what one process sends to another, and the answers to it.
type relay struct {
	relays    *Relays
	from, to  string
	datagrams *net.UDPConn
	streams   *net.TCPListener

	sender netip.AddrPort // the latest that from sent datagrams from; relays.mu guards it
}

// serveDatagrams passes datagrams on until the relay is closed.
func (y *relay) serveDatagrams() {
	defer y.relays.goroutines.Done()
	buffer := make([]byte, maxPiece)
	for {
		n, source, err := y.datagrams.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue // an ICMP answer to something that was sent
		}
		y.passOn(buffer[:n], netip.AddrPortFrom(source.Addr().Unmap(), source.Port()))
	}
}

// passOn sends the copies of a datagram that arrive, each when it is due.
func (y *relay) passOn(datagram []byte, source netip.AddrPort) {
	r := y.relays
	r.mu.Lock()
	defer r.mu.Unlock()
	from, to := y.from, y.to
	destination := r.processes[y.to]
	if source == destination { // an answer, to where the datagrams come from
		from, to = y.to, y.from
		destination = y.sender
	} else {
		y.sender = source
	}
	for _, delivery := range r.network.Send(r.now(), from, to, len(datagram)) {
		payload := append([]byte(nil), datagram...)
		if delivery.Corrupt && len(payload) > 0 {
			r.corruptByte(payload)
		}
		r.goroutines.Add(1)
		time.AfterFunc(delivery.At-r.now(), func() {
			defer r.goroutines.Done()
			// What can't be sent any more, as the process or the relay has ended, is lost like any datagram.
			_, _ = y.datagrams.WriteToUDPAddrPort(payload, destination)
		})
	}
}

// serveStreams accepts streams until the relay is closed.
func (y *relay) serveStreams() {
	defer y.relays.goroutines.Done()
	for {
		accepted, err := y.streams.AcceptTCP()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		y.relays.goroutines.Add(1)
		go y.serveStream(accepted)
	}
}

// serveStream connects an accepted stream with the process that it is for, and passes
// both directions on until both have ended.
func (y *relay) serveStream(accepted *net.TCPConn) {
	r := y.relays
	defer r.goroutines.Done()
	defer r.release(accepted)
	if !r.track(accepted) {
		return
	}
	r.mu.Lock()
	destination := r.processes[y.to]
	r.mu.Unlock()
	dialled, err := net.DialTimeout("tcp", destination.String(), dialTimeout)
	if err != nil {
		accepted.SetLinger(0) // the client gets a reset, as if nobody listened
		return
	}
	defer r.release(dialled)
	if !r.track(dialled) {
		return
	}
	var both sync.WaitGroup
	both.Add(2)
	go func() {
		defer both.Done()
		r.copyStream(dialled.(*net.TCPConn), accepted, y.from, y.to)
	}()
	go func() {
		defer both.Done()
		r.copyStream(accepted, dialled.(*net.TCPConn), y.to, y.from)
	}()
	both.Wait()
}

// copyStream passes one direction of a stream on until it ends, and then ends its writing
// side.
func (r *Relays) copyStream(destination, source *net.TCPConn, from, to string) {
	defer func() {
		_ = destination.CloseWrite() // it fails if the other end has gone, and then nothing is left to end
	}()
	buffer := make([]byte, maxPiece)
	for {
		source.SetReadDeadline(time.Now().Add(idleTimeout))
		n, readErr := source.Read(buffer)
		if n > 0 {
			if !r.awaitArrival(from, to, n) {
				return
			}
			if _, err := destination.Write(buffer[:n]); err != nil {
				return
			}
		}
		if readErr != nil {
			return
		}
	}
}

// awaitArrival waits until a piece of a stream arrives: as long as its path is partitioned,
// and then for its delay. It returns false once the relays are closed.
func (r *Relays) awaitArrival(from, to string, bytes int) bool {
	for {
		var at time.Duration
		var ok, isClosed bool
		r.Do(func(network *faultnet.Network) {
			at, ok = network.Stream(r.now(), from, to, bytes)
			isClosed = r.isClosed
		})
		if isClosed {
			return false
		}
		if ok {
			time.Sleep(at - r.now())
			return true
		}
		time.Sleep(partitionInterval)
	}
}
