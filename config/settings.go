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

// maxItems bounds the length that a list of objects may claim.
const maxItems = 1 << 16

// Settings is what a deployment states about itself: what the Balancer is told
// and what only a host on sockets needs.
type Settings struct {
	Balancer        balancer.Config
	Zones           []string
	Kinds           []string
	IdleClose       time.Duration // a provider's machine closes idle connections after this
	AnyPath         bool          // a class need not be the first part of the path
	PushedDiscovery bool          // an agent on this machine holds the list: watching it costs nobody anything
}

// SettingsFromPairs reads settings in the form of the simulator's wire, a
// path=value pair a line. Unknown keys are skipped and absent ones leave the
// zero value; a value of the wrong form is an error.
func SettingsFromPairs(text string) (Settings, error) {
	v := values{one: make(map[string]string), many: make(map[string][]string)}
	for line := range strings.Lines(text) {
		if path, value, ok := strings.Cut(strings.TrimRight(line, "\r\n"), "="); ok {
			v.one[path] = value
			if value != "" {
				v.many[path] = strings.Split(value, ",")
			}
		}
	}
	return v.settings()
}

// SettingsFromJSON reads the same settings as nested JSON.
func SettingsFromJSON(text []byte) (Settings, error) {
	v := values{one: make(map[string]string), many: make(map[string][]string), strict: true}
	d := json.NewDecoder(strings.NewReader(string(text)))
	d.UseNumber()
	var tree map[string]any
	if err := d.Decode(&tree); err != nil {
		return Settings{}, fmt.Errorf("setting: %w", err)
	}
	v.flatten("", tree)
	return v.settings()
}

// values holds settings by path and keeps the first error.
type values struct {
	one  map[string]string
	many map[string][]string // lists of plain values
	err  error

	// strict refuses what no setting can mean: figures below 0, parts above 1, unknown words. A simulation
	// goes on with them, read as what makes the Balancer most careful.
	strict bool
}

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
		v.one[path+".count"] = strconv.Itoa(len(node))
		for i, child := range node {
			v.flatten(path+"."+strconv.Itoa(i), child)
			if text, ok := v.one[path+"."+strconv.Itoa(i)]; ok {
				v.many[path] = append(v.many[path], text)
			}
		}
	case nil:
	default:
		v.one[path] = fmt.Sprint(node)
	}
}

// settings is the one mapping of names to fields.
func (v *values) settings() (Settings, error) {
	s := Settings{Zones: v.many["Areas"], Kinds: v.many["Kinds"], IdleClose: v.micros("Limits.IdleClose")}
	s.Balancer = balancer.Config{
		Tier:            v.int("Tier"),
		Tiers:           len(v.many["Tiers"]),
		Zone:            v.int("Zone"),
		ReplicaIndex:    v.int("Me"),
		ReplicaCount:    v.int("GroupSize"),
		Subscribe:       v.word("Discovery", "subscribe", "automatic") == "subscribe",
		WeightByWork:    v.is("ValueBy", "work"),
		OverQuotaWeight: v.part("OverShareWorth"),
		LoadReportNames: v.many["LoadInfo.Names"],
		Limits: balancer.Limits{
			MaxAttempts:     v.int("Limits.TryLimit"),
			MaxOpenRequests: v.int("Limits.MostHeld"),
			MaxRetryAfter:   v.micros("Limits.MaxRetryAfter"),
			ConnectTimeout:  v.micros("Limits.ConnectTimeout"),
			SendRetryAfter:  v.bool("Limits.RetryAfter"),
			AllowHedging:    v.bool("Limits.SecondCopies"),
			AllowCancel:     v.bool("Limits.MayCancel"),
			AllowProbes:     v.bool("Limits.Probes"),
			AllowPeers:      v.bool("Limits.Peers"),
		},
		Contract: balancer.Contract{
			AnswerSlack:      v.micros("Contract.AnswerSlack"),
			DrainGrace:       v.micros("Contract.StopSendingWithin"),
			MaxPollInterval:  v.micros("Contract.AskWithin"),
			InitialCapacity:  v.part("Contract.ColdFrom"),
			WarmUpPeriod:     v.micros("Contract.WarmUp"),
			OverloadMultiple: v.float("Contract.FallMultiple"),
			OverloadPeriod:   v.micros("Contract.OverloadFor"),

			OnlyDrainingBinds: v.bool("Contract.DrainBindsAlone"),
			KeyQuarantine:     v.micros("Contract.KeyRest"),
		},
		Goal: balancer.Goal{
			LogLossWeight: v.float("Goal.LogLossPart"),
			TopNines:      v.float("Goal.TopNines"),
		},
	}
	s.PushedDiscovery = v.one["Discovery"] == "automatic"
	for i := range v.count("Classes") {
		at := "Classes." + strconv.Itoa(i) + "."
		s.Balancer.Classes = append(s.Balancer.Classes, balancer.Class{
			Name:              v.one[at+"Name"],
			LatencyObjective:  v.micros(at + "Slo"),
			ObjectivePerWork:  v.float(at + "AimStretch"),
			Deadline:          v.micros(at + "Deadline"),
			PriorityWeight:    v.float(at + "Worth"),
			LateWeight:        v.part(at + "LateWorth"),
			Effect:            v.effect(at + "Effect"),
			Group:             v.group(at + "Group"),
			IdempotencyWindow: v.micros(at + "MemorySpan"),
			Streaming:         v.bool(at + "Streaming"),
			OrderedByKey:      v.bool(at + "KeepOrder"),
		})
	}
	for i := range v.count("Customers") {
		at := "Customers." + strconv.Itoa(i) + "."
		s.Balancer.Tenants = append(s.Balancer.Tenants, balancer.Tenant{
			Name:  v.one[at+"Name"],
			Quota: v.float(at + "QuotaPerS"),
			Share: v.float(at + "Share"),
		})
	}
	return s, v.err
}

func (v *values) bad(path string) {
	if v.err == nil {
		v.err = fmt.Errorf("setting %s: unexpected value %q", path, v.one[path])
	}
}

func (v *values) float(path string) float64 {
	text, ok := v.one[path]
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

// part is a share of something.
func (v *values) part(path string) float64 {
	n := v.float(path)
	if v.strict && n > 1 {
		v.bad(path)
	}
	return n
}

func (v *values) int(path string) int {
	n := v.float(path)
	if math.Abs(n) > math.MaxInt32 {
		v.bad(path)
		return 0
	}
	return int(n)
}

func (v *values) count(path string) int {
	n := v.int(path + ".count")
	if n < 0 || n > maxItems {
		v.bad(path + ".count")
		return 0
	}
	return n
}

func (v *values) micros(path string) time.Duration {
	n := v.float(path)
	if math.Abs(n) > math.MaxInt64/float64(time.Microsecond)/2 {
		v.bad(path)
		return 0
	}
	return time.Duration(n * float64(time.Microsecond))
}

func (v *values) bool(path string) bool {
	switch v.one[path] {
	case "true":
		return true
	case "", "false":
		return false
	}
	v.bad(path)
	return false
}

// known is a word that may be another where that is not refused.
func (v *values) known(path string, words ...string) string {
	if !v.strict {
		return v.one[path]
	}
	return v.word(path, words...)
}

// word is one of some words, or missing.
func (v *values) word(path string, words ...string) string {
	if text := v.one[path]; text == "" || slices.Contains(words, text) {
		return text
	}
	v.bad(path)
	return ""
}

func (v *values) is(path, want string) bool { return v.one[path] == want }

// effect and group read a missing word as the strictest kind, and an unknown one
// where it is not refused: it can only make the balancer more careful.
func (v *values) effect(path string) balancer.Effect {
	switch v.known(path, "pure", "token", "side_effect") {
	case "pure":
		return balancer.Safe
	case "token":
		return balancer.Keyed
	}
	return balancer.Unsafe
}

func (v *values) group(path string) balancer.Group {
	switch v.known(path, "all", "zone", "cell") {
	case "all":
		return balancer.GroupAll
	case "zone":
		return balancer.GroupZone
	}
	return balancer.GroupCell
}
