package config

import (
	"encoding/json"
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"
	"time"

	"ryerill/balancer"
)

// maxItems bounds the stated length of a list of objects.
const maxItems = 1 << 16

// Settings are the settings of a deployment: the configuration of the balancer, and settings that only a host on
// sockets needs.
type Settings struct {
	Balancer        balancer.Config
	Zones           []string
	Kinds           []string
	IdleClose       time.Duration // endpoints close connections that are idle for this long
	AnyPath         bool          // the path need not begin with a class
	PushedDiscovery bool          // an agent on this machine pushes the list, so that watching it costs nothing
}

// SettingsFromPairs reads settings in the form of the simulator's protocol, one path=value pair per line. Unknown keys
// are skipped and missing ones leave the zero value; a value of the wrong type is an error.
func SettingsFromPairs(text string) (Settings, error) {
	v := newValues()
	for line := range strings.Lines(text) {
		if path, value, ok := strings.Cut(strings.TrimRight(line, "\r\n"), "="); ok {
			v.scalars[path] = value
			if value != "" {
				v.lists[path] = strings.Split(value, ",")
			}
		}
	}
	return v.settings()
}

// SettingsFromJSON reads the same settings from nested JSON.
func SettingsFromJSON(text []byte) (Settings, error) {
	v := newValues()
	v.strict = true
	d := json.NewDecoder(strings.NewReader(string(text)))
	d.UseNumber()
	var tree map[string]any
	if err := d.Decode(&tree); err != nil {
		return Settings{}, fmt.Errorf("setting: %w", err)
	}
	v.flatten("", tree)
	return v.settings()
}

// values holds settings by path, and the first error.
type values struct {
	scalars map[string]string
	lists   map[string][]string // of scalars
	err     error

	// strict rejects invalid values: numbers below 0, fractions above 1, unknown enumerated values. A simulation
	// accepts them and reads them as the value that makes the balancer most careful.
	strict bool
}

func newValues() *values {
	return &values{scalars: make(map[string]string), lists: make(map[string][]string)}
}

// flatten adds the values below a node of nested JSON, by path.
func (v *values) flatten(path string, node any) {
	switch node := node.(type) {
	case map[string]any:
		if path != "" {
			path += "."
		}
		for key, child := range node {
			v.flatten(path+key, child)
		}
	case []any:
		v.scalars[path+".count"] = strconv.Itoa(len(node))
		for i, child := range node {
			v.flatten(path+"."+strconv.Itoa(i), child)
			if text, ok := v.scalars[path+"."+strconv.Itoa(i)]; ok {
				v.lists[path] = append(v.lists[path], text)
			}
		}
	case nil:
	default:
		v.scalars[path] = fmt.Sprint(node)
	}
}

// settings maps the names of settings to fields; there is no other mapping. It returns the first fault in the order of
// the fields.
func (v *values) settings() (Settings, error) {
	s := Settings{
		Zones:           v.lists["Areas"],
		Kinds:           v.lists["Kinds"],
		IdleClose:       v.micros("Limits.IdleClose"),
		PushedDiscovery: v.scalars["Discovery"] == "automatic",
		Balancer: balancer.Config{
			Tier:            v.int("Tier"),
			Tiers:           len(v.lists["Tiers"]),
			Zone:            v.int("Zone"),
			ReplicaIndex:    v.int("Me"),
			ReplicaCount:    v.int("GroupSize"),
			Subscribe:       v.oneOf("Discovery", "subscribe", "automatic") == "subscribe",
			WeightByWork:    v.scalars["ValueBy"] == "work",
			OverQuotaWeight: v.fraction("OverShareWorth"),
			LoadReportNames: v.lists["LoadInfo.Names"],
			Limits:          v.limits(),
			Contract:        v.contract(),
			Goal: balancer.Goal{
				LogLossWeight: v.float("Goal.LogLossPart"),
				TopNines:      v.float("Goal.TopNines"),
			},
			Classes: v.classes(),
			Tenants: v.tenants(),
		},
	}
	return s, v.err
}

func (v *values) limits() balancer.Limits {
	return balancer.Limits{
		MaxAttempts:     v.int("Limits.TryLimit"),
		MaxOpenRequests: v.int("Limits.MostHeld"),
		MaxRetryAfter:   v.micros("Limits.MaxRetryAfter"),
		ConnectTimeout:  v.micros("Limits.ConnectTimeout"),
		SendRetryAfter:  v.bool("Limits.RetryAfter"),
		AllowHedging:    v.bool("Limits.SecondCopies"),
		AllowCancel:     v.bool("Limits.MayCancel"),
		AllowProbes:     v.bool("Limits.Probes"),
		AllowPeers:      v.bool("Limits.Peers"),
	}
}

func (v *values) contract() balancer.Contract {
	return balancer.Contract{
		AnswerSlack:       v.micros("Contract.AnswerSlack"),
		DrainGrace:        v.micros("Contract.StopSendingWithin"),
		MaxPollInterval:   v.micros("Contract.AskWithin"),
		InitialCapacity:   v.fraction("Contract.ColdFrom"),
		WarmUpPeriod:      v.micros("Contract.WarmUp"),
		OverloadMultiple:  v.float("Contract.FallMultiple"),
		OverloadPeriod:    v.micros("Contract.OverloadFor"),
		OnlyDrainingBinds: v.bool("Contract.DrainBindsAlone"),
		KeyQuarantine:     v.micros("Contract.KeyRest"),
	}
}

func (v *values) classes() (classes []balancer.Class) {
	for i := range v.count("Classes") {
		at := "Classes." + strconv.Itoa(i) + "."
		classes = append(classes, balancer.Class{
			Name:              v.scalars[at+"Name"],
			LatencyObjective:  v.micros(at + "Slo"),
			ObjectivePerWork:  v.float(at + "AimStretch"),
			Deadline:          v.micros(at + "Deadline"),
			PriorityWeight:    v.float(at + "Worth"),
			LateWeight:        v.fraction(at + "LateWorth"),
			Effect:            v.effect(at + "Effect"),
			Group:             v.group(at + "Group"),
			IdempotencyWindow: v.micros(at + "MemorySpan"),
			Streaming:         v.bool(at + "Streaming"),
			OrderedByKey:      v.bool(at + "KeepOrder"),
		})
	}
	return classes
}

func (v *values) tenants() (tenants []balancer.Tenant) {
	for i := range v.count("Customers") {
		at := "Customers." + strconv.Itoa(i) + "."
		tenants = append(tenants, balancer.Tenant{
			Name:  v.scalars[at+"Name"],
			Quota: v.float(at + "QuotaPerS"),
			Share: v.float(at + "Share"),
		})
	}
	return tenants
}

// bad records the first invalid value.
func (v *values) bad(path string) {
	if v.err == nil {
		v.err = fmt.Errorf("setting %s: unexpected value %q", path, v.scalars[path])
	}
}

// float reads a number; a missing one is 0.
func (v *values) float(path string) float64 {
	text, ok := v.scalars[path]
	if !ok || text == "" {
		return 0
	}
	n, err := strconv.ParseFloat(text, 64)
	if err != nil || math.IsNaN(n) || math.IsInf(n, 0) || v.strict && n < 0 {
		v.bad(path)
		return 0
	}
	return n
}

// fraction reads a number of at most 1.
func (v *values) fraction(path string) float64 {
	n := v.float(path)
	if v.strict && n > 1 {
		v.bad(path)
	}
	return n
}

// int reads a number within the range of an int32, without its fraction.
func (v *values) int(path string) int {
	n := v.float(path)
	if math.Abs(n) > math.MaxInt32 {
		v.bad(path)
		return 0
	}
	return int(n)
}

// count reads the length of a list of objects.
func (v *values) count(path string) int {
	n := v.int(path + ".count")
	if n < 0 || n > maxItems {
		v.bad(path + ".count")
		return 0
	}
	return n
}

// micros reads a duration in microseconds.
func (v *values) micros(path string) time.Duration {
	n := v.float(path)
	if math.Abs(n) > math.MaxInt64/float64(time.Microsecond)/2 {
		v.bad(path)
		return 0
	}
	return time.Duration(n * float64(time.Microsecond))
}

// bool reads true or false; a missing value is false.
func (v *values) bool(path string) bool {
	switch v.scalars[path] {
	case "true":
		return true
	case "", "false":
		return false
	}
	v.bad(path)
	return false
}

// lenientOneOf reads an enumerated value. It rejects an unknown value only if v is strict.
func (v *values) lenientOneOf(path string, words ...string) string {
	if !v.strict {
		return v.scalars[path]
	}
	return v.oneOf(path, words...)
}

// oneOf reads an enumerated value; a missing one is empty.
func (v *values) oneOf(path string, words ...string) string {
	if text := v.scalars[path]; text == "" || slices.Contains(words, text) {
		return text
	}
	v.bad(path)
	return ""
}

// effect reads an effect. A missing value, and an unknown one that is not rejected, count as unsafe, which can only
// make the balancer more careful.
func (v *values) effect(path string) balancer.Effect {
	switch v.lenientOneOf(path, "pure", "token", "side_effect") {
	case "pure":
		return balancer.Safe
	case "token":
		return balancer.Keyed
	}
	return balancer.Unsafe
}

// group reads a group. A missing or unknown value counts as the narrowest group, as in effect.
func (v *values) group(path string) balancer.Group {
	switch v.lenientOneOf(path, "all", "zone", "cell") {
	case "all":
		return balancer.GroupAll
	case "zone":
		return balancer.GroupZone
	}
	return balancer.GroupCell
}
