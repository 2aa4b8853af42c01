package processes

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/netip"
)

// Ports are looked for below those that the system gives out by itself, so that they are
// still free when a process is restarted.
const (
	minPort         = 20_000
	maxPort         = 32_000
	maxPortAttempts = 1000
)

// freePorts finds n ports of the loopback interface that are free for datagrams and
// streams.
func freePorts(n int) (ports []netip.AddrPort, err error) {
	for attempt := 0; len(ports) < n; attempt++ {
		address := fmt.Sprintf("127.0.0.1:%d", minPort+rand.IntN(maxPort-minPort))
		held, err := listenBoth(address)
		if err != nil {
			if attempt > maxPortAttempts {
				return nil, err
			}
			continue
		}
		defer held.Close() // with the others, so that no port is found twice
		ports = append(ports, netip.MustParseAddrPort(address))
	}
	return ports, nil
}

// listeners hold a port.
type listeners struct {
	streams   net.Listener
	datagrams io.Closer
}

func listenBoth(address string) (*listeners, error) {
	streams, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	datagrams, err := net.ListenPacket("udp", address)
	if err != nil {
		streams.Close()
		return nil, err
	}
	return &listeners{streams: streams, datagrams: datagrams}, nil
}

// Close sets the port free.
func (l *listeners) Close() {
	l.streams.Close()
	l.datagrams.Close()
}
