package downstream

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"golang.org/x/sys/unix"

	"ryerill/drain"
	"ryerill/internal/buffer"
	"ryerill/internal/socket"
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
	hurried      = 5 * time.Millisecond    // or for so long where another wants its place
	lookAgain    = 100 * time.Millisecond  // a consumer that can't be read is looked at so often: 0.3 s after it has left nothing is sent on
	reserve      = 8                       // connections beyond the limit that are told so
	grace        = 500 * time.Millisecond  // while all connections go, a new one may still ask for so long
	spare        = 2                       // descriptors kept aside for when there are no others
)

// Server accepts the consumers' connections and speaks HTTP/1.1 on them.
type Server struct {
	listener *net.TCPListener
	services Router
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
	last    *time.Timer      // has what is still open answered; nil before the word to stop
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

// SetMaxConnections changes how many connections the server may hold. Of those beyond it
// the ones that can be spared go, the others stay until they end.
func (s *Server) SetMaxConnections(most int) {
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
func (s *Server) Serve(ctx context.Context, services Router) error {
	s.services = services
	defer s.Close()
	defer context.AfterFunc(ctx, s.stop)()
	var pause socket.Backoff
	for {
		nc, err := s.listener.AcceptTCP()
		lent := socket.OutOfDescriptors(err) && s.makeRoom()
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
		pause.Reset()
		s.add(nc, lent && !s.reserve.Fill()) // it may have come much later
	}
	s.hearOut()
	s.listener.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	defer time.AfterFunc(time.Until(s.stopped.Add(s.ending.CloseIdle)), s.close).Stop()
	if s.last != nil {
		defer s.last.Stop()
	}
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
	var pause socket.Backoff
	for end := time.Now().Add(grace); time.Now().Before(end); {
		fd := -1
		raw.Control(func(l uintptr) { fd, _, err = unix.Accept4(int(l), unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC) })
		switch {
		case socket.OutOfDescriptors(err): // who waits there has been taken: it is worth waiting for one
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
		if socket.OutOfDescriptors(err) && s.makeRoom() { // it needs a second one for a moment
			nc, err = net.FileConn(f)
		}
		if f.Close(); err == nil {
			pause.Reset()
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
	if longest := s.services.MaxDeadline(); longest > 0 {
		killed = min(longest, killedAfter) + killedLater
	}
	plan := s.services.ShutdownPlan(killed)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopped, s.killed, s.ending = time.Now(), killed, plan
	s.listener.SetDeadline(s.stopped.Add(s.ending.StopAccepting))
	if killed > 0 && !plan.KeepsProcess {
		s.last = time.AfterFunc(killed-killMargin, s.expire)
	}
}

// expire has all that is still open answered: the process will be killed.
func (s *Server) expire() {
	type open struct {
		service Service
		ticket  uint64
	}
	var all []open
	s.mu.Lock()
	for c := range s.conns {
		if c.state == busy && c.service != nil {
			all = append(all, open{c.service, c.ticket})
		}
	}
	s.mu.Unlock()
	for _, o := range all {
		o.service.Expire(o.ticket)
	}
}

// beforeKill is t, or shortly before this process may be killed. The mutex is held.
func (s *Server) beforeKill(t time.Time) time.Time {
	if s.stopped.IsZero() || s.killed == 0 || s.ending.KeepsProcess {
		return t
	}
	return earlier(t, s.stopped.Add(s.killed-killMargin/4))
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
		s.sweep = time.AfterFunc(time.Until(since.Add(drain.Manual().CloseIdle)), s.close)
	}
}

// phase is what holds now. The mutex is held.
func (s *Server) phase() drain.Phase {
	now := drain.Phase{Ready: true}
	if !s.stopped.IsZero() {
		now = s.ending.At(time.Since(s.stopped))
	}
	if !s.byHand.IsZero() {
		now = drain.Combine(now, drain.Manual().At(time.Since(s.byHand)))
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
	if !s.phase().ClosesIdle {
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
	if s.stopped.IsZero() || s.ending.KeepsProcess || time.Since(s.stopped) < killedLater-killMargin/2 {
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
		nc.CloseWrite()
		socket.Discard(nc, maxHead) // what lies there unread would have the answer reset
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
