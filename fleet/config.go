package fleet

import "time"

// Config configures the host of a fleet.
type Config struct {
	Name             string            // name of this replica, unique in the fleet
	Fleet            string            // name of the fleet
	Listen           string            // IP and port of the UDP and TCP sockets
	Advertise        string            // address that other replicas send to; empty means Listen
	Seeds            []string          // addresses of replicas to join through
	AddressOverrides map[string]string // by replica name, replaces the advertised address
	Keys             [][]byte          // the first key signs, all keys verify
	StateFile        string            // keeps the members across restarts; empty disables it
	ReplicaCounts    map[string]int    // by pool, minimum number of replicas that share a quota
	Zone             string
	Tier             int
	Pools            []string
	ProgramVersion   string
	SettingsHash     string
	Seed             uint64
	Period           time.Duration  // probe interval; 0 means the default
	BytesPerSecond   int            // gossip bandwidth; 0 means the default
	Sharing          *SharingConfig // state shared between replicas; nil disables sharing
}

// SharingConfig selects the state that replicas share.
type SharingConfig struct {
	Quotas, Counters, Evidence bool
	BytesPerSecond             int // 0 means the default
}
