package config

import (
	"encoding/json"
	"fmt"
	"reflect"
	"strings"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/invopop/jsonschema"

	"ryerill/balancer"
	"ryerill/discovery"
	"ryerill/internal/yamlfile"
)

// Where a setting comes from.
const (
	FromDefault     = "default"
	FromFile        = "file"
	FromEnvironment = "environment"
)

// Line is one effective setting.
type Line struct {
	Key, Value, From string
}

// Show returns the effective settings of a configuration in either form, in the
// order of the format, and where each comes from.
func Show(name string, text []byte, getenv func(string) string) ([]Line, error) {
	if Platform(text) {
		cfg, err := Parse(text, getenv)
		if err != nil {
			return nil, err
		}
		f := fileOf(cfg)
		var lines []Line
		flatten("", reflect.ValueOf(*f), func(key, value string) { lines = append(lines, Line{key, value, FromFile}) })
		for i := range lines {
			for key, variable := range map[string]string{"name": EnvName, "mgmt": EnvAdmin, "listeners[0].address": EnvListen, "pools[0].directory": EnvDiscovery} {
				if lines[i].Key == key && getenv(variable) != "" {
					lines[i].From = FromEnvironment
				}
			}
		}
		return lines, nil
	}
	if _, _, err := ParseFile(name, text, getenv); err != nil {
		return nil, err
	}
	f := new(File)
	if _, err := yamlfile.Decode(name, text, f); err != nil {
		return nil, err
	}
	stated := map[string]bool{}
	flatten("", reflect.ValueOf(*f), func(key, _ string) { stated[key] = true })
	set := map[string]bool{}
	for _, key := range overrideFromEnv(f, getenv) {
		set[key] = true
	}
	f.Complete()
	var lines []Line
	flatten("", reflect.ValueOf(*f), func(key, value string) {
		from := FromDefault
		switch {
		case set[key]:
			from = FromEnvironment
		case stated[key]:
			from = FromFile
		}
		lines = append(lines, Line{key, value, from})
	})
	return lines, nil
}

// flatten calls each for every value that is stated, by its key.
func flatten(at string, v reflect.Value, each func(key, value string)) {
	switch v.Kind() {
	case reflect.Pointer:
		if !v.IsNil() {
			flatten(at, v.Elem(), each)
		}
	case reflect.Struct:
		for i := range v.NumField() {
			if !v.Type().Field(i).IsExported() {
				continue
			}
			key, _, _ := strings.Cut(v.Type().Field(i).Tag.Get("yaml"), ",")
			if at != "" {
				key = at + "." + key
			}
			if f := v.Field(i); !f.IsZero() {
				flatten(key, f, each)
			}
		}
	case reflect.Slice:
		for i := range v.Len() {
			flatten(fmt.Sprintf("%s[%d]", at, i), v.Index(i), each)
		}
	case reflect.Map:
		for _, key := range sortedKeys(v.Interface().(map[string]string)) {
			each(at+"."+key, v.MapIndex(reflect.ValueOf(key)).String())
		}
	default:
		each(at, fmt.Sprint(v.Interface()))
	}
}

// Diff names the settings that differ between two configurations, in the order
// of the format.
func Diff(a, b []Line) (out []string) {
	old, now := map[string]string{}, map[string]string{}
	for _, l := range a {
		old[l.Key] = l.Value
	}
	for _, l := range b {
		now[l.Key] = l.Value
	}
	for _, l := range a {
		if v, there := now[l.Key]; !there {
			out = append(out, fmt.Sprintf("- %s: %s", l.Key, l.Value))
		} else if v != l.Value {
			out = append(out, fmt.Sprintf("~ %s: %s -> %s", l.Key, l.Value, v))
		}
	}
	for _, l := range b {
		if _, there := old[l.Key]; !there {
			out = append(out, fmt.Sprintf("+ %s: %s", l.Key, l.Value))
		}
	}
	return out
}

// fileOf is a configuration in the form of a file: what the platform's form
// amounts to.
func fileOf(cfg Config) *File {
	f := &File{Name: cfg.Name, Admin: cfg.Admin, Machine: MachineFile{Cores: cfg.Limits.Cores, MemoryMB: float64(cfg.Limits.Memory) / (1 << 20), Sockets: cfg.Limits.Sockets, WorkPerS: cfg.Limits.Work}}
	if cfg.Seed != 0 {
		f.Seed = fmt.Sprintf("%x", cfg.Seed)
	}
	for _, l := range cfg.Listeners {
		f.Listeners = append(f.Listeners, ListenerFile(l))
	}
	for _, r := range cfg.Routes {
		f.Routes = append(f.Routes, RouteFile{Name: r.Name, Host: r.Host, Path: r.Path, Methods: r.Methods, Classes: r.Classes, Pool: r.Pool, Rewrite: r.Rewrite, Class: r.Class})
	}
	for _, p := range cfg.Pools {
		f.Pools = append(f.Pools, poolOf(p))
	}
	return f
}

func poolOf(p Pool) PoolFile {
	b := &p.Settings.Balancer
	out := PoolFile{Name: p.Name, Zones: p.Settings.Zones, Tier: b.Tier, Tiers: b.Tiers, ReplicaIndex: b.ReplicaIndex, ReplicaCount: b.ReplicaCount,
		OverQuota: b.OverQuotaWeight, Discovery: p.Discovery, Weight: p.Weight, Drain: p.Drain,
		Limits: LimitsFile{MaxAttempts: b.Limits.MaxAttempts, MaxOpenRequests: b.Limits.MaxOpenRequests, RetryAfter: &b.Limits.SendRetryAfter, MaxRetryAfter: b.Limits.MaxRetryAfter,
			SecondCopies: &b.Limits.AllowHedging, Cancel: &b.Limits.AllowCancel, ConnectTimeout: b.Limits.ConnectTimeout, IdleClose: p.Settings.IdleClose},
		Rules: RulesFile{AnswerSlack: b.Contract.AnswerSlack, DrainGrace: b.Contract.DrainGrace, AskWithin: b.Contract.MaxPollInterval,
			InitialCapacity: b.Contract.InitialCapacity, WarmUpPeriod: b.Contract.WarmUpPeriod, OverloadMultiple: b.Contract.OverloadMultiple, OverloadPeriod: b.Contract.OverloadPeriod}}
	if b.Zone < len(p.Settings.Zones) {
		out.Zone = p.Settings.Zones[b.Zone]
	}
	effect := map[balancer.Effect]string{balancer.Safe: "safe", balancer.Keyed: "keyed", balancer.Unsafe: "unsafe"}
	group := map[balancer.Group]string{balancer.GroupAll: "all", balancer.GroupZone: "zone", balancer.GroupCell: "cell"}
	for _, c := range b.Classes {
		out.Classes = append(out.Classes, ClassFile{Name: c.Name, LatencyObjective: c.LatencyObjective, Deadline: c.Deadline, PriorityWeight: c.PriorityWeight, LateWeight: c.LateWeight,
			Effect: effect[c.Effect], Group: group[c.Group], IdempotencyWindow: c.IdempotencyWindow})
	}
	for _, t := range b.Tenants {
		out.Tenants = append(out.Tenants, TenantFile{Name: t.Name, Quota: t.Quota, Share: t.Share})
	}
	for _, e := range p.KnownEndpoints.Endpoints {
		if e.Status == discovery.Ready {
			out.Endpoints = append(out.Endpoints, EndpointFile{Name: e.Name, Address: e.Address, Zone: e.Zone, Group: e.Group})
		}
	}
	return out
}

// Schema is the JSON Schema of a file.
func Schema() ([]byte, error) {
	r := jsonschema.Reflector{DoNotReference: true, FieldNameTag: "yaml", Mapper: func(t reflect.Type) *jsonschema.Schema {
		if t == reflect.TypeFor[time.Duration]() {
			return &jsonschema.Schema{Type: "string", Pattern: `^([0-9]+(\.[0-9]+)?(ns|us|µs|ms|s|m|h))+$`, Examples: []any{"250ms", "2s"}}
		}
		return nil
	}}
	text, err := json.MarshalIndent(r.Reflect(&File{}), "", "  ")
	if err != nil {
		return nil, fmt.Errorf("schema: %w", err)
	}
	return text, nil
}

// Convert writes a configuration in the platform's form as a file.
func Convert(text []byte, getenv func(string) string) ([]byte, error) {
	cfg, err := Parse(text, getenv)
	if err != nil {
		return nil, err
	}
	out, err := yaml.Marshal(fileOf(cfg))
	if err != nil {
		return nil, fmt.Errorf("configuration: %w", err)
	}
	return out, nil
}
