package soak

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	endpointsOfHost = 200 // of a host address of the loopback range
	requestBuffer   = 512 // bytes, of a connection to an endpoint
	listRequestPath = "/read/"
	listResponse    = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nfine"
)

// endpointFarm is thousands of endpoints in this process, which answer at once and record when requests come. The path
// of a request ends in the number of the proxy that it was sent to.
type endpointFarm struct {
	listeners []net.Listener

	mu       sync.Mutex
	arrivals []arrival
}

// arrival is the first byte of a request at an endpoint.
type arrival struct {
	proxy    int
	endpoint int
	at       time.Time
}

func startFarm(count int) (*endpointFarm, error) {
	farm := &endpointFarm{}
	for i := range count {
		address := fmt.Sprintf("127.79.%d.%d:0", i/endpointsOfHost, i%endpointsOfHost+1)
		listener, err := net.Listen("tcp", address)
		if err != nil {
			farm.close()
			return nil, err
		}
		farm.listeners = append(farm.listeners, listener)
		go farm.accept(i, listener) // ends when the listener is closed
	}
	return farm, nil
}

func (f *endpointFarm) close() {
	for _, listener := range f.listeners {
		_ = listener.Close() // nothing can be lost
	}
}

func (f *endpointFarm) accept(endpoint int, listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go f.serve(endpoint, conn) // ends when the proxy closes the connection, or is killed
	}
}

func (f *endpointFarm) serve(endpoint int, conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReaderSize(conn, requestBuffer)
	for {
		if _, err := reader.Peek(1); err != nil {
			return
		}
		at := time.Now()
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		proxy, err := strconv.Atoi(strings.TrimPrefix(request.URL.Path, listRequestPath))
		if err != nil {
			return
		}
		f.record(arrival{proxy: proxy, endpoint: endpoint, at: at})
		if _, err := conn.Write([]byte(listResponse)); err != nil {
			return
		}
	}
}

func (f *endpointFarm) record(a arrival) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.arrivals = append(f.arrivals, a)
}
