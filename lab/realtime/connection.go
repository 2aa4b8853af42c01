package realtime

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
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
		spec := &proc.endpoint.spec().Node.Connect
		if proc.conns.Add(1) > int64(spec.Most) {
			proc.conns.Add(-1)
			reset(conn)
			continue
		}
		proc.endpoint.run.count("opened", 1)
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
	spec := &c.process.endpoint.spec().Node.Connect
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
	attempt := run.recordAttempt(proxy, id, proc.endpoint, request.at)
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
		run.recordRejected(proxy, id, attempt) // the oracle learns it before the proxy
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
	e.run.recordExecuted(id, e.name)
	draw := rand.Float64()
	errorPart := e.spec().Node.Errors
	switch {
	case draw < errorPart:
		return c.respond(responseError)
	case draw < errorPart+float64(proc.corruptPart.Load())/millionths:
		e.run.count("spoilt", 1)
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

// executionResult is how the execution of a request ended.
type executionResult int

const (
	executionDone    executionResult = iota
	executionFailed                  // a call to the next tier failed
	executionAborted                 // the proxy cancelled it, or the process ended
)

// execution is a request in work: phases on the machine's cores, with calls to the next tier between them.
type execution struct {
	connection *connection
	request    *receivedRequest
	task       task
	work       float64 // of the request, over all tiers
	phaseWork  float64 // of each phase
	callsLeft  int
	workDone   float64   // here and by the next tier
	deadline   time.Time // as the request states it
	orphaned   bool      // the proxy has left, and what runs, runs on
}

func (c *connection) newExecution(request *receivedRequest, work float64) *execution {
	e := c.process.endpoint
	calls := 0
	if e.run.scenario.NextTier(e.tier) >= 0 {
		calls = e.run.drawCalls(e.spec().Calls)
	}
	deadlineMS, _ := strconv.ParseFloat(request.Header.Get("Req-Deadline-Ms"), 64) // 0 if it states none
	ex := &execution{
		connection: c,
		request:    request,
		work:       work,
		phaseWork:  work * e.spec().Work / float64(calls+1),
		callsLeft:  calls,
		deadline:   request.at.Add(time.Duration(deadlineMS * float64(time.Millisecond))),
	}
	ex.task.Left = ex.phaseWork
	return ex
}

// run waits for the phases and makes the calls between them. The machine has accepted the task.
func (ex *execution) run() executionResult {
	proc := ex.connection.process
	defer proc.machine.end(&ex.task)
	for {
		if !ex.awaitPhase() {
			return executionAborted
		}
		ex.workDone += ex.phaseWork
		if ex.callsLeft == 0 {
			return executionDone
		}
		ex.callsLeft--
		usefulWork, ok := ex.callNextTier()
		if !ok {
			return executionFailed
		}
		ex.workDone += usefulWork
		proc.machine.resume(&ex.task, ex.phaseWork)
	}
}

// cancelsRunning reports whether a cancel stops running work too.
func (ex *execution) cancelsRunning() bool {
	return ex.connection.process.endpoint.spec().Node.Cancel == "all"
}

// awaitPhase waits for the end of a phase and returns false if the execution is aborted.
func (ex *execution) awaitPhase() bool {
	proc := ex.connection.process
	for {
		peerClosed := ex.connection.peerClosed
		if ex.orphaned {
			peerClosed = nil
		}
		select {
		case <-ex.task.done:
			return true
		case <-peerClosed:
			if proc.machine.isQueued(&ex.task) || ex.cancelsRunning() {
				return false
			}
			ex.orphaned = true
		case <-proc.ended:
			return false
		}
	}
}

// callNextTier makes a call to the next tier through the endpoint's own proxy and returns the work that went into
// the response.
func (ex *execution) callNextTier() (usefulWork float64, ok bool) {
	e := ex.connection.process.endpoint
	run := e.run
	className := ex.request.Header.Get("Req-Kind")
	class := run.classIndex(className)
	proxy := e.nextProxy()
	if class < 0 || proxy == nil {
		return 0, false
	}
	now := time.Now()
	timeout := run.scenario.Classes[class].Deadline
	if run.scenario.Rules.PassDeadline {
		timeout = ex.deadline.Sub(now)
	}
	if timeout <= 0 {
		return 0, false
	}
	id := run.newID(proxy.number)
	ctx, stop := ex.callContext()
	defer stop()
	run.recordReceived(proxy.number, id, class, now, timeout)
	request := formatRequest(&requestHeader{
		class: className, effect: run.scenario.Classes[class].EffectKind(), id: id,
		tenant: ex.request.Header.Get("Req-Owner"), timeout: timeout, key: rand.Uint64(), work: ex.work,
	})
	answer, err := proxy.transport.roundTrip(ctx, proxy.address, request, now.Add(timeout+run.responseSlack()))
	run.recordAnswered(proxy.number, id, answer, err, ctx.Err() != nil)
	if err != nil || answer.status != http.StatusOK {
		return 0, false
	}
	return parseWork(answer.body), true
}

// callContext returns a context that ends with the process and, if a cancel stops running work, with the connection.
// stop ends it and waits for its goroutine.
func (ex *execution) callContext() (ctx context.Context, stop func()) {
	var peerClosed <-chan struct{}
	if ex.cancelsRunning() {
		peerClosed = ex.connection.peerClosed
	}
	ctx, cancel := context.WithCancel(context.Background())
	watcherDone := make(chan struct{})
	go func() {
		defer close(watcherDone)
		select {
		case <-peerClosed:
			cancel()
		case <-ex.connection.process.ended:
			cancel()
		case <-ctx.Done():
		}
	}()
	return ctx, func() {
		cancel()
		<-watcherDone
	}
}

// parseWork reads the work that a stand-in states in its response; 0 if it states none.
func parseWork(body string) float64 {
	fields := strings.Fields(body)
	if len(fields) != 3 {
		return 0
	}
	work, _ := strconv.ParseFloat(fields[2], 64) // 0 if it isn't a number
	return work
}
