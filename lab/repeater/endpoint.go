package repeater

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"ryerill/internal/socket"
)

// requestIDHeader carries the id of a request.
const requestIDHeader = "Req-Id"

const declineText = "HTTP/1.1 503 Service Unavailable\r\nSrv-Declined: 1\r\nContent-Length: 0\r\n\r\n"

// Behavior is how an endpoint treats requests.
type Behavior struct {
	Work         time.Duration // until the response to a request
	DeclineShare float64       // of all requests that are declined, at once and without being executed
	ResetShare   float64       // of all requests whose connection is reset after they were executed
	Closes       bool          // each connection is closed after its first response
	Fault        Fault
}

// Endpoint is one stand-in. Its connections take one request at a time.
type Endpoint struct {
	index       int
	behavior    Behavior
	ledger      *Ledger
	listener    net.Listener
	connections atomic.Int64

	// mu guards what follows.
	mu     sync.Mutex
	open   map[net.Conn]struct{}
	closed bool
}

// Start starts an endpoint on a loopback address.
func Start(index int, behavior Behavior, ledger *Ledger) (*Endpoint, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	e := &Endpoint{index: index, behavior: behavior, ledger: ledger, listener: listener,
		open: make(map[net.Conn]struct{})}
	go e.accept()
	return e, nil
}

// Address is where the endpoint listens.
func (e *Endpoint) Address() string { return e.listener.Addr().String() }

// Connections returns how many connections have been made to the endpoint.
func (e *Endpoint) Connections() int { return int(e.connections.Load()) }

// Close ends the endpoint with its connections.
func (e *Endpoint) Close() {
	e.listener.Close()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.closed = true
	for conn := range e.open {
		conn.Close()
	}
}

func (e *Endpoint) accept() {
	for {
		conn, err := e.listener.Accept()
		if err != nil {
			return // it is closed
		}
		e.connections.Add(1)
		if e.register(conn) {
			go e.serve(&connection{Conn: conn})
		}
	}
}

func (e *Endpoint) register(conn net.Conn) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.closed {
		conn.Close()
		return false
	}
	e.open[conn] = struct{}{}
	return true
}

func (e *Endpoint) unregister(conn net.Conn) {
	conn.Close()
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.open, conn)
}

// connection serializes what is sent on a connection.
type connection struct {
	net.Conn
	sending sync.Mutex
	pending *unsolicited // what is sent at the next request; nil is nothing
}

func (c *connection) send(text []byte) error {
	c.sending.Lock()
	defer c.sending.Unlock()
	_, err := c.Write(text)
	return err
}

// serve answers the requests of a connection one after another.
func (e *Endpoint) serve(conn *connection) {
	defer e.unregister(conn.Conn)
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return // not received whole: it does not run
		}
		e.sendLater(conn, conn.pending)
		conn.pending = nil
		if !e.answer(conn, request.Header.Get(requestIDHeader)) {
			return
		}
	}
}

// answer executes or declines a request, and reports whether the connection goes on.
func (e *Endpoint) answer(conn *connection, id string) bool {
	if rand.Float64() < e.behavior.DeclineShare {
		return e.respond(conn, []byte(declineText))
	}
	execution := e.ledger.begin(id, e.index)
	time.Sleep(e.behavior.Work)
	if rand.Float64() < e.behavior.ResetShare {
		conn.Conn.(*net.TCPConn).SetLinger(0)
		e.ledger.end(execution, false)
		return false
	}
	whole := socket.Peek(conn.Conn.(*net.TCPConn)) != socket.Ended
	goesOn := e.respond(conn, e.success(id))
	e.ledger.end(execution, whole)
	return goesOn
}

// respond sends a response, and reports whether the connection goes on.
func (e *Endpoint) respond(conn *connection, response []byte) bool {
	if conn.send(response) != nil {
		return false
	}
	e.follow(conn, response)
	return !e.behavior.Closes
}

func (e *Endpoint) success(id string) []byte {
	closing := ""
	if e.behavior.Closes {
		closing = "Connection: close\r\n"
	}
	return fmt.Appendf(nil, "HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n%s", closing, len(id), id)
}

// follow draws what nobody has asked for, and sends it later.
func (e *Endpoint) follow(conn *connection, response []byte) {
	if e.behavior.Closes {
		return
	}
	what := e.behavior.Fault.draw(response)
	if e.behavior.Fault.AtNextRequest {
		conn.pending = what
		return
	}
	e.sendLater(conn, what)
}

// sendLater sends what nobody has asked for, and records that; nil is nothing.
func (e *Endpoint) sendLater(conn *connection, what *unsolicited) {
	what.sendLater(func(index int, piece []byte) {
		if conn.send(piece) == nil && index == 0 {
			e.ledger.sentUnsolicited()
		}
	})
}
