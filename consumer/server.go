package consumer

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"golang.org/x/sys/unix"

	"ryerill/drain"
	"ryerill/internal/buffer"
	"ryerill/internal/framing"
	"ryerill/internal/http1"
	"ryerill/internal/socket"
	"ryerill/invocation"
)

const (
	firstTimeout = 2200 * time.Millisecond // a connection that has never asked is closed after this
	idleTimeout  = 10 * time.Second        // one between requests is closed after this
	readTimeout  = 2500 * time.Millisecond // a head is in this long after its first byte; the first after the accept,
	headTimeout  = 2200 * time.Millisecond // or this long after its first byte, if that is later
	writeTimeout = 5 * time.Second         // an answer is out in this time
	leaveMargin  = 30 * time.Second        // a connection is watched this long beyond its invocation's time
	killedAfter  = 3 * time.Second         // the word to stop is followed by the kill after the longest deadline or this,
	killedLater  = 700 * time.Millisecond  // and this on top; what came in up to then may go unanswered
	killMargin   = 400 * time.Millisecond  // the last answers are out so long before
	fresh        = 50 * time.Millisecond   // a new connection is about to ask, and a request to be whole, for so long
	settled      = 2 * time.Second         // one idle for longer may be closed at any time
	linger       = 500 * time.Millisecond  // what comes in after a last answer is read for so long, lest it be reset
	reserve      = 8                       // connections beyond the limit that are told so
	grace        = 500 * time.Millisecond  // while all connections go, a new one may still ask for so long
	spare        = 2                       // descriptors kept aside for when there are no others
)

// Server accepts the consumers' connections and speaks HTTP/1.1 on them.
type Server struct {
	listener *net.TCPListener
	services Services
	buffers  *buffer.Pool
	most     int // connections
	reserve  *socket.Reserve

	killed time.Duration // after the word to stop, at the earliest

	mu      sync.Mutex
	room    *sync.Cond // a connection has ended, or goes on after all
	conns   map[*conn]struct{}
	leaving int              // connections that have been given up and not ended yet
	ids     map[string]*conn // of the requests that are open
	stopped time.Time        // when the word to stop came; zero before
	ending  drain.Plan       // from then on
	byHand  time.Time        // when the drain began that staff have ordered; zero if there is none
	sweep   *time.Timer      // ends idle connections when that drain has come so far
}

// Listen opens the address for consumers. Of the most connections that it may
// hold, a few are kept for telling consumers that there is no room.
//
// A shared address may be listened at by several processes, which the machine
// deals new connections to.
func Listen(address string, most int, shared bool, buffers *buffer.Pool) (*Server, error) {
	var how net.ListenConfig
	if shared {
		how.Control = socket.SharePort
	}
	l, err := how.Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, fmt.Errorf("listen for consumers: %w", err)
	}
	s := &Server{listener: l.(*net.TCPListener), buffers: buffers, most: max(most-reserve, 1),
		reserve: socket.NewReserve(spare), conns: make(map[*conn]struct{}), ids: make(map[string]*conn)}
	s.room = sync.NewCond(&s.mu)
	return s, nil
}

// SetMost changes how many connections the server may hold. Of those beyond it
// the ones that can be spared go, the others stay until they end.
func (s *Server) SetMost(most int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.most = max(most-reserve, 1)
	for now := time.Now(); len(s.conns)-s.leaving > s.most; {
		victim := s.victim(now)
		if victim == nil {
			return
		}
		victim.giveUp()
	}
}

// Close ends a server that never served.
func (s *Server) Close() {
	s.listener.Close()
	s.reserve.Close()
}

// Address returns the address that the server listens on.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Serve hands invocations to services until ctx ends. It then goes on accepting
// for a while, since the word that this proxy stops spreads slowly, and serves
// the connections that it has for half the time that is left to it: until
// another proxy is back, there may be nobody else. It returns when all that was
// taken in has been answered.
func (s *Server) Serve(ctx context.Context, services Services) error {
	s.services = services
	defer s.Close()
	defer context.AfterFunc(ctx, s.stop)()
	var pause socket.Pause
	for {
		nc, err := s.listener.AcceptTCP()
		lent := socket.Short(err) && s.makeRoom()
		if lent { // for one who asks whether this proxy is ready, and to tell others that there is no room
			nc, err = s.listener.AcceptTCP()
		}
		if errors.Is(err, os.ErrDeadlineExceeded) {
			break
		}
		if errors.Is(err, net.ErrClosed) {
			return fmt.Errorf("accept consumers: %w", err)
		}
		if err != nil { // the consumer is gone again, or another has taken the descriptor
			s.reserve.Fill()
			time.Sleep(pause.Next())
			continue
		}
		pause.Over()
		s.add(nc, lent && !s.reserve.Fill()) // it may have come much later
	}
	s.hearOut()
	s.listener.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	defer time.AfterFunc(time.Until(s.stopped.Add(s.ending.Close)), s.close).Stop()
	for len(s.conns) > 0 {
		s.room.Wait()
	}
	return nil
}

// hearOut takes what still waits in the queue, which would be reset with it. An
// expired deadline hides it from Accept, and setting another would take so long
// that more might come.
func (s *Server) hearOut() {
	raw, err := s.listener.SyscallConn()
	if err != nil {
		return
	}
	var pause socket.Pause
	for end := time.Now().Add(grace); time.Now().Before(end); {
		fd := -1
		raw.Control(func(l uintptr) { fd, _, err = unix.Accept4(int(l), unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC) })
		switch {
		case socket.Short(err): // who waits there has been taken: it is worth waiting for one
			s.makeRoom()
			time.Sleep(pause.Next())
			continue
		case errors.Is(err, unix.EINTR), errors.Is(err, unix.ECONNABORTED):
			continue
		case err != nil:
			return
		}
		f := os.NewFile(uintptr(fd), "consumer")
		nc, err := net.FileConn(f)
		if socket.Short(err) && s.makeRoom() { // it needs a second one for a moment
			nc, err = net.FileConn(f)
		}
		if f.Close(); err == nil {
			pause.Over()
			s.add(nc.(*net.TCPConn), false)
		}
	}
}

// makeRoom frees a descriptor: one kept aside, at once, and that of the connection
// that can be spared best, soon. It reports whether the first is free now.
func (s *Server) makeRoom() bool {
	s.mu.Lock()
	if victim := s.victim(time.Now()); victim != nil {
		victim.giveUp()
	}
	s.mu.Unlock()
	return s.reserve.Lend()
}

func (s *Server) stop() {
	var killed time.Duration
	if longest := s.services.Longest(); longest > 0 {
		killed = min(longest, killedAfter) + killedLater
	}
	plan := s.services.Ending(killed)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopped, s.killed, s.ending = time.Now(), killed, plan
	s.listener.SetDeadline(s.stopped.Add(s.ending.Deaf))
}

// Drain empties the server as staff have ordered, counted from since, or serves
// on as ever if that is zero.
func (s *Server) Drain(since time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.sweep != nil {
		s.sweep.Stop()
		s.sweep = nil
	}
	if s.byHand = since; !since.IsZero() {
		s.sweep = time.AfterFunc(time.Until(since.Add(drain.ByHand().Close)), s.close)
	}
}

// phase is what holds now. The mutex is held.
func (s *Server) phase() drain.Phase {
	now := drain.Phase{Ready: true}
	if !s.stopped.IsZero() {
		now = s.ending.At(time.Since(s.stopped))
	}
	if !s.byHand.IsZero() {
		now = drain.Both(now, drain.ByHand().At(time.Since(s.byHand)))
	}
	return now
}

// present is what holds now.
func (s *Server) present() drain.Phase {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.phase()
}

// close lets all connections end that have no request open, if that still holds.
func (s *Server) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.phase().Closing {
		return
	}
	for c := range s.conns {
		if c.state == idle {
			c.wane()
		}
	}
}

// left is how long an invocation taken now may take that would wait for d.
func (s *Server) left(d time.Duration) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopped.IsZero() || time.Since(s.stopped) < killedLater-killMargin/2 {
		return d
	}
	return min(d, max(time.Until(s.stopped.Add(s.killed-killMargin)), 0))
}

// add starts a connection. At the limit another makes room; if all are busy
// the new one is told so, and beyond the reserve it is not even read.
//
// One that holds the last descriptor is refused too: it is answered and goes.
func (s *Server) add(nc *net.TCPConn, last bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for len(s.conns) >= s.most+reserve && s.leaving > 0 {
		s.room.Wait() // for a moment: who has been given up has nothing left to do
	}
	if len(s.conns) >= s.most+reserve {
		nc.SetWriteDeadline(time.Now().Add(writeTimeout))
		nc.Write(head(http.StatusServiceUnavailable, 0, false, nil, time.Second, true))
		nc.Close()
		return
	}
	c := newConn(s, nc)
	if c.refused = last; len(s.conns)-s.leaving >= s.most {
		victim := s.victim(c.since)
		if victim != nil {
			victim.giveUp()
		} else {
			c.refused = true
		}
	}
	s.conns[c] = struct{}{}
	go c.serve()
}

// victim returns the connection that can be spared best, or nil: one that only
// lingers, one that was to ask and does not, one idle for long, one whose
// request does not come to its end, and last one idle for a short time, which
// its consumer is likely to use again. Among equals it is the longest so.
func (s *Server) victim(now time.Time) (worst *conn) {
	least := 0
	for c := range s.conns {
		if c.gone {
			continue
		}
		rank, so := 0, now.Sub(c.since)
		switch {
		case c.state == lingering:
		case c.state == idle && !c.asked && so >= fresh:
			rank = 1
		case c.state == idle && c.asked && so >= settled:
			rank = 2
		case c.state == reading && so >= fresh:
			rank = 3
		case c.state == idle && c.asked:
			rank = 4
		default:
			continue
		}
		if worst == nil || rank < least || rank == least && c.since.Before(worst.since) {
			worst, least = c, rank
		}
	}
	return worst
}

// state is what a connection is at.
type state uint8

const (
	idle      state = iota // between requests
	reading                // a request has begun to come in
	busy                   // a request is open
	lingering              // its last answer is out
)

// conn is a consumer's connection. One goroutine reads it; while an invocation
// is out this read tells when the consumer leaves.
type conn struct {
	server  *Server
	nc      *net.TCPConn
	r       *bufio.Reader
	N       int64  // bytes that one request may still bring in
	failed  bool   // the connection itself broke
	refused bool   // beyond the limit
	old     bool   // speaks HTTP/1.0
	class   string // that the present request states; empty is none known
	pace    pace   // of the body that comes in

	accepted time.Time

	// Guarded by server.mu:
	state     state
	since     time.Time // when it came into its state
	until     time.Time // when it is to leave it at the latest
	asked     bool      // it has brought a request
	abandoned bool      // the body that comes in is not wanted any more
	gone      bool      // given up: its place is given away once
}

func newConn(s *Server, nc *net.TCPConn) *conn {
	c := &conn{server: s, nc: nc, N: maxHead, accepted: time.Now()}
	c.r = s.buffers.Reader(c)
	c.rest()
	return c
}

// enter notes what the connection is at, and until when it may be.
// The server's mutex is held.
func (c *conn) enter(now state, until time.Time) {
	c.state, c.since, c.until = now, time.Now(), until
	if c.gone {
		c.gone = false
		c.server.leaving--
		c.server.room.Broadcast()
	}
	c.nc.SetReadDeadline(until)
}

// Read reads from the consumer, no more than one request may bring in. What has
// come in before a connection was given up, or its idle time was over, is read
// all the same.
func (c *conn) Read(p []byte) (int, error) {
	if c.N <= 0 {
		return 0, io.EOF
	}
	p = p[:min(int64(len(p)), c.N)]
	if c.pace.bytes > 0 {
		c.keepPace()
	}
	n, err := c.nc.Read(p)
	if errors.Is(err, os.ErrDeadlineExceeded) && socket.Peek(c.nc) == socket.Waiting {
		c.server.mu.Lock()
		goesOn := c.state == idle || c.gone && time.Now().Before(c.until)
		c.server.mu.Unlock()
		if goesOn {
			c.nc.SetReadDeadline(time.Now().Add(fresh))
			n, err = c.nc.Read(p)
			c.nc.SetReadDeadline(past)
		}
	}
	c.N -= int64(n)
	if !c.pace.since.IsZero() {
		c.pace.bytes += int64(n)
	}
	c.failed = err != nil && !errors.Is(err, os.ErrDeadlineExceeded)
	return n, err
}

// comesIn notes that a body begins to come in, which has a time of its own.
func (c *conn) comesIn() {
	c.pace = pace{since: time.Now()}
	c.keepPace()
}

// keepPace moves the time until when more of the body must be in.
func (c *conn) keepPace() {
	c.server.mu.Lock()
	defer c.server.mu.Unlock()
	if !c.gone && !c.abandoned {
		c.until = c.pace.until()
		c.nc.SetReadDeadline(c.until)
	}
}

// past is a deadline that ends a read which waits.
var past = time.Unix(1, 0)

// giveUp ends a connection that has no request open. It wakes the reader, which
// alone can tell that no request has come in at the last moment: a request
// that has reached this machine counts as taken, so closing over it loses it.
// The server's mutex is held.
func (c *conn) giveUp() {
	if c.state != busy && !c.gone {
		c.gone = true
		c.server.leaving++
		c.nc.SetReadDeadline(past)
	}
}

// rest notes that the connection is between requests.
// The server's mutex is held.
func (c *conn) rest() {
	if c.asked {
		c.enter(idle, time.Now().Add(idleTimeout))
	} else {
		c.enter(idle, c.accepted.Add(firstTimeout))
	}
	if c.server.phase().Closing {
		c.wane()
	}
}

// wane ends an idle connection while all go: at once, or shortly after its start
// if it has not asked yet.
// The server's mutex is held.
func (c *conn) wane() {
	if end := c.accepted.Add(grace); !c.asked && time.Now().Before(end) {
		c.enter(idle, end)
	} else {
		c.giveUp()
	}
}

// begin waits for the first byte of the next request. It reports false when
// the connection has ended, or was given up and nothing has come in.
func (c *conn) begin() bool {
	if _, err := c.r.Peek(1); err != nil {
		return false
	}
	c.server.mu.Lock()
	defer c.server.mu.Unlock()
	until := time.Now().Add(readTimeout)
	if !c.asked { // who drips its first request in, or stops in it, is told in time
		until = c.accepted.Add(max(readTimeout, time.Since(c.accepted)+headTimeout))
	}
	c.enter(reading, until)
	return true
}

// taken notes that a whole request is in.
func (c *conn) taken() {
	c.server.mu.Lock()
	defer c.server.mu.Unlock()
	c.asked = true
	c.enter(busy, time.Time{})
}

func (c *conn) serve() {
	defer c.end()
	answered := make(chan bool, 1)
	for {
		c.N, c.class = maxHead, ""
		if !c.begin() {
			return
		}
		req, frame, err := c.readHead()
		if err != nil {
			c.reject(err)
			return
		}
		if req.Method == http.MethodGet && req.RequestURI == readyPath {
			body, rest, err := c.readBody(req, frame)
			if err == nil && rest != nil {
				err = &httpError{http.StatusRequestEntityTooLarge, "a body where none belongs"}
			}
			body.Free()
			if err != nil {
				c.reject(err)
				return
			}
			c.taken()
			if !c.ready(req.Close) {
				return
			}
			continue
		}
		c.old = !req.ProtoAtLeast(1, 1)
		way, inv, err := c.invocation(req, frame)
		if err != nil {
			c.reject(err)
			return
		}
		if c.refused || c.server.present().Refusing {
			c.server.services.Turned(c.class, true)
			inv.Request.Free()
			c.write(head(http.StatusServiceUnavailable, 0, false, nil, time.Second, true), nil)
			c.lingerClose()
			return
		}
		id := req.Header.Get(http1.HeaderID)
		if !c.server.hold(id, c) {
			inv.Request.Free()
			c.reject(&httpError{http.StatusConflict, http1.HeaderID + " is open already"})
			return
		}
		inv.Left = c.server.left(inv.Left)
		rest, _ := inv.Request.Rest.(*upload)
		closes := req.Close || c.old
		inv.Reply = func(a invocation.Answer) { go c.answer(a, id, closes, rest, answered) }
		left := inv.Left
		if rest == nil {
			c.nc.SetReadDeadline(inv.Taken.Add(left + leaveMargin))
			c.N = maxHead
		}
		ticket := way.Service.Take(inv)
		if rest != nil {
			<-rest.over // until then the connection is the upload's to read
			if err := rest.err; !errors.Is(err, io.EOF) {
				if !errors.Is(err, errAbandoned) && way.Service.Leave(ticket) {
					c.class = "" // its end is booked by now
					c.server.release(id, c)
					c.reject(err)
					return
				}
				<-answered // with a close
				return
			}
			c.pace = pace{}
			c.N = maxHead
			c.nc.SetReadDeadline(time.Now().Add(left + leaveMargin))
		}
		_, err = c.r.Peek(1) // the next request, which comes after the answer, or the consumer's end
		if err != nil {
			c.server.mu.Lock() // an answer that is through lets go of it after all is booked
			settled := len(answered) > 0
			c.server.mu.Unlock()
			if !settled {
				way.Service.Leave(ticket)
				c.server.release(id, c)
				return
			}
		}
		if !<-answered {
			return
		}
	}
}

// invocation reads what is left of a request whose head is in, and finds its way.
func (c *conn) invocation(req *http.Request, frame framing.Body) (way Way, inv *invocation.Invocation, err error) {
	if way, err = c.server.find(req); err != nil {
		return way, nil, err
	}
	if c.class = stated(req); way.Class != "" && req.Header.Get(http1.HeaderKind) == "" {
		c.class = way.Class
	}
	give := func() {}
	if size := frame.Length; size > 0 || frame.Chunked {
		if size = min(size, invocation.MaxHeld); frame.Chunked {
			size = invocation.MaxHeld
		}
		var ok bool
		if give, ok = way.Service.Hold(int(size)); !ok {
			return way, nil, &httpError{http.StatusServiceUnavailable, "no room for the body"}
		}
	}
	body, rest, err := c.readBody(req, frame)
	if err == nil {
		c.taken()
		length := frame.Length
		if frame.Chunked {
			length = invocation.Unknown
		}
		if inv, err = way.parse(req, body, rest, length, time.Now()); err == nil {
			inv.Request.Done = give
			return way, inv, nil
		}
		body.Free()
	}
	give()
	return way, nil, err
}

// hold notes that a request with this id is open. It reports false if another
// one is: ids are fresh on every request, and providers tell requests by them.
func (s *Server) hold(id string, c *conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ids[id] != nil {
		return false
	}
	s.ids[id] = c
	return true
}

func (s *Server) release(id string, c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ids[id] == c {
		delete(s.ids, id)
	}
}

// answer writes a final answer and tells the reader whether the connection
// goes on.
func (c *conn) answer(a invocation.Answer, id string, closes bool, rest *upload, answered chan<- bool) {
	defer a.Response.Free()
	c.server.release(id, c)
	early := rest != nil && !rest.abandon()
	closes = closes || early
	c.server.mu.Lock()
	closes = closes || c.server.phase().Last
	c.server.mu.Unlock()
	var header http.Header
	var body *buffer.Body
	if a.Response != nil {
		header, body = a.Response.Header, a.Response.Body
	}
	var whole bool
	if a.Response != nil && a.Response.Rest != nil {
		whole = c.stream(status(a.Verdict), a.Response, closes)
	} else {
		whole = c.write(head(status(a.Verdict), int64(body.Len()), c.old, header, a.RetryAfter, closes), body)
	}
	goesOn := whole && !closes
	if whole && early {
		c.discard()
	}
	c.server.mu.Lock()
	defer c.server.mu.Unlock()
	answered <- goesOn
	if goesOn {
		c.rest()
	} else {
		c.nc.Close() // also ends the read that waits for the next request
	}
}

func (c *conn) write(head []byte, body *buffer.Body) bool {
	c.nc.SetWriteDeadline(time.Now().Add(writeTimeout))
	message := body.AppendTo(net.Buffers{head})
	_, err := message.WriteTo(c.nc)
	return err == nil
}

// ready answers the question whether this proxy can be used. It can from its
// first moment on, with the providers known from before.
func (c *conn) ready(closes bool) bool {
	now, code := c.server.present(), http.StatusOK
	closes = closes || now.Last || c.refused
	if !now.Ready {
		code, closes = http.StatusServiceUnavailable, true
	}
	if !c.write(head(code, 0, false, nil, 0, closes), nil) || closes {
		return false
	}
	c.server.mu.Lock()
	defer c.server.mu.Unlock()
	c.rest()
	return true
}

// reject answers what is no invocation, if there is still somebody to answer.
func (c *conn) reject(err error) {
	var e *httpError
	if !errors.As(err, &e) {
		return
	}
	if c.class != "" {
		c.server.services.Turned(c.class, e.status == http.StatusServiceUnavailable)
	}
	if c.write(head(e.status, 0, false, nil, e.retryAfter(), true), nil) {
		c.lingerClose()
	}
}

// lingerClose ends the sending first and reads on for a moment: closing with
// unread bytes would reset the connection, and the answer with it.
func (c *conn) lingerClose() {
	if c.nc.CloseWrite() == nil {
		c.server.mu.Lock()
		c.enter(lingering, time.Now().Add(linger))
		c.server.mu.Unlock()
		io.Copy(io.Discard, io.LimitReader(c.nc, invocation.MaxBody))
	}
}

func (c *conn) end() {
	c.nc.Close()
	c.server.buffers.PutReader(c.r)
	c.server.mu.Lock()
	defer c.server.mu.Unlock()
	if c.gone {
		c.server.leaving--
	}
	delete(c.server.conns, c)
	c.server.reserve.Fill()
	c.server.room.Broadcast()
}
