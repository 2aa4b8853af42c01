// Package admin is the operators' door: a listener of its own at which staff ask
// how a proxy does and tell it what to do. It speaks HTTP/1.1, one call to a
// connection. It knows no provider and no directory: what it is asked it passes
// on to a Staff, whose methods must not wait for either.
package admin

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"

	"ryerill/internal/framing"
	"ryerill/internal/socket"
)

// Descriptors is how many the door may hold; they are set aside for it.
const Descriptors = most + 8

const (
	most         = 32                     // connections; beyond it the longest without a whole call makes room
	callTimeout  = 3 * time.Second        // a whole call is in this long after the accept
	writeTimeout = 500 * time.Millisecond // and its answer is out in this time
	linger       = 200 * time.Millisecond // what comes in after an answer is read for so long, lest it be reset
	spare        = 2                      // descriptors kept aside for when there are no others
	maxHead      = 8 << 10                // bytes of a call's head
	maxBody      = 1 << 10                // bytes of its body, with the framing of its chunks
	maxPlan      = 256 << 10              // bytes of a plan of a rollout
	maxID        = 256                    // bytes of a provider's id
)

// ErrUnknownEndpoint says that nobody has an id.
var ErrUnknownEndpoint = errors.New("no backend has this id: see the directory's list for those that there are")

// Controller carries out what is called for. Its methods are safe for concurrent use
// and answer soon, whatever the load.
type Controller interface {
	Readiness() error // nil is yes
	Stats() Stats
	TakeDown(id string) error // ErrUnknown is a 404, any other error a 503
	Restore(id string) error
	StartDrain() error
	StopDrain() error
	Fleet() (status any, in bool)       // status is nil while there is none; in is false where the proxy is in no fleet
	SharedState() (status any, in bool) // in is false where copies share nothing
	Rollout() (status any, in bool)     // in is false where the proxy takes no part in rollouts
	StartRollout(plan []byte) error
	RolloutCommand(word, body string) error
	ForgetReplica(name string) error // of a dead copy; any error is a 404
}

// Stats are the figures of one process since its start.
type Stats struct {
	Requests        map[string]RequestCounts `json:"calls"` // by class
	Attempts        int64                    `json:"backend_calls"`
	InFlight        int64                    `json:"inflight"`
	EndpointsListed int                      `json:"hosts_listed"`
	EndpointsDown   int                      `json:"hosts_down"`
	ReloadsOK       int64                    `json:"reconfig_ok"`
	ReloadsFailed   int64                    `json:"reconfig_failed"`
}

// RequestCounts counts requests by how they ended.
type RequestCounts struct {
	Served int64 `json:"success"`
	Shed   int64 `json:"busy"`
	Failed int64 `json:"failure"`
}

// Server is the listener with its connections.
type Server struct {
	listener *net.TCPListener
	staff    Controller
	reserve  *socket.Reserve

	mu    sync.Mutex
	conns map[*conn]struct{}
	all   sync.WaitGroup
}

type conn struct {
	*net.TCPConn
	since time.Time
	whole bool // its call is in
	told  bool // its answer is out: it only lingers
}

// Listen opens the door at an address; nobody is answered before Serve.
func Listen(address string) (*Server, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	return &Server{listener: l.(*net.TCPListener), reserve: socket.NewReserve(spare), conns: make(map[*conn]struct{})}, nil
}

// Address returns the address that the door is at.
func (d *Server) Address() string { return d.listener.Addr().String() }

// Close ends a door that never served.
func (d *Server) Close() {
	d.listener.Close()
	d.reserve.Close()
}

// Serve answers calls until ctx ends and those that are in have their answer.
func (d *Server) Serve(ctx context.Context, staff Controller) {
	d.staff = staff
	defer context.AfterFunc(ctx, func() {
		d.listener.Close()
		d.mu.Lock()
		defer d.mu.Unlock()
		for c := range d.conns {
			if !c.whole {
				c.SetDeadline(time.Unix(1, 0))
			}
		}
	})()
	defer d.reserve.Close()
	var pause socket.Backoff
	for {
		nc, err := d.listener.AcceptTCP()
		if socket.OutOfDescriptors(err) && d.reserve.Lend() {
			nc, err = d.listener.AcceptTCP()
		}
		if errors.Is(err, net.ErrClosed) {
			break
		}
		if err != nil { // the caller is gone again, or another has taken the descriptor
			d.reserve.Fill()
			time.Sleep(pause.Next())
			continue
		}
		pause.Reset()
		d.add(&conn{TCPConn: nc, since: time.Now()})
	}
	d.all.Wait()
}

// add starts a connection. At the bound one that has its answer goes, or the one
// that has waited longest without a whole call; if all have one and wait for its
// answer, which takes moments, the new one goes.
func (d *Server) add(c *conn) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.conns) >= most {
		var oldest *conn
		for other := range d.conns {
			if (other.told || !other.whole) && (oldest == nil || other.told && !oldest.told ||
				other.told == oldest.told && other.since.Before(oldest.since)) {
				oldest = other
			}
		}
		if oldest == nil {
			c.Close()
			return
		}
		delete(d.conns, oldest)
		oldest.Close()
	}
	d.conns[c] = struct{}{}
	d.all.Add(1)
	go d.serve(c)
}

func (d *Server) serve(c *conn) {
	defer d.all.Done()
	defer func() {
		d.mu.Lock()
		delete(d.conns, c)
		d.mu.Unlock()
		c.Close()
		d.reserve.Fill()
	}()
	c.SetReadDeadline(c.since.Add(callTimeout))
	r := bufio.NewReaderSize(c, maxHead)
	call, err := read(r, c)
	var a answer
	switch {
	case err == nil:
		d.mu.Lock()
		c.whole = true
		d.mu.Unlock()
		a = d.carryOut(call)
	case !errors.As(err, &a):
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return // the caller has gone
		}
		a = no(http.StatusRequestTimeout, "the call did not come whole in %v: send it at once", callTimeout)
	}
	c.SetWriteDeadline(time.Now().Add(writeTimeout))
	if _, err := c.Write(a.encode()); err != nil || c.CloseWrite() != nil {
		return
	}
	d.mu.Lock()
	c.whole, c.told = true, true
	d.mu.Unlock()
	c.SetReadDeadline(time.Now().Add(linger))
	io.Copy(io.Discard, io.LimitReader(c, 64<<10))
}

// call is one whole call.
type call struct{ method, path, body string }

// answer is what a call is told. As an error it ends the reading of one.
type answer struct {
	status int
	text   string // plain text, or JSON
	json   bool
	allow  string // the method that the path takes
}

func (a answer) Error() string { return a.text }

func no(status int, format string, args ...any) answer {
	return answer{status: status, text: fmt.Sprintf(format, args...)}
}

func (a answer) encode() []byte {
	kind, text := "text/plain; charset=utf-8", a.text+"\n"
	if a.json {
		kind = "application/json"
	}
	var b bytes.Buffer
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\nContent-Type: %s\r\nContent-Length: %d\r\nCache-Control: no-store\r\nConnection: close\r\n",
		a.status, http.StatusText(a.status), kind, len(text))
	if a.allow != "" {
		fmt.Fprintf(&b, "Allow: %s\r\n", a.allow)
	}
	b.WriteString("\r\n" + text)
	return b.Bytes()
}

// read reads one call, and judges all of it that does not depend on what it is for.
func read(r *bufio.Reader, w io.Writer) (call, error) {
	head, err := framing.ReadHead(r, maxHead)
	if errors.Is(err, framing.ErrHeadTooLarge) {
		return call{}, no(http.StatusRequestHeaderFieldsTooLarge, "the head is over %d bytes: send only what HTTP needs", maxHead)
	}
	if err != nil {
		return call{}, err
	}
	frame, err := framing.ParseLength(head)
	if err != nil {
		return call{}, no(http.StatusBadRequest, "%v: state one Content-Length, or chunks", err)
	}
	req, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(head)))
	if err != nil || req.Host == "" && req.ProtoAtLeast(1, 1) || req.ProtoMajor != 1 || !strings.HasPrefix(req.RequestURI, "/") {
		return call{}, no(http.StatusBadRequest, "malformed head: send a call of HTTP/1.1, as in GET /ops/stats HTTP/1.1")
	}
	most := int64(maxBody)
	if req.RequestURI == "/ops/rollout" {
		most = maxPlan
	}
	if frame.Length > most {
		return call{}, no(http.StatusRequestEntityTooLarge, "the body is over %d bytes: send the id of a backend alone", most)
	}
	k := call{method: req.Method, path: req.RequestURI}
	if frame.Length > 0 || frame.Chunked {
		if strings.EqualFold(req.Header.Get("Expect"), "100-continue") {
			if _, err := io.WriteString(w, "HTTP/1.1 100 Continue\r\n\r\n"); err != nil {
				return call{}, err
			}
		}
		body, err := io.ReadAll(io.LimitReader(frame.Reader(r), most+1))
		switch {
		case int64(len(body)) > most:
			return call{}, no(http.StatusRequestEntityTooLarge, "the body is over %d bytes: send the id of a backend alone", most)
		case errors.Is(err, os.ErrDeadlineExceeded), errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF):
			return call{}, err
		case err != nil:
			return call{}, no(http.StatusBadRequest, "malformed body: send the id of a backend with a Content-Length")
		}
		k.body = string(body)
	}
	if r.Buffered() > 0 {
		return call{}, no(http.StatusBadRequest, "more follows the call: send one call to a connection")
	}
	return k, nil
}

func inJSON(v any) answer {
	text, err := json.Marshal(v)
	if err != nil {
		return no(http.StatusInternalServerError, "%v", err)
	}
	return answer{status: http.StatusOK, text: string(text), json: true}
}

// carryOut does what a call says.
func (d *Server) carryOut(k call) answer {
	method, there := map[string]string{"/ops/readiness": http.MethodGet, "/ops/stats": http.MethodGet,
		"/ops/backends/down": http.MethodPost, "/ops/backends/up": http.MethodPost,
		"/ops/drain/start": http.MethodPost, "/ops/drain/stop": http.MethodPost,
		"/ops/fleet": http.MethodGet, "/ops/fleet/shared": http.MethodGet, "/ops/fleet/forget": http.MethodPost,
		"/ops/rollout": "GET or POST", "/ops/rollout/pause": http.MethodPost, "/ops/rollout/resume": http.MethodPost, "/ops/rollout/abort": http.MethodPost,
		"/ops/rollout/back": http.MethodPost, "/ops/rollout/refused": http.MethodPost}[k.path]
	switch {
	case !there:
		return no(http.StatusNotFound, "nothing is at this path: call GET /ops/readiness, GET /ops/stats, POST /ops/backends/down, "+
			"POST /ops/backends/up, POST /ops/drain/start, POST /ops/drain/stop, GET /ops/fleet, GET /ops/fleet/shared, POST /ops/fleet/forget, GET or POST /ops/rollout, or POST /ops/rollout/ with pause, resume, abort, back or refused")
	case method != k.method && !(method == "GET or POST" && (k.method == http.MethodGet || k.method == http.MethodPost)):
		a := no(http.StatusMethodNotAllowed, "this path takes %s", method)
		a.allow = method
		return a
	}
	id := strings.TrimRight(k.body, "\r\n")
	if named := map[string]string{"/ops/backends/down": "the id of a backend: send its name alone, as the directory lists it",
		"/ops/backends/up":  "the id of a backend: send its name alone, as the directory lists it",
		"/ops/fleet/forget": "the name of a copy: send it alone, as GET /ops/fleet tells it"}[k.path]; named != "" {
		if id == "" || len(id) > maxID || strings.ContainsFunc(id, func(r rune) bool { return r <= ' ' || r == 0x7f || r == 0xfffd }) {
			return no(http.StatusBadRequest, "the body is not %s", named)
		}
	} else if id != "" && !strings.HasPrefix(k.path, "/ops/rollout") {
		return no(http.StatusBadRequest, "a body where none belongs: send none")
	}
	var err error
	switch k.path {
	case "/ops/readiness":
		if err = d.staff.Readiness(); err == nil {
			return answer{status: http.StatusOK, text: "ready"}
		}
	case "/ops/stats":
		return inJSON(d.staff.Stats())
	case "/ops/fleet":
		status, in := d.staff.Fleet()
		switch {
		case !in:
			return no(http.StatusNotFound, "this proxy is in no fleet: its configuration has no fleet block")
		case status == nil:
			return no(http.StatusServiceUnavailable, "the fleet's address is still held by the process before this one: ask again")
		}
		return inJSON(status)
	case "/ops/fleet/shared":
		status, in := d.staff.SharedState()
		if !in {
			return no(http.StatusNotFound, "this proxy shares nothing with others: its configuration has no fleet.share block, or it is not in the fleet yet")
		}
		return inJSON(status)
	case "/ops/rollout":
		if k.method == http.MethodPost {
			if err := d.staff.StartRollout([]byte(k.body)); err != nil {
				return no(http.StatusConflict, "%v", err)
			}
			break
		}
		status, in := d.staff.Rollout()
		if !in {
			return no(http.StatusNotFound, "this proxy takes no part in rollouts: its configuration has no fleet block")
		}
		return inJSON(status)
	case "/ops/rollout/pause", "/ops/rollout/resume", "/ops/rollout/abort", "/ops/rollout/back", "/ops/rollout/refused":
		if err := d.staff.RolloutCommand(strings.TrimPrefix(k.path, "/ops/rollout/"), id); err != nil {
			return no(http.StatusConflict, "%v", err)
		}
	case "/ops/fleet/forget":
		if err := d.staff.ForgetReplica(id); err != nil {
			return no(http.StatusNotFound, "%v", err)
		}
	case "/ops/backends/down":
		err = d.staff.TakeDown(id)
	case "/ops/backends/up":
		err = d.staff.Restore(id)
	case "/ops/drain/start":
		err = d.staff.StartDrain()
	case "/ops/drain/stop":
		err = d.staff.StopDrain()
	}
	switch {
	case err == nil:
		return answer{status: http.StatusOK, text: "done"}
	case errors.Is(err, ErrUnknownEndpoint):
		return no(http.StatusNotFound, "%v", err)
	}
	return no(http.StatusServiceUnavailable, "%v", err)
}
