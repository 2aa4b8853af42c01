package realtime

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httputil"
	"net/url"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"time"

	"ryerill/discovery"
)

const (
	relayBuffer       = 4096        // bytes
	plainEndpointIdle = time.Minute // a connection to the plain endpoint is closed after this without a request
	maxReferenceConns = 1024        // idle connections of the reverse proxy
)

// plainEndpoint answers every request with the same 200, as cheaply as it can.
type plainEndpoint struct {
	listener net.Listener
	tasks    sync.WaitGroup // the goroutines of the listener and the connections
}

func startPlainEndpoint() (*plainEndpoint, error) {
	l, err := net.Listen("tcp", anyPort)
	if err != nil {
		return nil, err
	}
	e := &plainEndpoint{listener: l}
	response := []byte("HTTP/1.1 200 OK\r\nContent-Length: " + strconv.Itoa(costBody) + "\r\n\r\n" +
		strings.Repeat("x", costBody))
	e.tasks.Go(func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			e.tasks.Go(func() {
				defer conn.Close()
				answerAll(conn, response)
			})
		}
	})
	return e, nil
}

func (e *plainEndpoint) address() string { return e.listener.Addr().String() }

// close ends the endpoint. It waits for the connections, which must have been closed by their clients.
func (e *plainEndpoint) close() {
	e.listener.Close()
	e.tasks.Wait()
}

// answerAll answers each request without a body on a connection until it ends.
func answerAll(conn net.Conn, response []byte) {
	endOfHeader := []byte("\r\n\r\n")
	buffer := make([]byte, relayBuffer)
	filled := 0
	for filled < len(buffer) {
		conn.SetDeadline(time.Now().Add(plainEndpointIdle))
		n, err := conn.Read(buffer[filled:])
		if err != nil {
			return
		}
		filled += n
		for {
			end := bytes.Index(buffer[:filled], endOfHeader)
			if end < 0 {
				break
			}
			filled = copy(buffer, buffer[end+len(endOfHeader):filled])
			if _, err := conn.Write(response); err != nil {
				return
			}
		}
	}
}

// staticDiscovery is a discovery service that lists one address under several names and never changes.
type staticDiscovery struct {
	address string
	list    discovery.EndpointList
	server  *http.Server
	serving sync.WaitGroup // the server's goroutine
}

func startStaticDiscovery(backend string) (*staticDiscovery, error) {
	s := &staticDiscovery{list: discovery.EndpointList{Index: 1, Snapshot: true}}
	for i := range costEndpoints {
		s.list.Endpoints = append(s.list.Endpoints, discovery.Endpoint{
			Name: fmt.Sprintf("p-%d", i), Address: backend, Zone: "z", Status: discovery.Ready, Weight: 1,
		})
	}
	l, err := net.Listen("tcp", anyPort)
	if err != nil {
		return nil, err
	}
	s.address = l.Addr().String()
	s.server = &http.Server{ReadHeaderTimeout: headerTimeout, Handler: http.HandlerFunc(s.handlePoll)}
	s.serving.Go(func() {
		_ = s.server.Serve(l) // ends when the server is closed
	})
	return s, nil
}

// handlePoll answers with the list, or with no change when a poll's time is over.
func (s *staticDiscovery) handlePoll(w http.ResponseWriter, req *http.Request) {
	list := s.list
	if since := req.URL.Query().Get("since"); since != "" && since != "0" {
		select {
		case <-time.After(parsePoll(req).timeout):
		case <-req.Context().Done():
		}
		list.Snapshot = false
		list.Endpoints = []discovery.Endpoint{}
	}
	_ = json.NewEncoder(w).Encode(list) // a proxy that has left polls again
}

func (s *staticDiscovery) close() {
	_ = s.server.Close() // its listener's error doesn't matter any more
	s.serving.Wait()
}

// ServeRelay copies bytes between clients at one address and an endpoint at another. It returns when it can't listen
// or accept.
func ServeRelay(address, backend string) error {
	runtime.GOMAXPROCS(1)
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	var tasks sync.WaitGroup
	defer tasks.Wait()
	for {
		client, err := l.Accept()
		if err != nil {
			return err
		}
		tasks.Go(func() { relay(client, backend) })
	}
}

// relay copies bytes both ways between a client and a new connection to an endpoint until both have ended.
func relay(client net.Conn, backend string) {
	defer client.Close()
	conn, err := net.Dial("tcp", backend)
	if err != nil {
		return
	}
	var upload sync.WaitGroup
	upload.Go(func() {
		copyBytes(conn, client)
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.CloseWrite() // fails if the endpoint has closed it
		}
	})
	copyBytes(client, conn)
	conn.Close()
	client.Close()
	upload.Wait()
}

// copyBytes copies through a buffer: splicing would spare the relay what every proxy that reads must do.
func copyBytes(to io.Writer, from io.Reader) {
	buffer := make([]byte, relayBuffer)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			return
		}
		if _, err := to.Write(buffer[:n]); err != nil {
			return
		}
	}
}

// ServeReverseProxy runs the standard library's proxy between two addresses. It returns when it can't serve.
func ServeReverseProxy(address, backend string) error {
	runtime.GOMAXPROCS(1)
	handler := httputil.NewSingleHostReverseProxy(&url.URL{Scheme: "http", Host: backend})
	handler.Transport = &http.Transport{MaxIdleConnsPerHost: maxReferenceConns, MaxIdleConns: maxReferenceConns}
	server := &http.Server{Addr: address, Handler: handler, ReadHeaderTimeout: headerTimeout}
	return server.ListenAndServe()
}
