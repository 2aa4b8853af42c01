package config

import (
	"fmt"

	"github.com/goccy/go-yaml"

	"ryerill/balancer"
	"ryerill/discovery"
)

// Names of the enumerated values of the settings, by the balancer's constants for them.
var (
	effectNames = map[balancer.Effect]string{
		balancer.Safe: "safe", balancer.Keyed: "keyed", balancer.Unsafe: "unsafe",
	}
	groupNames = map[balancer.Group]string{
		balancer.GroupAll: "all", balancer.GroupZone: "zone", balancer.GroupCell: "cell",
	}
)

// Convert converts a configuration from the platform's form to a file of [File]'s form.
func Convert(text []byte, getenv func(string) string) ([]byte, error) {
	cfg, err := ParsePlatform(text, getenv)
	if err != nil {
		return nil, err
	}
	out, err := yaml.Marshal(fileOf(&cfg))
	if err != nil {
		return nil, fmt.Errorf("configuration: %w", err)
	}
	return out, nil
}

// fileOf converts a configuration of the platform's form to a file with the same meaning.
func fileOf(cfg *Config) *File {
	file := &File{
		Name:  cfg.Name,
		Admin: cfg.Admin,
		Machine: MachineFile{
			Cores:    cfg.Limits.Cores,
			MemoryMB: float64(cfg.Limits.Memory) / (1 << 20),
			Sockets:  cfg.Limits.Sockets,
			WorkPerS: cfg.Limits.Work,
		},
	}
	if cfg.Seed != 0 {
		file.Seed = fmt.Sprintf("%x", cfg.Seed)
	}
	for _, listener := range cfg.Listeners {
		file.Listeners = append(file.Listeners, ListenerFile(listener))
	}
	for _, r := range cfg.Routes {
		file.Routes = append(file.Routes, RouteFile{
			Name:    r.Name,
			Host:    r.Host,
			Path:    r.Path,
			Methods: r.Methods,
			Classes: r.Classes,
			Pool:    r.Pool,
			Rewrite: r.Rewrite,
			Class:   r.Class,
		})
	}
	for i := range cfg.Pools {
		file.Pools = append(file.Pools, poolFileOf(&cfg.Pools[i]))
	}
	return file
}

func poolFileOf(pool *Pool) PoolFile {
	b := &pool.Settings.Balancer
	file := PoolFile{
		Name:         pool.Name,
		Zones:        pool.Settings.Zones,
		Tier:         b.Tier,
		Tiers:        b.Tiers,
		ReplicaIndex: b.ReplicaIndex,
		ReplicaCount: b.ReplicaCount,
		OverQuota:    b.OverQuotaWeight,
		Discovery:    pool.Discovery,
		Weight:       pool.Weight,
		Drain:        pool.Drain,
		Limits: LimitsFile{
			MaxAttempts:     b.Limits.MaxAttempts,
			MaxOpenRequests: b.Limits.MaxOpenRequests,
			RetryAfter:      &b.Limits.SendRetryAfter,
			MaxRetryAfter:   b.Limits.MaxRetryAfter,
			SecondCopies:    &b.Limits.AllowHedging,
			Cancel:          &b.Limits.AllowCancel,
			ConnectTimeout:  b.Limits.ConnectTimeout,
			IdleClose:       pool.Settings.IdleClose,
		},
		Rules: RulesFile{
			AnswerSlack:      b.Contract.AnswerSlack,
			DrainGrace:       b.Contract.DrainGrace,
			AskWithin:        b.Contract.MaxPollInterval,
			InitialCapacity:  b.Contract.InitialCapacity,
			WarmUpPeriod:     b.Contract.WarmUpPeriod,
			OverloadMultiple: b.Contract.OverloadMultiple,
			OverloadPeriod:   b.Contract.OverloadPeriod,
		},
	}
	if b.Zone < len(pool.Settings.Zones) {
		file.Zone = pool.Settings.Zones[b.Zone]
	}
	file.Classes = classFilesOf(b.Classes)
	for _, tenant := range b.Tenants {
		file.Tenants = append(file.Tenants, TenantFile{Name: tenant.Name, Quota: tenant.Quota, Share: tenant.Share})
	}
	for _, endpoint := range pool.KnownEndpoints.Endpoints {
		if endpoint.Status == discovery.Ready {
			file.Endpoints = append(file.Endpoints, EndpointFile{
				Name:    endpoint.Name,
				Address: endpoint.Address,
				Zone:    endpoint.Zone,
				Group:   endpoint.Group,
			})
		}
	}
	return file
}

func classFilesOf(classes []balancer.Class) (files []ClassFile) {
	for _, class := range classes {
		files = append(files, ClassFile{
			Name:              class.Name,
			LatencyObjective:  class.LatencyObjective,
			Deadline:          class.Deadline,
			PriorityWeight:    class.PriorityWeight,
			LateWeight:        class.LateWeight,
			Effect:            effectNames[class.Effect],
			Group:             groupNames[class.Group],
			IdempotencyWindow: class.IdempotencyWindow,
		})
	}
	return files
}
