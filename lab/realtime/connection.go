package realtime

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"time"

	"ryerill/lab/servermodel"
)

const (
	maxRequestBody  = 64 << 10        // bytes of a request's body that a stand-in reads at most
	maxReadWait     = time.Hour       // the serving side closes idle connections, much earlier
	writeTimeout    = 5 * time.Second // of a response
	corruptOpenTime = time.Minute     // a connection stays open this long after a corrupted response
)

// Responses without a body. A rejected request has not been executed.
const (
	responseBadRequest = "HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
	responseError      = "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n"
	responseRejected   = "HTTP/1.1 503 Service Unavailable\r\nSrv-Declined: 1\r\nContent-Length: 0\r\n\r\n"
)

// accept accepts connections at one listener; delay draws the delay one way to those who connect there.
func (proc *process) accept(l net.Listener, delay func() time.Duration) {
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		spec := &proc.endpoint.spec().Machine.Connect
		if proc.conns.Add(1) > int64(spec.Most) {
			proc.conns.Add(-1)
			reset(conn)
			continue
		}
		proc.endpoint.run.audit.count("opened", 1)
		proc.machine.update(func(model *servermodel.Server, now time.Duration) {
			model.Extra(now, spec.Work.Seconds())
		})
		proc.tasks.Go(func() {
			defer proc.conns.Add(-1)
			c := &connection{process: proc, Conn: conn, delay: delay, peerClosed: make(chan struct{})}
			c.serve()
		})
	}
}

// reset closes a connection without the close handshake.
func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // on failure it is an ordinary close
	}
	conn.Close()
}

// connection is one that a process serves.
type connection struct {
	net.Conn
	process    *process
	delay      func() time.Duration // draws the delay one way
	peerClosed chan struct{}        // closed once nothing more can be read
}

// receivedRequest is a request as it was read.
type receivedRequest struct {
	*http.Request
	at time.Time
}

// serve serves the connection until either side ends it. A reader of its own notices at once when the proxy closes.
func (c *connection) serve() {
	requests := make(chan receivedRequest, 1)
	served := make(chan struct{})
	readerDone := make(chan struct{})
	go func() {
		defer close(readerDone)
		c.read(requests, served)
	}()
	defer func() {
		close(served)
		reset(c.Conn)
		<-readerDone
	}()
	spec := &c.process.endpoint.spec().Machine.Connect
	setUp := time.Duration(2 * spec.Trips * float64(c.delay())) // charged to the first request
	idle := time.NewTimer(spec.Idle)
	defer idle.Stop()
	for {
		idle.Reset(spec.Idle)
		select {
		case request := <-requests:
			if !c.handle(&request, setUp) {
				return
			}
			setUp = 0
		case <-idle.C:
			if !c.process.silent.Load() {
				return
			}
		case <-c.peerClosed:
			return
		case <-c.process.ended:
			return
		}
	}
}

// read reads requests until the connection ends or served is closed.
func (c *connection) read(requests chan<- receivedRequest, served <-chan struct{}) {
	defer close(c.peerClosed)
	reader := bufio.NewReaderSize(c, readBufferSize)
	for {
		c.SetReadDeadline(time.Now().Add(maxReadWait))
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		// The content of a body doesn't matter.
		if _, err := io.ReadAll(io.LimitReader(request.Body, maxRequestBody)); err != nil {
			return
		}
		select {
		case requests <- receivedRequest{Request: request, at: time.Now()}:
		case <-served:
			return
		}
	}
}

// pause waits and returns false if the connection or the process ends first.
func (c *connection) pause(d time.Duration) bool {
	if d <= 0 {
		return true
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-c.peerClosed:
	case <-c.process.ended:
	}
	return false
}

// handle serves one request and reports whether the connection goes on. setUp is the time that the connection took
// to open.
func (c *connection) handle(request *receivedRequest, setUp time.Duration) bool {
	id, idErr := strconv.ParseUint(request.Header.Get("Req-Id"), 16, 64)
	work, workErr := strconv.ParseFloat(request.URL.Query().Get("w"), 64)
	if idErr != nil || workErr != nil {
		_, _ = io.WriteString(c, responseBadRequest) // the connection is closed in any case
		return false
	}
	proc := c.process
	run := proc.endpoint.run
	proxy := int(id >> proxyNumberShift)
	attempt := run.audit.attempted(proxy, id, proc.endpoint, request.at)
	if proc.silent.Load() { // its machine can't be reached: there is never an answer
		select {
		case <-c.peerClosed:
		case <-proc.ended:
		}
		return false
	}
	if !c.pause(setUp + c.delay()) {
		return false
	}
	reject := func() bool {
		run.audit.rejected(proxy, id, attempt) // the oracle learns it before the proxy
		return c.respond(responseRejected)
	}
	if proc.draining.Load() {
		return reject()
	}
	if rand.Float64() < float64(proc.errorPart.Load())/millionths {
		return c.respond(responseError)
	}
	ex := c.newExecution(request, work)
	accepted := proc.machine.offer(&ex.task)
	proc.detectOverload()
	if !accepted {
		return reject()
	}
	switch ex.run() {
	case executionAborted:
		return false
	case executionFailed:
		return c.respond(responseError)
	}
	return c.respondExecuted(id, ex.workDone)
}

// respondExecuted answers an executed request: as it should be, with an error, or with a corrupted response.
func (c *connection) respondExecuted(id uint64, workDone float64) bool {
	proc := c.process
	e := proc.endpoint
	e.run.audit.executed(id, e.name)
	draw := rand.Float64()
	errorPart := e.spec().Machine.Errors
	switch {
	case draw < errorPart:
		return c.respond(responseError)
	case draw < errorPart+float64(proc.corruptPart.Load())/millionths:
		e.run.audit.count("spoilt", 1)
		c.respond(corruptions[rand.IntN(len(corruptions))](id))
		c.pause(corruptOpenTime) // it stays open and serves no further request
		return false
	}
	body := fmt.Sprintf("%016x %s %.9f", id, e.name, workDone)
	return c.respond(fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body))
}

// respond writes a response after its delay and reports whether the connection goes on.
func (c *connection) respond(text string) bool {
	if !c.pause(c.delay()) {
		return false
	}
	c.SetWriteDeadline(time.Now().Add(writeTimeout))
	_, err := io.WriteString(c, text)
	return err == nil
}
