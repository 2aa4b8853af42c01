package proxy

import (
	"log/slog"
	"net"
	"testing"

	"ryerill/config"
	"ryerill/fleet"
)

// A process that waits for the address of the fleet continues without one if a reload removes the fleet meanwhile.
func TestFleetRemovedWhileWaitingForAddress(t *testing.T) {
	held, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer held.Close()
	settings := &config.Fleet{Config: fleet.Config{
		Name: "n1", Fleet: "f", Listen: held.Addr().String(), Keys: [][]byte{[]byte("a-key-of-sixteen-bytes")},
	}}
	p := &Proxy{log: slog.New(slog.DiscardHandler), cfg: config.Config{Fleet: settings}}
	p.processes.second = true
	if err := p.joinFleet(); err != nil {
		t.Fatal(err)
	}
	p.mu.Lock()
	p.cfg.Fleet = nil // as a reload does
	p.mu.Unlock()
	if p.awaitFleetHost(t.Context()) {
		t.Error("joined a fleet that the configuration no longer has")
	}
}
