package cli

import (
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

const tinyExperiment = `name: tiny
seeds: 2
world:
  name: tiny
  length: 4s
  tiers: [{name: one, proxies: 1, providers: 3}]
  classes: [{name: read, share: 1, work: 10ms, aim: 100ms, deadline: 1s}]
  load: {rate: 20}
  troubles: [{kind: slow, at: 1s, for: 1s, part: 0.3, factor: 3}]
arms:
  - {name: ours}
  - {name: theirs, decider: random}
expect:
  - goodput(ours) >= 0.5
`

func run(t *testing.T, args ...string) (status int, out, errs string) {
	t.Helper()
	var stdout, stderr strings.Builder
	status = Run(args, &stdout, &stderr)
	return status, stdout.String(), stderr.String()
}

func write(t *testing.T, text string) string {
	t.Helper()
	f := filepath.Join(t.TempDir(), "e.yaml")
	if err := os.WriteFile(f, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return f
}

func TestRunSavesTablesChartsAndPage(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "out")
	status, out, errs := run(t, "run", write(t, tinyExperiment), "--out", dir)
	if status != 0 || !strings.Contains(out, "| ours | 2 |") {
		t.Fatalf("status %d\n%s\n%s", status, out, errs)
	}
	for _, f := range []string{"runs.json", "runs.csv", "table.md", "report.html", "goodput.svg", "goodput.png", "goodput-time.svg", "cdf-read.png"} {
		if s, err := os.Stat(filepath.Join(dir, f)); err != nil || s.Size() == 0 {
			t.Errorf("%s: %v", f, err)
		}
	}
	page, err := os.ReadFile(filepath.Join(dir, "report.html"))
	if err != nil || !strings.Contains(string(page), "<svg") || strings.Contains(string(page), "src=\"http") {
		t.Error("the page does not open without a network")
	}
	if status, out, _ := run(t, "compare", dir, dir); status != 0 || !strings.Contains(out, "| ours | goodput |") || strings.Contains(out, "differs") {
		t.Errorf("compare: %d\n%s", status, out)
	}
	os.Remove(filepath.Join(dir, "report.html"))
	if status, _, errs := run(t, "report", dir); status != 0 {
		t.Errorf("report: %s", errs)
	}
}

func TestExitStatus(t *testing.T) {
	full := filepath.Join(t.TempDir(), "file")
	if err := os.WriteFile(full, nil, 0o600); err != nil {
		t.Fatal(err)
	}
	for _, tc := range []struct {
		name   string
		args   []string
		status int
		says   string
	}{
		{"falls short", []string{"run", write(t, strings.Replace(tinyExperiment, ">= 0.5", ">= 1.5", 1)), "--out", t.TempDir()}, 1, "falls short"},
		{"no such file", []string{"run", "/no/such.yaml"}, 2, "/no/such.yaml"},
		{"file at fault", []string{"run", write(t, strings.Replace(tinyExperiment, "seeds: 2", "seeds: many", 1))}, 2, "e.yaml:2:8"},
		{"results can't be written", []string{"run", write(t, tinyExperiment), "--out", filepath.Join(full, "below")}, 1, "results:"},
		{"world at fault", []string{"world", "check", write(t, "name: x\n")}, 2, "tiers"},
		{"unknown command", []string{"dance"}, 2, "dance"},
		{"unknown schema", []string{"schema", "moon"}, 2, "world or experiment"},
		{"no results", []string{"report", t.TempDir()}, 2, "runs.json"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			if status, _, errs := run(t, tc.args...); status != tc.status || !strings.Contains(errs, tc.says) {
				t.Errorf("status %d, want %d; says %q, want %q", status, tc.status, errs, tc.says)
			}
		})
	}
}

func TestSchemasAreJSON(t *testing.T) {
	for _, kind := range []string{"world", "experiment"} {
		status, out, _ := run(t, "schema", kind)
		var tree map[string]any
		if err := json.Unmarshal([]byte(out), &tree); status != 0 || err != nil || tree["properties"] == nil {
			t.Errorf("%s: status %d, %v", kind, status, err)
		}
	}
}
