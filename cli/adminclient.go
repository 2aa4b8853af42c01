package cli

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"time"

	"ryerill/config"
	"ryerill/fleet"
)

const (
	adminTimeout     = 3 * time.Second
	maxAdminResponse = 16 << 20 // bytes: the status of the largest fleet
)

// Paths of the management endpoint.
const (
	pathFleet          = "/ops/fleet"
	pathSharedState    = "/ops/fleet/shared"
	pathForget         = "/ops/fleet/forget"
	pathRollout        = "/ops/rollout"
	pathRolloutRefused = "/ops/rollout/refused"
)

// adminClient sends requests to the management endpoint of a proxy.
type adminClient struct {
	address string
}

// adminAddress returns the named address, or else the configured one; empty if there is neither.
func adminAddress(named string, getenv func(string) string) string {
	if named != "" {
		return named
	}
	if address := getenv(config.EnvAdmin); address != "" {
		return address
	}
	if cfg, _, err := config.Load(getenv); err == nil {
		return cfg.Admin
	}
	return ""
}

// newAdminClient returns a client for the named address, or else the configured one.
func newAdminClient(named string, getenv func(string) string) adminClient {
	return adminClient{address: adminAddress(named, getenv)}
}

// do sends a request on a new connection and returns the body of the response. For a status other than 200 it returns
// an error with the body as its text.
func (c adminClient) do(method, path, body string) ([]byte, error) {
	if _, err := netip.ParseAddrPort(c.address); err != nil {
		return nil, fmt.Errorf("--door: unexpected value %q: name the IP and port of an operators' door, "+
			"or a configuration with mgmt in %s", c.address, config.EnvFile)
	}
	conn, err := net.DialTimeout("tcp", c.address, adminTimeout)
	if err != nil {
		return nil, err
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(adminTimeout))
	_, err = fmt.Fprintf(conn, "%s %s HTTP/1.1\r\nHost: %s\r\nContent-Length: %d\r\n\r\n%s",
		method, path, c.address, len(body), body)
	if err != nil {
		return nil, err
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	text, err := io.ReadAll(io.LimitReader(response.Body, maxAdminResponse))
	if err == nil && response.StatusCode != http.StatusOK {
		err = errors.New(strings.TrimSpace(string(text)))
	}
	return text, err
}

func (c adminClient) post(path, body string) error {
	_, err := c.do(http.MethodPost, path, body)
	return err
}

// getStatus requests a status and returns it both decoded and as received.
func getStatus[T any](c adminClient, path string) (status T, text []byte, err error) {
	text, err = c.do(http.MethodGet, path, "")
	if err != nil {
		return status, text, err
	}
	err = json.Unmarshal(text, &status)
	return status, text, err
}

func (c adminClient) fleet() (fleet.HostStatus, error) {
	status, _, err := getStatus[fleet.HostStatus](c, pathFleet)
	return status, err
}

func (c adminClient) rollout() (fleet.RolloutStatus, error) {
	status, _, err := getStatus[fleet.RolloutStatus](c, pathRollout)
	return status, err
}
