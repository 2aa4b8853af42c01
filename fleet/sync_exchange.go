package fleet

import (
	"errors"
	"net"
	"time"

	"ryerill/fleet/membership"
)

const (
	maxInboundConnections = 8                     // concurrent inbound connections; others are closed and peers retry
	connectionTimeout     = 4 * time.Second       // for the whole exchange over a connection
	dialTimeout           = time.Second           // to open a connection
	acceptRetry           = 10 * time.Millisecond // pause after a failed accept, for example without free descriptors
)

// acceptConnections serves inbound connections until the transport is closed.
func (f *Fleet) acceptConnections() {
	slots := make(chan struct{}, maxInboundConnections)
	for {
		conn, err := f.transport.tcp.AcceptTCP()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(acceptRetry)
			continue
		}
		select {
		case slots <- struct{}{}:
			f.goroutines.Go(func() {
				defer func() { <-slots }()
				f.serveConnection(conn)
			})
		default:
			f.transport.count(func(stats *Stats) { stats.ExchangesRefused++ })
			conn.SetLinger(0)
			conn.Close()
		}
	}
}

// serveConnection reads and answers the single request of a connection.
func (f *Fleet) serveConnection(conn *net.TCPConn) {
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(connectionTimeout))
	request, err := f.transport.read(conn, membership.SyncRequest, membership.RolloutFetch)
	if err != nil {
		return
	}
	if request.Kind == membership.RolloutFetch {
		f.serveRolloutState(conn)
		return
	}
	f.serveSync(conn, request)
}

// serveSync answers a sync request: it replies to the peer's view with the differing records, then
// reads the records that the reply requested.
func (f *Fleet) serveSync(conn *net.TCPConn, request *membership.Message) {
	f.transport.count(func(stats *Stats) { stats.Exchanges++ })
	replies := f.handleLocked(membership.Event{Kind: membership.SyncRequested, Message: request})
	if len(replies) == 0 || f.transport.write(conn, replies[0]) != nil || len(replies[0].Requested) == 0 {
		return
	}
	if final, err := f.transport.read(conn, membership.SyncFinal); err == nil {
		f.handleLocked(membership.Event{Kind: membership.SyncFinished, Message: final})
	}
}

// startSync starts a synchronization in a goroutine. Callers must hold mu.
func (f *Fleet) startSync(action *membership.Action) {
	address := f.transport.override(action.Name, action.Address)
	request := action.Message
	exchange := action.Exchange
	f.goroutines.Go(func() {
		if err := f.sync(address, request, exchange); err != nil {
			f.handleLocked(membership.Event{Kind: membership.SyncFailed, Exchange: exchange})
		}
	})
}

// sync performs a synchronization. It returns an error only if no valid response arrived.
func (f *Fleet) sync(address string, request *membership.Message, exchange uint64) error {
	conn, err := dial(address)
	if err != nil {
		return err
	}
	defer conn.Close()
	if err := f.transport.write(conn, request); err != nil {
		return err
	}
	response, err := f.transport.read(conn, membership.SyncResponse)
	if err != nil {
		return err
	}
	replies := f.handleLocked(membership.Event{Kind: membership.SyncAnswered, Message: response, Exchange: exchange})
	if len(replies) > 0 && len(response.Requested) > 0 {
		// After a failure the digests still differ, which triggers another synchronization.
		_ = f.transport.write(conn, replies[0])
	}
	return nil
}

// dial opens a connection and sets the deadline for the whole exchange.
func dial(address string) (net.Conn, error) {
	conn, err := net.DialTimeout("tcp", address, dialTimeout)
	if err != nil {
		return nil, err
	}
	conn.SetDeadline(time.Now().Add(connectionTimeout))
	return conn, nil
}

// handleLocked locks mu and calls handle.
func (f *Fleet) handleLocked(event membership.Event) (replies []*membership.Message) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.handle(event)
}
