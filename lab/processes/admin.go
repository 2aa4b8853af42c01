package processes

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"ryerill/fleet"
)

const adminTimeout = 2 * time.Second // to connect, and then for the answer

// Admin sends one request to the management endpoint of a replica's newest process, and
// returns the body of the answer. An answer other than 200 is an error that holds it.
func (r *Replica) Admin(method, path, body string) (string, error) {
	conn, err := net.DialTimeout("tcp", r.AdminAddress(), adminTimeout)
	if err != nil {
		return "", err
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(adminTimeout))
	fmt.Fprintf(conn, "%s %s HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s", method, path, len(body), body)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err == nil && resp.StatusCode != http.StatusOK {
		err = fmt.Errorf("%s %s: %s: %s", method, path, resp.Status, text)
	}
	return string(text), err
}

// Status returns a replica's view of the fleet.
func (r *Replica) Status() (s fleet.Status, err error) {
	err = r.read("/ops/fleet", &s)
	return s, err
}

// Shared returns the state that a replica shares with others.
func (r *Replica) Shared() (s fleet.SharedStatus, err error) {
	err = r.read("/ops/fleet/shared", &s)
	return s, err
}

// Rollout returns a replica's view of the fleet's rollout.
func (r *Replica) Rollout() (s fleet.RolloutStatus, err error) {
	err = r.read("/ops/rollout", &s)
	return s, err
}

// read decodes the JSON at a path into a pointer to a status.
func (r *Replica) read(path string, status any) error {
	text, err := r.Admin("GET", path, "")
	if err != nil {
		return err
	}
	return json.Unmarshal([]byte(text), status)
}
