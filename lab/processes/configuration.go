package processes

import (
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/goccy/go-yaml"

	"ryerill/config"
)

const (
	poolName        = "main"
	requestTimeout  = 4 * time.Second // the deadline of every class
	connectTimeout  = time.Second
	idempotencyKept = 10 * time.Second
	zones           = 3
	maxSeeds        = 2
)

// The classes of requests.
const (
	readClass   = "read" // safe to repeat
	keyedClass  = "pay"  // with an idempotency key
	unsafeClass = "burn" // never to be executed twice
)

// WriteConfig writes a replica's configuration file. Change changes it before; nil changes
// nothing.
func (f *Fleet) WriteConfig(index int, change func(index int, file *config.File)) error {
	replica := f.Replicas[index]
	file := config.File{
		Name:      replica.Name,
		Admin:     replica.AdminAddresses[0],
		Machine:   config.MachineFile{Sockets: 1024, MemoryMB: 64},
		Listeners: []config.ListenerFile{{Name: "main", Address: replica.Address}},
		Routes:    []config.RouteFile{{Name: "all", Pool: poolName}},
		Pools:     []config.PoolFile{f.poolConfig(index)},
	}
	if !f.Opt.Off {
		fleetConfig, err := f.fleetConfig(index)
		if err != nil {
			return err
		}
		file.Fleet = fleetConfig
	}
	if change != nil {
		change(index, &file)
	}
	text, err := yaml.Marshal(&file)
	if err != nil {
		return err
	}
	return os.WriteFile(replica.ConfigFile, text, 0o600)
}

func (f *Fleet) poolConfig(index int) config.PoolFile {
	pool := config.PoolFile{
		Name:         poolName,
		Zone:         "a",
		ReplicaIndex: index % f.Opt.ConfiguredReplicas,
		ReplicaCount: f.Opt.ConfiguredReplicas,
		Limits:       config.LimitsFile{ConnectTimeout: connectTimeout},
		Classes: []config.ClassFile{
			{Name: readClass, Effect: "safe", Deadline: requestTimeout},
			{
				Name:              keyedClass,
				Effect:            "keyed",
				Group:             "all",
				IdempotencyWindow: idempotencyKept,
				Deadline:          requestTimeout,
			},
			{Name: unsafeClass, Effect: "unsafe", Deadline: requestTimeout},
		},
	}
	for i, address := range f.endpointAddresses {
		endpoint := config.EndpointFile{Name: fmt.Sprintf("p%02d", i), Address: address, Zone: "a"}
		pool.Endpoints = append(pool.Endpoints, endpoint)
	}
	return pool
}

// fleetConfig has a replica reach its peers through the relays.
func (f *Fleet) fleetConfig(index int) (*config.FleetFile, error) {
	replica := f.Replicas[index]
	if err := os.MkdirAll(f.stateDir(index), 0o700); err != nil {
		return nil, err
	}
	fleetConfig := &config.FleetFile{
		Name:             "lab",
		Listen:           replica.fleetAddress.String(),
		KeyFile:          f.keyFile,
		AddressOverrides: map[string]string{},
		Zone:             fmt.Sprint("z", index%zones),
		StateFile:        filepath.Join(f.stateDir(index), "members"),
	}
	for i, peer := range f.Replicas {
		if peer == replica {
			continue
		}
		address, err := f.Relays.Address(replica.Name, peer.Name)
		if err != nil {
			return nil, err
		}
		fleetConfig.AddressOverrides[peer.Name] = address
		if i < maxSeeds {
			fleetConfig.Seeds = append(fleetConfig.Seeds, address)
		}
	}
	return fleetConfig, nil
}
