package config

import (
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"
)

const platformText = `{"name":"n3","listen":"127.0.0.1:7070","discovery":"127.0.0.1:8500","seed":"8c1f30d27a5be964",
 "limits":{"cores":1.0,"memory_mb":192,"sockets":1024},
 "known":{"index":41,"snapshot":true,"endpoints":[]},
 "settings":{"Areas":["a","b"],"Kinds":["k"],"Tiers":["front","back"],"Tier":1,"Zone":1,"Me":0,"GroupSize":2,
  "Discovery":"subscribe","Classes":[{"Name":"read","Slo":1500000,"Deadline":4000000,"Effect":"pure","Worth":3.5}],
  "Customers":[{"Name":"big one","QuotaPerS":75.5}],"Extra":{"PassesDeadline":false},
  "Limits":{"IdleClose":5000000,"MayCancel":true},"Contract":{"AnswerSlack":20000}}}`

func emptyEnvironment(string) string { return "" }

func TestParseReportsFaultyKey(t *testing.T) {
	for _, tc := range []struct{ name, old, new, want string }{
		{"whole", "", "", ""},
		{"unknown keys", `"Extra":`, `"Novelty":`, ""},
		{"no limits", `"limits":{"cores":1.0,"memory_mb":192,"sockets":1024},`, "", ""},
		{"not JSON", `{"name"`, `"name"`, "configuration"},
		{"no listener", `"listen":"127.0.0.1:7070",`, "", `listen: unexpected value ""`},
		{"host name instead of an address", `"127.0.0.1:8500"`, `"discovery:8500"`, `discovery: unexpected value "discovery:8500"`},
		{"seed", "8c1f", "xyz", `seed: unexpected value "xyz`},
		{"cores", `"cores":1.0`, `"cores":0`, `limits.cores: unexpected value "0"`},
		{"type of a limit", `"cores":1.0`, `"cores":"one"`, "limits.cores: unexpected value of type string"},
		{"memory", `"memory_mb":192`, `"memory_mb":1`, `limits.memory_mb: unexpected value "1"`},
		{"sockets", `"sockets":1024`, `"sockets":8`, `limits.sockets: unexpected value "8"`},
		{"known", `"index":41`, `"index":"x"`, "known: "},
		{"no settings", `"settings"`, `"sittings"`, "settings: missing"},
		{"no classes", `"Classes"`, `"Klasses"`, "setting Classes: "},
		{"class without a name", `"Name":"read"`, `"Name":""`, "setting Classes.0.Name: "},
		{"class without a deadline", `"Deadline":4000000`, `"Deadline":0`, "setting Classes.0.Deadline: "},
		{"number", `"Slo":1500000`, `"Slo":"soon"`, `setting Classes.0.Slo: unexpected value "soon"`},
		{"boolean", `"MayCancel":true`, `"MayCancel":"perhaps"`, `setting Limits.MayCancel: unexpected value "perhaps"`},
		{"tier", `"Tier":1`, `"Tier":2`, `setting Tier: unexpected value "2"`},
		{"zone", `"Zone":1`, `"Zone":9`, `setting Zone: unexpected value "9"`},
		{"replica index", `"Me":0`, `"Me":2`, `setting Me: unexpected value "2"`},
		{"discovery mode", `"subscribe"`, `"sometimes"`, `setting Discovery: unexpected value "sometimes"`},
		{"negative weight", `"Worth":3.5`, `"Worth":-1`, `setting Classes.0.Worth: unexpected value "-1"`},
		{"effect", `"Effect":"pure"`, `"Effect":"harmless"`, `setting Classes.0.Effect: unexpected value "harmless"`},
		{"fraction above 1", `"AnswerSlack":20000`, `"ColdFrom":1.5`, `setting Contract.ColdFrom: unexpected value "1.5"`},
		{"negative time", `"IdleClose":5000000`, `"IdleClose":-1`, "setting Limits.IdleClose: "},
	} {
		_, err := ParsePlatform([]byte(strings.Replace(platformText, tc.old, tc.new, 1)), emptyEnvironment)
		if tc.want == "" && err != nil || tc.want != "" && (err == nil || !strings.Contains(err.Error(), tc.want)) {
			t.Errorf("%s: got error %v, want %q", tc.name, err, tc.want)
		}
	}
}

func TestEnvironmentTakesPrecedenceOverFile(t *testing.T) {
	cfg, err := ParsePlatform([]byte(platformText), func(name string) string {
		return map[string]string{EnvName: "n9", EnvListen: "127.0.0.9:1"}[name]
	})
	if err != nil || cfg.Name != "n9" || cfg.Listeners[0].Address != "127.0.0.9:1" || cfg.Pools[0].Discovery != "127.0.0.1:8500" {
		t.Errorf("got %+v, error %v, want name and listener of the environment", cfg, err)
	}
	for _, file := range []string{"", "/nonexistent/config.json"} {
		if _, _, err := Load(func(string) string { return file }); err == nil || !strings.Contains(err.Error(), EnvFile) {
			t.Errorf("file %q: got error %v, want one that names the variable", file, err)
		}
	}
}

// At a reload the environment still has the values of the start: the discovery address of the file takes precedence,
// and that of the environment applies only if the file states none. The rest of the file is checked as at the start.
func TestReloadPrefersDiscoveryAddressOfFile(t *testing.T) {
	file := filepath.Join(t.TempDir(), "config.json")
	getenv := func(name string) string {
		return map[string]string{EnvFile: file, EnvDiscovery: "127.0.0.1:9", EnvListen: "127.0.0.9:1"}[name]
	}
	for _, tc := range []struct{ name, text, directory, err string }{
		{"another directory", platformText, "127.0.0.1:8500", ""},
		{"none named", strings.Replace(platformText, `"discovery":"127.0.0.1:8500",`, "", 1), "127.0.0.1:9", ""},
		{"truncated file", platformText[:len(platformText)/2], "", "configuration: "},
		{"empty", "", "", "configuration: "},
		{"faulty", strings.Replace(platformText, "127.0.0.1:8500", "nowhere", 1), "", "discovery: "},
	} {
		if err := os.WriteFile(file, []byte(tc.text), 0o600); err != nil {
			t.Fatal(err)
		}
		cfg, _, err := Reload(getenv)
		if tc.err == "" && (err != nil || cfg.Pools[0].Discovery != tc.directory || cfg.Listeners[0].Address != "127.0.0.9:1") ||
			tc.err != "" && (err == nil || !strings.Contains(err.Error(), tc.err)) {
			t.Errorf("%s: got %+v, error %v", tc.name, cfg, err)
		}
		if first, _, err := Load(getenv); err == nil && first.Pools[0].Discovery != "127.0.0.1:9" {
			t.Errorf("%s: at startup got discovery address %q, want 127.0.0.1:9", tc.name, first.Pools[0].Discovery)
		}
	}
}

// The simulator's pairs and the platform's JSON result in the same settings of the balancer.
func TestSettingsFromPairsAndJSONAreEqual(t *testing.T) {
	cfg, err := ParsePlatform([]byte(platformText), emptyEnvironment)
	if err != nil {
		t.Fatal(err)
	}
	pairs, err := SettingsFromPairs("Areas=a,b\nKinds=k\nTiers=front,back\nTier=1\nZone=1\nMe=0\nGroupSize=2\n" +
		"Discovery=subscribe\nClasses.count=1\nClasses.0.Name=read\nClasses.0.Slo=1500000\nClasses.0.Deadline=4000000\n" +
		"Classes.0.Effect=pure\nClasses.0.Worth=3.5\nCustomers.count=1\nCustomers.0.Name=big one\n" +
		"Customers.0.QuotaPerS=75.5\nExtra.PassesDeadline=false\nLimits.IdleClose=5000000\nLimits.MayCancel=true\n" +
		"Limits.ConnectTimeout=100000\nContract.AnswerSlack=20000\n")
	if err != nil || !reflect.DeepEqual(cfg.Pools[0].Settings, pairs) || pairs.IdleClose != 5*time.Second {
		t.Errorf("error %v\nsettings from JSON  %+v\nsettings from pairs %+v", err, cfg.Pools[0].Settings, pairs)
	}
}

// The management endpoint is off unless an address is set. The environment takes precedence over the file.
func TestAdminAddressFromFileOrEnvironment(t *testing.T) {
	for _, tc := range []struct{ file, env, want, fault string }{
		{``, "", "", ""},
		{`"mgmt":"127.0.0.1:9100",`, "", "127.0.0.1:9100", ""},
		{`"mgmt":"127.0.0.1:9100",`, "127.0.0.1:9101", "127.0.0.1:9101", ""},
		{`"mgmt":"localhost",`, "", "", `mgmt: unexpected value "localhost"`},
		{`"limits":{"sockets":80},`, "127.0.0.1:9100", "", `limits.sockets: unexpected value "80", want 104 or more`},
	} {
		text := `{` + tc.file + `"name":"n","listen":"127.0.0.1:1","discovery":"127.0.0.1:2",
			"settings":{"Classes":[{"Name":"read","Deadline":1000000,"Effect":"pure"}]}}`
		cfg, err := ParsePlatform([]byte(text), func(name string) string {
			if name == EnvAdmin {
				return tc.env
			}
			return ""
		})
		if tc.fault == "" && (err != nil || cfg.Admin != tc.want) || tc.fault != "" && (err == nil || !strings.Contains(err.Error(), tc.fault)) {
			t.Errorf("file %s, environment %q: got %q, error %v", tc.file, tc.env, cfg.Admin, err)
		}
	}
}

// A pushed list comes from an agent on this machine, which the host watches. Any other list has to be requested, also
// if the settings state neither.
func TestDiscoverySetting(t *testing.T) {
	for _, tc := range []struct {
		stated        string
		pushed, asked bool
	}{{`"subscribe"`, false, true}, {`"automatic"`, true, false}, {`""`, false, true}} {
		cfg, err := ParsePlatform([]byte(strings.Replace(platformText, `"subscribe"`, tc.stated, 1)), emptyEnvironment)
		if s := cfg.Pools[0].Settings; err != nil || s.PushedDiscovery != tc.pushed || s.Balancer.Subscribe != tc.asked {
			t.Errorf("Discovery %s: got pushed %v, subscribe %v, error %v", tc.stated, s.PushedDiscovery, s.Balancer.Subscribe, err)
		}
	}
}
