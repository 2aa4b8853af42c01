package processes

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	requestsAClient   = 20 // a second
	fewestClients     = 2
	clientDialTimeout = time.Second
	clientTimeout     = 6 * time.Second // beyond the deadline, so that the proxy's answer to that comes first
)

// classes are sent in turn.
var classes = []string{readClass, keyedClass, unsafeClass}

// Drive sends requests to a replica until ctx ends, each class in turn, over connections
// that it keeps, and waits for the answers. What a replica that is not up can't answer is
// excused: without a fleet it would be lost too.
func (f *Fleet) Drive(ctx context.Context, index, perSecond int) {
	count := max(perSecond/requestsAClient, fewestClients)
	interval := time.Duration(count) * time.Second / time.Duration(perSecond)
	var clients sync.WaitGroup
	for i := range count {
		clients.Add(1)
		go func() {
			defer clients.Done()
			c := &client{replica: f.Replicas[index], replicaIndex: index, ledger: f.Ledger, sent: i}
			defer c.disconnect()
			c.run(ctx, interval)
		}()
	}
	clients.Wait()
}

// client sends one request after the other over one connection.
type client struct {
	replica      *Replica
	replicaIndex int
	ledger       *Ledger
	sent         int // requests so far, from the client's own offset: they give the class

	conn         net.Conn // nil while there is none
	reader       *bufio.Reader
	terminations int // of the replica when conn was dialled
}

// run sends a request at each interval until ctx ends.
func (c *client) run(ctx context.Context, interval time.Duration) {
	tick := time.NewTicker(interval)
	defer tick.Stop()
	for ; ; c.sent++ {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		if !c.replica.Up() {
			c.disconnect()
			continue
		}
		if c.connect() {
			c.request(classes[c.sent%len(classes)])
		}
	}
}

// connect dials unless there is a connection. It returns false if that failed.
func (c *client) connect() bool {
	if c.conn != nil {
		return true
	}
	terminations := c.replica.Terminations()
	conn, err := net.DialTimeout("tcp", c.replica.Address, clientDialTimeout)
	if err != nil {
		return false
	}
	c.conn = conn
	c.reader = bufio.NewReader(conn)
	c.terminations = terminations
	return true
}

func (c *client) disconnect() {
	if c.conn != nil {
		c.conn.Close()
		c.conn = nil
	}
}

// request sends one request and records its answer.
func (c *client) request(class string) {
	id := fmt.Sprintf("%016x", rand.Uint64())
	stopsBefore, runs := c.replica.stopsSoFar()
	recorded := c.ledger.recordSent(id, class, c.replicaIndex)
	resp, body, err := c.exchange(requestText(id, class))
	if err != nil {
		isExcused := !c.replica.Up() || c.replica.Terminations() != c.terminations
		c.ledger.recordBroken(recorded, err, isExcused)
		c.disconnect()
		return
	}
	stops, _ := c.replica.stopsSoFar()
	c.ledger.recordAnswer(recorded, resp.StatusCode, string(body) == id, !runs || stops != stopsBefore)
	if resp.Close {
		c.disconnect()
	}
}

// exchange sends a request and reads the whole answer.
func (c *client) exchange(text string) (*http.Response, []byte, error) {
	c.conn.SetDeadline(time.Now().Add(clientTimeout))
	if _, err := io.WriteString(c.conn, text); err != nil {
		return nil, nil, err
	}
	resp, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return nil, nil, err
	}
	body, err := io.ReadAll(resp.Body)
	return resp, body, err
}

// requestText returns a request of a class as it is sent.
func requestText(id, class string) string {
	headers := fmt.Sprintf("Host: x\r\nReq-Id: %s\r\nReq-Kind: %s\r\nReq-Owner: acme\r\nReq-Deadline-Ms: %d\r\n",
		id, class, requestTimeout.Milliseconds())
	if class == readClass {
		return "GET /read/1 HTTP/1.1\r\n" + headers + "\r\n"
	}
	if class == keyedClass {
		headers += "Idempotency-Key: " + id + "\r\n"
	}
	return fmt.Sprintf("POST /%s/1 HTTP/1.1\r\n%sContent-Length: 2\r\n\r\nhi", class, headers)
}
