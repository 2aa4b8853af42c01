package cli

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"ryerill/config"
)

const good = `listeners: [{name: main, address: 127.0.0.1:7070}]
classes: [{name: view, deadline: 4s, effect: safe}]
routes: [{name: all, pool: one}]
pools: [{name: one, providers: [{name: p1, address: 127.0.0.1:9001}]}]
`

const platform = `{"name":"n3","listen":"127.0.0.1:7070","discovery":"127.0.0.1:8500",
 "settings":{"Areas":["a","b"],"Tiers":["front"],"Classes":[{"Name":"read","Slo":1500000,"Deadline":4000000,"Effect":"pure"}]}}`

func file(t *testing.T, text string) string {
	t.Helper()
	f := filepath.Join(t.TempDir(), "r.yaml")
	if err := os.WriteFile(f, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return f
}

func run(t *testing.T, args ...string) (status int, out, errs string) {
	t.Helper()
	var stdout, stderr strings.Builder
	status = Run(args, func(string) string { return "" }, &stdout, &stderr)
	return status, stdout.String(), stderr.String()
}

func TestConfigCommands(t *testing.T) {
	other := strings.Replace(good, "4s", "5s", 1)
	for _, tc := range []struct {
		name   string
		args   []string
		status int
		out    string
		err    string
	}{
		{"check", []string{"config", "check", file(t, good)}, 0, "pool one, tier 1 of 1, 1 classes, 1 providers known", ""},
		{"check of the platform's form", []string{"config", "check", file(t, platform)}, 0, "n3: pool main", ""},
		{"faults", []string{"config", "check", file(t, strings.Replace(good, "effect: safe", "effect: sage", 1)), file(t, "pols: []")}, 2, "", `did you mean "pools"`},
		{"show", []string{"config", "show", file(t, good)}, 0, "default     pools[0].limits.attempts: 3", ""},
		{"show from the file", []string{"config", "show", file(t, good)}, 0, "file        classes[0].deadline: 4s", ""},
		{"diff", []string{"config", "diff", file(t, good), file(t, other)}, 0, "~ classes[0].deadline: 4s -> 5s", ""},
		{"schema", []string{"config", "schema"}, 0, `"properties"`, ""},
		{"convert", []string{"config", "convert", file(t, platform)}, 0, "address: 127.0.0.1:7070", ""},
		{"convert a file", []string{"config", "convert", file(t, good)}, 2, "", "already"},
		{"no file", []string{"config", "check"}, 2, "", config.EnvFile},
	} {
		t.Run(tc.name, func(t *testing.T) {
			status, out, errs := run(t, tc.args...)
			if status != tc.status || !strings.Contains(out, tc.out) || !strings.Contains(errs, tc.err) {
				t.Errorf("got status %d\n%s\n%s", status, out, errs)
			}
		})
	}
}

// Conversion to another format preserves the meaning of a configuration.
func TestConvertPreservesMeaning(t *testing.T) {
	_, out, _ := run(t, "config", "convert", file(t, platform))
	a, err := config.ParsePlatform([]byte(platform), func(string) string { return "" })
	if err != nil {
		t.Fatal(err)
	}
	b, _, err := config.ParseFile("converted", []byte(out), func(string) string { return "" })
	if err != nil {
		t.Fatal(err, out)
	}
	x, y := a.Pools[0].Settings.Balancer.Classes[0], b.Pools[0].Settings.Balancer.Classes[0]
	if x.Name != y.Name || x.LatencyObjective != y.LatencyObjective || x.Deadline != y.Deadline || x.Effect != y.Effect || a.Pools[0].Discovery != b.Pools[0].Discovery {
		t.Errorf("got different configurations\n%+v\n%+v", x, y)
	}
}
