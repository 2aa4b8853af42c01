package scenario

import (
	"errors"
	"fmt"
	"math"
	"os"
	"reflect"
	"slices"
	"strings"
	"time"

	"github.com/invopop/jsonschema"

	"ryerill/internal/yamlfile"
)

// The most that a world may hold: a run's memory grows with them.
const (
	MaxProviders = 20_000
	MaxProxies   = 2_000
	MaxRate      = 200_000
	maxLength    = time.Hour
)

// Read reads, completes and checks the world in a file. Its errors name file,
// line, column, key, value and what would be right.
func Read(file string) (*Scenario, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, fmt.Errorf("world: %w", err)
	}
	return Parse(file, text)
}

// Parse is Read for a text; file is only named in errors.
func Parse(file string, text []byte) (*Scenario, error) {
	var w Scenario
	tree, err := yamlfile.Decode(file, text, &w)
	if err != nil {
		return nil, err
	}
	w.Complete()
	if problems := w.Check(); len(problems) > 0 {
		var all []error
		for _, p := range problems {
			all = append(all, fmt.Errorf("%s%s: %w", file, tree.Position(p.Key), p))
		}
		return nil, errors.Join(all...)
	}
	return &w, nil
}

// inherit fills the zero fields of a node from another.
func inherit(to, from reflect.Value) {
	for i := range to.NumField() {
		if f := to.Field(i); f.Kind() == reflect.Struct {
			inherit(f, from.Field(i))
		} else if f.IsZero() {
			f.Set(from.Field(i))
		}
	}
}

// Problem is one thing that is wrong with a world.
type Problem struct {
	Key   string // as in tiers[0].providers
	Value any
	Want  string
}

func (p Problem) Error() string {
	return fmt.Sprintf("%s: unexpected value %q, want %s", p.Key, fmt.Sprint(p.Value), p.Want)
}

func orElse[T int | float64 | time.Duration | string](v *T, other T) {
	var zero T
	if *v == zero {
		*v = other
	}
}

// Complete fills in what a world leaves out.
func (w *Scenario) Complete() {
	if len(w.Network.Zones) == 0 {
		w.Network.Zones = []string{"zone"}
	}
	orElse(&w.Network.Same, 200*time.Microsecond)
	orElse(&w.Network.Cross, 7*time.Millisecond)
	orElse(&w.Network.Client, time.Millisecond)
	for i := range w.Tiers {
		t := &w.Tiers[i]
		n := &t.Node
		inherit(reflect.ValueOf(n).Elem(), reflect.ValueOf(&w.Node).Elem())
		orElse(&t.Work, 1)
		orElse(&t.Group, t.Endpoints)
		orElse(&n.Cores, 2)
		orElse(&n.Slots, 40)
		orElse(&n.QueueLimit, 40)
		orElse(&n.Speed, 1)
		orElse(&n.Cancel, "queued")
		orElse(&n.Cold.From, 0.4)
		orElse(&n.Cold.For, 6*time.Second)
		orElse(&n.Cold.Tips, 2.5)
		orElse(&n.Cold.Within, time.Second)
		orElse(&n.Crowd.After, 2*time.Second)
		orElse(&n.Crowd.Factor, 2.5)
		orElse(&n.Crowd.Below, 0.3)
		orElse(&n.Crowd.Rest, 4*time.Second)
		orElse(&n.Crowd.Most, 25*time.Second)
		orElse(&n.Connect.Work, 4*time.Millisecond)
		orElse(&n.Connect.Trips, 2)
		orElse(&n.Connect.Most, 1500)
		orElse(&n.Connect.Idle, 5*time.Second)
		orElse(&n.Connect.Timeout, 100*time.Millisecond)
	}
	for i := range w.Classes {
		c := &w.Classes[i]
		orElse(&c.Spread, 1)
		orElse(&c.PriorityWeight, 1)
		orElse(&c.Effect, "safe")
		orElse(&c.Group, "group")
		orElse(&c.IdempotencyWindow, 10*time.Second)
	}
	if len(w.Tenants) == 0 {
		w.Tenants = []Tenant{{Name: "everyone", Share: 1}}
	}
	orElse(&w.Load.Shape, "steady")
	orElse(&w.Load.Period, 20*time.Second)
	orElse(&w.Clients.Try, 0.5)
	orElse(&w.Clients.OverQuotaWeight, 0.2)
	orElse(&w.Discovery.Lag, 2*time.Second)
	orElse(&w.Discovery.Add, time.Second)
	orElse(&w.Discovery.Silent, 10*time.Second)
	orElse(&w.Discovery.Capacity, 50)
	orElse(&w.Discovery.Timeout, time.Second)
	orElse(&w.Rules.Slack, 20*time.Millisecond)
	orElse(&w.Rules.Drain, time.Second)
	orElse(&w.Rules.Attempts, 6)
	orElse(&w.Rules.MaxRetryAfter, 2*time.Second)
	for i := range w.Faults {
		t := &w.Faults[i]
		if len(w.Tiers) > 0 {
			orElse(&t.Tier, w.Tiers[0].Name)
		}
		orElse(&t.Fraction, 0.1)
		orElse(&t.Drain, 4*time.Second)
		orElse(&t.Pause, 500*time.Millisecond)
		switch t.Kind {
		case Slow:
			orElse(&t.Factor, 5)
		case Burst:
			orElse(&t.Factor, 2)
		case Spoil, Err:
			orElse(&t.Factor, 0.3)
		case Heavy:
			orElse(&t.Factor, 5)
		}
	}
}

// Check returns all that is wrong with a completed world.
func (w *Scenario) Check() (problems []Problem) {
	bad := func(key string, value any, want string) {
		problems = append(problems, Problem{key, value, want})
	}
	number := func(key string, v, least, most float64) {
		if !(v >= least && v <= most) {
			bad(key, v, fmt.Sprintf("a number from %g to %g", least, most))
		}
	}
	span := func(key string, v, least, most time.Duration) {
		if v < least || v > most {
			bad(key, v, fmt.Sprintf("a time from %v to %v, as in 250ms or 2s", least, most))
		}
	}
	name := func(key, v string, seen map[string]bool) {
		switch {
		case v == "" || strings.ContainsFunc(v, func(r rune) bool {
			return !(r >= 'a' && r <= 'z' || r >= '0' && r <= '9' || r == '-')
		}):
			bad(key, v, "small letters, digits and dashes")
		case seen[v]:
			bad(key, v, "a name that stands once")
		}
		seen[v] = true
	}
	oneOf := func(key, v string, words ...string) {
		if !slices.Contains(words, v) {
			bad(key, v, "one of "+strings.Join(words, ", "))
		}
	}
	name("name", w.Name, map[string]bool{})
	span("length", w.Length, time.Second, maxLength)
	span("warmup", w.Warmup, 0, w.Length)
	zones := map[string]bool{}
	for i, z := range w.Network.Zones {
		name(fmt.Sprintf("network.zones[%d]", i), z, zones)
	}
	span("network.same", w.Network.Same, 0, time.Second)
	span("network.cross", w.Network.Cross, 0, time.Second)
	span("network.consumer", w.Network.Client, 0, time.Second)
	number("network.jitter", w.Network.Jitter, 0, 2)
	if most := map[bool]int{false: 4, true: 64}[w.Parallel]; len(w.Tiers) == 0 || len(w.Tiers) > most {
		bad("tiers", len(w.Tiers), fmt.Sprintf("1 to %d tiers", most))
	}
	tiers := map[string]bool{"all": true}
	for i := range w.Tiers {
		t, at := &w.Tiers[i], fmt.Sprintf("tiers[%d].", i)
		name(at+"name", t.Name, tiers)
		number(at+"providers", float64(t.Endpoints), 1, MaxProviders)
		if i == 0 {
			number(at+"proxies", float64(t.Proxies), 1, MaxProxies)
		} else if t.Proxies != 0 {
			bad(at+"proxies", t.Proxies, "no value: each provider of the tier before holds one")
		}
		if w.NextTier(i) >= 0 {
			number(at+"calls", t.Calls, 0, 20)
			if t.Endpoints > MaxProxies {
				bad(at+"providers", t.Endpoints, fmt.Sprintf("at most %d, as each holds a proxy for the next tier", MaxProxies))
			}
		} else if t.Calls != 0 {
			bad(at+"calls", t.Calls, "no value: there is no next tier")
		}
		number(at+"work", t.Work, 1e-6, 100)
		number(at+"group", float64(t.Group), 1, MaxProviders)
		w.checkNode(at+"node.", &t.Node, number, span, oneOf)
	}
	if len(w.Classes) == 0 {
		bad("classes", 0, "one class or more")
	}
	classes, tenants := map[string]bool{}, map[string]bool{}
	for i := range w.Classes {
		c, at := &w.Classes[i], fmt.Sprintf("classes[%d].", i)
		name(at+"name", c.Name, classes)
		number(at+"share", c.Share, 0, 1e6)
		span(at+"work", c.Work, time.Microsecond, time.Minute)
		number(at+"spread", c.Spread, 0, 10)
		span(at+"aim", c.LatencyObjective, time.Millisecond, time.Hour)
		span(at+"deadline", c.Deadline, c.LatencyObjective, time.Hour)
		number(at+"worth", c.PriorityWeight, 0, math.MaxFloat32)
		number(at+"late", c.LateWeight, 0, 1)
		oneOf(at+"effect", c.Effect, "safe", "keyed", "unsafe")
		oneOf(at+"group", c.Group, "all", "zone", "group")
		if w.Parallel && w.TierIndex(c.Tier) < 0 {
			bad(at+"tier", c.Tier, "the name of a tier: they are parallel")
		} else if !w.Parallel && c.Tier != "" {
			bad(at+"tier", c.Tier, "no value: the tiers are a chain")
		}
	}
	for i := range w.Tenants {
		t, at := &w.Tenants[i], fmt.Sprintf("tenants[%d].", i)
		name(at+"name", t.Name, tenants)
		number(at+"share", t.Share, 0, 1e6)
		number(at+"quota", t.Quota, 0, 1e9)
		if t.Roams != 0 {
			span(at+"roams", t.Roams, time.Millisecond, maxLength)
		}
	}
	number("load.rate", w.Load.Rate, 0.01, MaxRate)
	oneOf("load.shape", w.Load.Shape, "steady", "wave", "bursty")
	number("load.swing", w.Load.Swing, 0, 1)
	if w.Load.Uneven != 0 {
		number("load.uneven", w.Load.Uneven, 1, 1e6)
	}
	for i, s := range w.Load.Steps {
		number(fmt.Sprintf("load.steps[%d].factor", i), s.Factor, 0, 100)
	}
	number("consumers.retries", float64(w.Clients.Retries), 0, 20)
	number("consumers.try", w.Clients.Try, 0.01, 1)
	number("consumers.honour", w.Clients.Honour, 0, 1)
	number("directory.capacity", w.Discovery.Capacity, 0.1, 1e9)
	number("rules.attempts", float64(w.Rules.Attempts), 1, 20)
	for i := range w.Faults {
		t, at := &w.Faults[i], fmt.Sprintf("troubles[%d].", i)
		oneOf(at+"kind", t.Kind, Kinds...)
		span(at+"at", t.At, 0, w.Length)
		if t.Kind != Release && t.Kind != Restart && t.Kind != Replace {
			span(at+"for", t.For, time.Millisecond, maxLength)
		}
		if !tiers[t.Tier] {
			bad(at+"tier", t.Tier, "the name of a tier")
		}
		number(at+"part", t.Fraction, 0, 1)
		number(at+"factor", t.Factor, 0, 100)
		if err := t.Link.Check(); err != nil {
			bad(at+"link", t.Link, err.Error())
		}
		if t.Kind == Burst && t.Factor < 1 {
			bad(at+"factor", t.Factor, "1 or more: steps of the load make it fall")
		}
		if t.Kind == Heavy && !tenants[t.Tenant] {
			bad(at+"tenant", t.Tenant, "the name of a tenant")
		}
		if t.Kind == Spoil || t.Kind == Err {
			number(at+"factor", t.Factor, 0, 1)
		}
		if t.Kind == Reload {
			number(at+"count", float64(t.Count), 1, 10_000)
		}
		if t.Kind == ZoneLoss && !zones[t.Zone] {
			bad(at+"zone", t.Zone, "the name of a zone")
		}
	}
	return problems
}

func (w *Scenario) checkNode(at string, n *Machine, number func(string, float64, float64, float64),
	span func(string, time.Duration, time.Duration, time.Duration), oneOf func(string, string, ...string)) {
	number(at+"cores", n.Cores, 0.01, 1024)
	number(at+"slots", float64(n.Slots), 1, 1e6)
	number(at+"room", float64(n.QueueLimit), 0, 1e6)
	number(at+"speed", n.Speed, 0.001, 1000)
	number(at+"spread", n.Spread, 0, 2)
	number(at+"errors", n.Errors, 0, 1)
	oneOf(at+"cancel", n.Cancel, "queued", "all")
	number(at+"cold.from", n.Cold.From, 0.01, 1)
	span(at+"cold.for", n.Cold.For, 0, time.Hour)
	number(at+"cold.tips", n.Cold.Tips, 1, 100)
	span(at+"cold.within", n.Cold.Within, time.Millisecond, time.Minute)
	number(at+"crowd.at", n.Crowd.At, 0, 1000)
	number(at+"crowd.factor", n.Crowd.Factor, 1, 100)
	number(at+"connect.trips", n.Connect.Trips, 0, 10)
	number(at+"connect.most", float64(n.Connect.Most), 1, 1e6)
	span(at+"connect.idle", n.Connect.Idle, time.Millisecond, time.Hour)
	span(at+"connect.timeout", n.Connect.Timeout, time.Millisecond, time.Minute)
}

// Schema returns the JSON Schema of a value's YAML form.
func Schema(v any) *jsonschema.Schema {
	r := jsonschema.Reflector{DoNotReference: true, Mapper: durations, FieldNameTag: "yaml", RequiredFromJSONSchemaTags: true}
	return r.Reflect(v)
}
