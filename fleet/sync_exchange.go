package fleet

import (
	"errors"
	"net"
	"time"

	"ryerill/fleet/membership"
)

const (
	maxInboundConnections = 8                     // that others opened, at once; more are closed and try again
	connectionTimeout     = 4 * time.Second       // for all that passes over a connection
	dialTimeout           = time.Second           // to open one
	acceptRetry           = 10 * time.Millisecond // after a failure to accept one, as for lack of descriptors
)

// acceptConnections serves the connections that others open, until the transport is
// closed.
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

// serveConnection answers the one request of a connection.
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

// serveSync answers a synchronization: a view has arrived, the difference goes out, and
// the requested records arrive.
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

// startSync executes a synchronization that the membership list starts. The mutex is
// held.
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

// sync returns an error if the synchronization failed before its response arrived.
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
		// If it fails the digests still differ, and another synchronization follows.
		_ = f.transport.write(conn, replies[0])
	}
	return nil
}

// dial opens a connection with the deadline for all that passes over it.
func dial(address string) (net.Conn, error) {
	conn, err := net.DialTimeout("tcp", address, dialTimeout)
	if err != nil {
		return nil, err
	}
	conn.SetDeadline(time.Now().Add(connectionTimeout))
	return conn, nil
}

// handleLocked is handle for callers that don't hold the mutex.
func (f *Fleet) handleLocked(event membership.Event) (replies []*membership.Message) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.handle(event)
}
