package realtime

import (
	"encoding/json"
	"fmt"
	"strings"

	"github.com/goccy/go-yaml"

	"ryerill/balancer"
	"ryerill/config"
	"ryerill/lab/scenario"
)

// What a proxy is configured to have.
const (
	proxyCores    = 1
	proxyMemoryMB = 192
	proxySockets  = 4096 // descriptors
)

// anyPort is the address of a listener whose port the system chooses.
const anyPort = "127.0.0.1:0"

// maxOpenRequests is the limit of pools in the file form; variants differ in it.
const maxOpenRequests = 20_000

// configuration returns the proxy's configuration: the platform's form for a chain of tiers, a file with a pool for
// each tier where they are parallel. Variants of a file differ in a pool, a route and a listener that only some have,
// and in a limit.
func (i *instance) configuration(listen string, variant int) ([]byte, error) {
	if i.run.scenario.Parallel {
		return yaml.Marshal(i.fileConfiguration(listen, variant))
	}
	return json.Marshal(map[string]any{
		"name":      i.name,
		"listen":    listen,
		"discovery": i.discoveryAddresses[0],
		"seed":      fmt.Sprintf("%x", i.run.seed*1000+uint64(i.number)),
		"limits":    map[string]any{"cores": proxyCores, "memory_mb": proxyMemoryMB, "sockets": proxySockets},
		"known":     i.run.discovery[i.tier].snapshot(i.zone),
		"settings":  platformSettings(i.run.scenario, i.tier, i.index, i.zone),
	})
}

// platformSettings returns a scenario as the platform's settings state it to one proxy.
func platformSettings(sc *scenario.Scenario, tier, index, zone int) map[string]any {
	cfg := sc.Balancer(tier, index, zone)
	var tiers []string
	for i := range sc.Tiers {
		tiers = append(tiers, sc.Tiers[i].Name)
	}
	return map[string]any{
		"Areas":          sc.Network.Zones,
		"Zone":           zone,
		"Tiers":          tiers,
		"Tier":           tier,
		"Me":             index,
		"GroupSize":      cfg.ReplicaCount,
		"Discovery":      "subscribe",
		"Kinds":          []string{"machine"},
		"OverShareWorth": cfg.OverQuotaWeight,
		"Classes":        platformClasses(cfg.Classes),
		"Customers":      platformTenants(cfg.Tenants),
		"Limits": map[string]any{
			"TryLimit":       cfg.Limits.MaxAttempts,
			"MostHeld":       cfg.Limits.MaxOpenRequests,
			"MaxRetryAfter":  cfg.Limits.MaxRetryAfter.Microseconds(),
			"ConnectTimeout": cfg.Limits.ConnectTimeout.Microseconds(),
			"RetryAfter":     true,
			"SecondCopies":   true,
			"MayCancel":      true,
			"IdleClose":      sc.Tiers[tier].Machine.Connect.Idle.Microseconds(),
		},
		"Contract": map[string]any{
			"AnswerSlack":       cfg.Contract.AnswerSlack.Microseconds(),
			"StopSendingWithin": cfg.Contract.DrainGrace.Microseconds(),
			"AskWithin":         cfg.Contract.MaxPollInterval.Microseconds(),
			"ColdFrom":          cfg.Contract.InitialCapacity,
			"WarmUp":            cfg.Contract.WarmUpPeriod.Microseconds(),
			"FallMultiple":      cfg.Contract.OverloadMultiple,
			"OverloadFor":       cfg.Contract.OverloadPeriod.Microseconds(),
		},
	}
}

var (
	platformEffects = map[balancer.Effect]string{
		balancer.Safe: "pure", balancer.Keyed: "token", balancer.Unsafe: "side_effect",
	}
	platformGroups = map[balancer.Group]string{
		balancer.GroupAll: "all", balancer.GroupZone: "zone", balancer.GroupCell: "cell",
	}
)

func platformClasses(classes []balancer.Class) []map[string]any {
	var list []map[string]any
	for i := range classes {
		class := &classes[i]
		list = append(list, map[string]any{
			"Name":       class.Name,
			"Slo":        class.LatencyObjective.Microseconds(),
			"Deadline":   class.Deadline.Microseconds(),
			"Worth":      class.PriorityWeight,
			"LateWorth":  class.LateWeight,
			"Effect":     platformEffects[class.Effect],
			"Group":      platformGroups[class.Group],
			"MemorySpan": class.IdempotencyWindow.Microseconds(),
		})
	}
	return list
}

func platformTenants(tenants []balancer.Tenant) []map[string]any {
	var list []map[string]any
	for _, tenant := range tenants {
		list = append(list, map[string]any{"Name": tenant.Name, "Share": tenant.Share, "QuotaPerS": tenant.Quota})
	}
	return list
}

// fileConfiguration returns a variant of the configuration as a file states it.
func (i *instance) fileConfiguration(listen string, variant int) *config.File {
	sc := i.run.scenario
	file := &config.File{
		Name:      i.name,
		Machine:   config.MachineFile{Cores: proxyCores, MemoryMB: proxyMemoryMB, Sockets: proxySockets},
		Listeners: []config.ListenerFile{{Name: "main", Address: listen}},
	}
	for tier := range sc.Tiers {
		pool := i.poolConfiguration(tier, variant)
		for _, class := range pool.Classes {
			file.Routes = append(file.Routes, config.RouteFile{
				Name: class.Name, Path: "/" + class.Name + "/*", Pool: pool.Name,
			})
		}
		file.Pools = append(file.Pools, pool)
	}
	if variant%2 == 1 {
		extra := file.Pools[0]
		extra.Name = "extra"
		file.Pools = append(file.Pools, extra)
		file.Routes = append(file.Routes, config.RouteFile{Name: "extra", Path: "/extra/*", Pool: "extra"})
		file.Listeners = append(file.Listeners, config.ListenerFile{Name: "extra", Address: anyPort})
	}
	return file
}

// poolConfiguration returns the pool of a tier.
func (i *instance) poolConfiguration(tier, variant int) config.PoolFile {
	sc := i.run.scenario
	spec := &sc.Tiers[tier]
	pool := config.PoolFile{
		Name:         spec.Name,
		Zone:         sc.Network.Zones[i.zone],
		Zones:        sc.Network.Zones,
		ReplicaIndex: i.index,
		ReplicaCount: sc.Tiers[0].Proxies,
		Discovery:    i.discoveryAddresses[tier],
		Limits: config.LimitsFile{
			MaxAttempts:     sc.Rules.Attempts,
			MaxRetryAfter:   sc.Rules.MaxRetryAfter,
			ConnectTimeout:  spec.Machine.Connect.Timeout,
			IdleClose:       spec.Machine.Connect.Idle,
			MaxOpenRequests: maxOpenRequests - variant%3,
		},
		Rules: config.RulesFile{
			AnswerSlack:      sc.Rules.Slack,
			DrainGrace:       sc.Rules.Drain,
			InitialCapacity:  spec.Machine.Cold.From,
			WarmUpPeriod:     spec.Machine.Cold.For,
			OverloadMultiple: spec.Machine.Cold.Tips,
			OverloadPeriod:   spec.Machine.Cold.Within,
		},
	}
	for index := range sc.Classes {
		class := &sc.Classes[index]
		if class.Tier != spec.Name {
			continue
		}
		pool.Classes = append(pool.Classes, config.ClassFile{
			Name:              class.Name,
			LatencyObjective:  class.LatencyObjective,
			Deadline:          class.Deadline,
			PriorityWeight:    class.PriorityWeight,
			LateWeight:        class.LateWeight,
			Effect:            class.Effect,
			Group:             strings.Replace(class.Group, "group", "cell", 1),
			IdempotencyWindow: class.IdempotencyWindow,
		})
	}
	for _, e := range i.run.discovery[tier].snapshot(i.zone).Endpoints {
		pool.Endpoints = append(pool.Endpoints, config.EndpointFile{
			Name: e.Name, Address: e.Address, Zone: e.Zone, Group: e.Group,
		})
	}
	return pool
}

// parseConfiguration parses either form, without the environment.
func parseConfiguration(name string, text []byte) (config.Config, error) {
	noEnvironment := func(string) string { return "" }
	if config.IsPlatformForm(text) {
		return config.ParsePlatform(text, noEnvironment)
	}
	cfg, _, err := config.ParseFile(name, text, noEnvironment)
	return cfg, err
}

// environment returns the environment of a proxy process that reads its configuration from a file and nowhere else.
func environment(base []string, file string) []string {
	return append(base, config.EnvFile+"="+file, config.EnvName+"=", config.EnvListen+"=", config.EnvDiscovery+"=")
}
