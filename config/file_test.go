package config

import (
	"encoding/json"
	"strings"
	"testing"
	"time"

	"ryerill/internal/yamlfile"
)

const fileText = `name: n1
listeners:
  - {name: main, address: 127.0.0.1:7070}
classes:
  - {name: view, deadline: 4s, effect: safe}
  - {name: swap, deadline: 6s, effect: keyed, group: cell, memory: 10s}
routes:
  - {name: one, host: app.svc, path: /one/*, pool: one}
  - {name: rest, pool: two}
pools:
  - {name: one, directory: 127.0.0.1:8500}
  - {name: two, zone: a, providers: [{name: p1, address: 127.0.0.1:9001, zone: a}]}
`

// Each fault is reported with file, line, column, key, value and remedy.
func TestFaultsAreReportedWithPosition(t *testing.T) {
	if _, warnings, err := ParseFile("r.yaml", []byte(fileText), emptyEnvironment); err != nil || len(warnings) > 0 {
		t.Fatal("valid file: got error, warnings:", err, warnings)
	}
	for _, tc := range []struct{ name, from, to, want string }{
		{"unknown key", "  - {name: main, address:", "  - {name: main, adress:", `r.yaml:3:18: unknown field "adress", want a key of this place (did you mean "address"?)`}, //nolint:misspell // the mistake is the test
		{"no unit", "deadline: 4s", "deadline: 4000", "r.yaml:5:"},
		{"wrong unit", "deadline: 4s", "deadline: 4sec", `r.yaml:5:28: unexpected value "4sec": want a time with a unit`},
		{"doubled pool", "name: two, zone", "name: one, zone", `r.yaml:12:12: pools[1].name: unexpected value "one", want a name that stands once`},
		{"no such pool", "pool: two", "pool: too", `r.yaml:9:24: routes[1].pool: unexpected value "too", want the name of a pool (did you mean "two"?)`},
		{"no such class", "pool: two}", "pool: two, classes: [vieuw]}", `routes[1].classes[0]: unexpected value "vieuw", want a class of pool two (did you mean "view"?)`},
		{"class of the route", "pool: two}", "pool: two, class: swop}", `(did you mean "swap"?)`},
		{"unknown effect", "effect: safe", "effect: save", `r.yaml:5:40: classes[0].effect: unexpected value "save", want one of safe, keyed, unsafe (did you mean "safe"?)`},
		{"keyed without memory", ", memory: 10s", "", `memory: unexpected value "0s", want a time from 1ms`},
		{"aim beyond the deadline", "deadline: 4s,", "deadline: 4s, aim: 5s,", `aim: unexpected value "5s"`},
		{"address", "127.0.0.1:9001", "localhost:9001", `r.yaml:12:58: pools[1].providers[0].address: unexpected value "localhost:9001", want an IP address and a port`},
		{"zone of a provider", "zone: a}]", "zone: b}], zones: [a]", `want one of the pool's zones: a`},
		{"no providers", "directory: 127.0.0.1:8500", "weight: 1", `pools[0].providers: unexpected value "0", want one provider or more, or a directory`},
		{"tie", "host: app.svc, path: /one/*, pool", "pool", `routes "one" and "rest" meet the same requests and neither is more specific, as for GET /x`},
		{"path", "path: /one/*", "path: one", `routes[0].path`},
		{"guarantees that don't fit", "directory: 127.0.0.1:8500", "directory: 127.0.0.1:8500, guarantee: {sockets: 900}", `pools[0].guarantee.sockets: unexpected value "900", want at most 504 here`},
		{"impossible figure", "directory: 127.0.0.1:8500", "directory: 127.0.0.1:8500, limits: {attempts: 99}", `pools[0].limits.attempts: unexpected value "99", want a number from 1 to 20`},
		{"machine", "name: n1", "name: n1\nmachine: {sockets: 12}", `machine.sockets: unexpected value "12"`},
		{"seed", "name: n1", "name: n1\nseed: xyz", `r.yaml:2:7: seed: unexpected value "xyz"`},
		{"one address twice", "  - {name: main, address: 127.0.0.1:7070}", "  - {name: main, address: 127.0.0.1:7070}\n  - {name: more, address: 127.0.0.1:7070}", "listeners[1].address"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			text := strings.Replace(fileText, tc.from, tc.to, 1)
			if text == fileText {
				t.Fatal("the replacement does not change the file")
			}
			_, _, err := ParseFile("r.yaml", []byte(text), emptyEnvironment)
			if err == nil || !strings.Contains(err.Error(), tc.want) {
				t.Errorf("got error\n%v\nwant %q", err, tc.want)
			}
		})
	}
}

func TestAllFaultsAreReportedTogether(t *testing.T) {
	_, _, err := ParseFile("r.yaml", []byte(strings.NewReplacer("effect: safe", "effect: x", "pool: two}", "pool: nil}", "127.0.0.1:9001", "y").Replace(fileText)), emptyEnvironment)
	if err == nil || strings.Count(err.Error(), "r.yaml:") < 3 {
		t.Errorf("got %v", err)
	}
}

func TestFileWithWarningsIsAccepted(t *testing.T) {
	_, warnings, err := ParseFile("r.yaml", []byte(strings.Replace(fileText, "pool: one}", "pool: two}", 1)), emptyEnvironment)
	if err != nil || len(warnings) != 1 || !strings.Contains(warnings[0], "a route that leads to it") {
		t.Errorf("got warnings %v, error %v, want one warning about a pool without a route", warnings, err)
	}
}

func TestJSONFileIsAccepted(t *testing.T) {
	var f File
	if _, err := yamlfile.Decode("r.yaml", []byte(fileText), &f); err != nil {
		t.Fatal(err)
	}
	if len(f.Pools) != 2 || f.Classes[0].Deadline != 4*time.Second {
		t.Fatalf("got %+v, want 2 pools and a deadline of 4s", f)
	}
	text := `{"listeners":[{"name":"m","address":"127.0.0.1:1"}],"routes":[{"name":"r","pool":"p"}],
 "classes":[{"name":"view","deadline":"4s","effect":"safe"}],"pools":[{"name":"p","providers":[{"name":"a","address":"127.0.0.1:2"}]}]}`
	if IsPlatformForm([]byte(text)) || !IsPlatformForm([]byte(platformText)) || IsPlatformForm([]byte(fileText)) {
		t.Error("IsPlatformForm does not distinguish the forms")
	}
	cfg, _, err := ParseFile("r.json", []byte(text), emptyEnvironment)
	if err != nil || cfg.Pools[0].Settings.Balancer.Classes[0].Deadline != 4*time.Second {
		t.Errorf("got %+v, error %v, want a deadline of 4s", cfg, err)
	}
}

func TestShowStatesSourceOfSettings(t *testing.T) {
	one := strings.Replace(fileText, "  - {name: two, zone: a, providers: [{name: p1, address: 127.0.0.1:9001, zone: a}]}\n", "", 1)
	one = strings.Replace(one, "pool: two", "pool: one", 1)
	lines, err := Show("r.yaml", []byte(one), func(name string) string {
		return map[string]string{EnvDiscovery: "127.0.0.1:99"}[name]
	})
	if err != nil {
		t.Fatal(err)
	}
	got := map[string]Line{}
	for _, l := range lines {
		got[l.Key] = l
	}
	for key, want := range map[string][2]string{
		"name":                     {"n1", FromFile},
		"classes[1].memory":        {"10s", FromFile},
		"pools[0].directory":       {"127.0.0.1:99", FromEnvironment},
		"pools[0].limits.attempts": {"3", FromDefault},
		"pools[0].classes[0].aim":  {"2s", FromDefault},
		"machine.sockets":          {"1024", FromDefault},
	} {
		if l := got[key]; l.Value != want[0] || l.From != want[1] {
			t.Errorf("%s: got value %q from %q, want %v", key, l.Value, l.From, want)
		}
	}
	if lines, err := Show("c.json", []byte(platformText), emptyEnvironment); err != nil || len(lines) < 20 {
		t.Errorf("platform's form: got %d lines, error %v, want at least 20 lines", len(lines), err)
	}
}

func TestDiffReportsDifferences(t *testing.T) {
	a, _ := Show("a", []byte(fileText), emptyEnvironment)
	b, _ := Show("b", []byte(strings.Replace(fileText, "deadline: 4s", "deadline: 5s", 1)+"    weight: 2\n"), emptyEnvironment)
	if b == nil {
		b, _ = Show("b", []byte(strings.Replace(fileText, "deadline: 4s", "deadline: 5s", 1)), emptyEnvironment)
	}
	diff := Diff(a, b)
	if len(diff) == 0 || !strings.Contains(strings.Join(diff, "\n"), "classes[0].deadline: 4s -> 5s") {
		t.Errorf("got differences %v, want the deadline among them", diff)
	}
	if len(Diff(a, a)) != 0 {
		t.Error("Diff of a file with itself is not empty")
	}
}

func TestSchemaIsJSON(t *testing.T) {
	text, err := Schema()
	var tree map[string]any
	if err != nil || json.Unmarshal(text, &tree) != nil || tree["properties"] == nil {
		t.Errorf("got error %v, schema\n%.200s\nwant JSON with properties", err, text)
	}
}

func FuzzParseFile(f *testing.F) {
	f.Add([]byte(fileText))
	f.Fuzz(func(t *testing.T, text []byte) {
		if cfg, _, err := ParseFile("f", text, emptyEnvironment); err == nil && (len(cfg.Pools) == 0 || len(cfg.Routes) == 0 || len(cfg.Listeners) == 0) {
			t.Error("a configuration without pools, routes or listeners was accepted")
		}
	})
}
