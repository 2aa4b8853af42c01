package repeater

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// Class is a class of requests by what a second execution of one of them does.
type Class string

// The classes, which a proxy under load must have under these names.
const (
	Safe   Class = "read"
	Keyed  Class = "swap"
	Unsafe Class = "burn"
)

var classes = []Class{Safe, Keyed, Unsafe}

const clientTimeout = 6 * time.Second // of a request

// Load is clients that ask one proxy, one request after another each, of all classes in turn.
type Load struct {
	Address string
	Clients int
	Pause   time.Duration // of each client between two requests
	Length  time.Duration
}

// Account is how a load has ended. Of Wrong, Unsafe and Keyed, 0 is the only good value.
type Account struct {
	Requests int
	Served   int
	Failed   int // answered by another status than 200
	Lost     int // without any whole response
	Wrong    int // served the response to another request
	Unsafe   int // unsafe requests that were executed more than once
	Keyed    int // keyed requests that were executed by more than one endpoint
	Cut      int // of Unsafe and Keyed: the connection of the first execution had ended before its response
	Examples []string
	Latency  time.Duration // mean of the served
	// WrongLatency is the shortest, the median and the longest time of the wrong ones.
	WrongLatency [3]time.Duration
}

const maxExamples = 5

// request is one request in the account.
type request struct {
	id      string
	class   Class
	sentAt  time.Time
	endedAt time.Time
	status  int // 0 without a whole response
	body    string
}

// Play has the clients ask until the load's length is over, and compares what they got with what the endpoints did.
func (l *Load) Play(ledger *Ledger) Account {
	var number atomic.Uint64
	var mu sync.Mutex
	var all []request
	var working sync.WaitGroup
	ends := time.Now().Add(l.Length)
	for i := range l.Clients {
		working.Go(func() {
			time.Sleep(l.Pause * time.Duration(i) / time.Duration(l.Clients)) // else all would ask at once
			asked := l.ask(&number, ends)
			mu.Lock()
			defer mu.Unlock()
			all = append(all, asked...)
		})
	}
	working.Wait()
	return settle(all, ledger)
}

// ask asks one request after another, over one connection as long as that stays open.
func (l *Load) ask(number *atomic.Uint64, ends time.Time) (asked []request) {
	var conn net.Conn
	var reader *bufio.Reader
	defer func() {
		if conn != nil {
			conn.Close()
		}
	}()
	for time.Now().Before(ends) {
		if conn == nil {
			var err error
			if conn, err = net.Dial("tcp", l.Address); err != nil {
				time.Sleep(time.Millisecond)
				continue
			}
			reader = bufio.NewReader(conn)
		}
		n := number.Add(1)
		r := request{id: fmt.Sprintf("%016x", n), class: classes[n%uint64(len(classes))]}
		if !r.exchange(conn, reader) {
			conn.Close()
			conn = nil
		}
		asked = append(asked, r)
		time.Sleep(l.Pause)
	}
	return asked
}

// exchange sends the request and reads its response. It reports whether the connection goes on.
func (r *request) exchange(conn net.Conn, reader *bufio.Reader) bool {
	headers := fmt.Sprintf("Host: x\r\nReq-Id: %s\r\nReq-Kind: %s\r\nReq-Deadline-Ms: %d\r\n",
		r.id, r.class, clientTimeout.Milliseconds())
	text := fmt.Sprintf("GET /%s HTTP/1.1\r\n%s\r\n", r.class, headers)
	if r.class != Safe {
		if r.class == Keyed {
			headers += "Idempotency-Key: " + r.id + "\r\n"
		}
		text = fmt.Sprintf("POST /%s HTTP/1.1\r\n%sContent-Length: 2\r\n\r\nhi", r.class, headers)
	}
	r.sentAt = time.Now()
	defer func() { r.endedAt = time.Now() }()
	conn.SetDeadline(r.sentAt.Add(clientTimeout))
	if _, err := io.WriteString(conn, text); err != nil {
		return false
	}
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		return false
	}
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return false
	}
	r.status = response.StatusCode
	r.body = string(body)
	return !response.Close
}

// settle compares the clients' requests with the ledger.
func settle(all []request, ledger *Ledger) (account Account) {
	account.Requests = len(all)
	var latency time.Duration
	var wrong []time.Duration
	for _, r := range all {
		executions := ledger.Executions(r.id)
		switch {
		case r.status == 0:
			account.Lost++
		case r.status != http.StatusOK:
			account.Failed++
		case r.body != r.id:
			account.Wrong++
			wrong = append(wrong, r.endedAt.Sub(r.sentAt))
			account.note(r, executions, "the response to "+r.body)
		default:
			account.Served++
			latency += r.endedAt.Sub(r.sentAt)
		}
		switch {
		case r.class == Unsafe && len(executions) > 1:
			account.Unsafe++
			account.countCut(executions)
			account.note(r, executions, "executed again")
		case r.class == Keyed && !sameEndpoint(executions):
			account.Keyed++
			account.countCut(executions)
			account.note(r, executions, "executed outside its group")
		}
	}
	if len(wrong) > 0 {
		slices.Sort(wrong)
		account.WrongLatency = [3]time.Duration{wrong[0], wrong[len(wrong)/2], wrong[len(wrong)-1]}
	}
	account.Latency = latency / time.Duration(max(account.Served, 1))
	return account
}

func sameEndpoint(executions []Execution) bool {
	for _, e := range executions {
		if e.Endpoint != executions[0].Endpoint {
			return false
		}
	}
	return true
}

func (a *Account) countCut(executions []Execution) {
	if !executions[0].Whole {
		a.Cut++
	}
}

// note keeps an example of what went wrong.
func (a *Account) note(r request, executions []Execution, what string) {
	if len(a.Examples) >= maxExamples {
		return
	}
	text := fmt.Sprintf("%s %s: %s after %v;", r.class, r.id, what, r.endedAt.Sub(r.sentAt).Round(time.Microsecond))
	for _, e := range executions {
		text += fmt.Sprintf(" executed by %d after %v", e.Endpoint, e.At.Sub(r.sentAt).Round(time.Microsecond))
	}
	a.Examples = append(a.Examples, text)
}
