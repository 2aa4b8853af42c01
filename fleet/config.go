package fleet

import "time"

// Config configures the host of a fleet.
type Config struct {
	Name             string            // of this replica, unique in the fleet
	Fleet            string            // name of the fleet
	Listen           string            // IP and port, for datagrams and connections
	Advertise        string            // address by which others reach it; empty is Listen
	Seeds            []string          // addresses where a replica may be found
	AddressOverrides map[string]string // addresses by which this replica reaches others, by name, where they differ
	Keys             [][]byte          // the first one signs, all are accepted
	StateFile        string            // file that keeps the members over a restart; empty is none
	ReplicaCounts    map[string]int    // by pool, the least number of replicas that quotas are divided among
	Zone             string
	Tier             int
	Pools            []string
	ProgramVersion   string
	SettingsHash     string
	Seed             uint64
	Period           time.Duration  // between probes; 0 is the default
	BytesPerSecond   int            // of gossip; 0 is the default
	Sharing          *SharingConfig // state that replicas share; nil is none
}

// SharingConfig selects the state that replicas share.
type SharingConfig struct {
	Quotas, Counters, Evidence bool
	BytesPerSecond             int // 0 is the default
}
