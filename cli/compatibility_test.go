package cli

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// commands are all sub-commands; each is asked for its help.
var commands = []string{"", "serve", "check", "version", "config", "config check", "config show", "config diff", "config convert", "config schema",
	"fleet", "fleet members", "fleet status", "fleet watch", "fleet budgets", "fleet counts", "fleet verdicts", "fleet forget", "fleet key",
	"rollout", "rollout plan", "rollout apply", "rollout status", "rollout history", "rollout pause", "rollout resume", "rollout abort", "rollout back", "rollout agent"}

func TestRecordedHelp(t *testing.T) {
	var now bytes.Buffer
	for _, c := range commands {
		status, out, errs := run(t, append(strings.Fields(c), "--help")...)
		fmt.Fprintf(&now, "=== %s: %d\n%s%s", c, status, out, errs)
	}
	golden(t, "help.txt", now.Bytes())
}

func TestRecordedCommandLineFaults(t *testing.T) {
	var now bytes.Buffer
	for _, args := range [][]string{{"nothing"}, {"serve", "more"}, {"check", "--what"}, {"config", "diff", "one"}, {"config", "show", "no-such-file"},
		{"fleet", "forget"}, {"fleet", "members"}, {"fleet", "members", "--door", "nowhere"}, {"fleet", "watch", "--every", "soon"}, {"fleet", "members", "--door", "127.0.0.1:1"},
		{"rollout", "apply", "no-such-plan"}, {"rollout", "status", "--door", "127.0.0.1:1"}, {"rollout", "agent"}, {"serve"}, {"check"}} {
		status, out, errs := run(t, args...)
		fmt.Fprintf(&now, "=== %s: %d\n%s%s", strings.Join(args, " "), status, out, errs)
	}
	golden(t, "faults.txt", now.Bytes())
}

// Sample configurations, sound and not: what show, check and convert print, with the exit status.
func TestRecordedConfigurations(t *testing.T) {
	files, err := filepath.Glob(filepath.Join("testdata", "configurations", "*"))
	if err != nil || len(files) < 10 {
		t.Fatalf("%d files, %v", len(files), err)
	}
	var now bytes.Buffer
	for _, file := range files {
		for _, command := range []string{"check", "show", "convert"} {
			status, out, errs := run(t, "config", command, file)
			fmt.Fprintf(&now, "=== %s %s: %d\n%s%s", command, filepath.Base(file), status, out, errs)
		}
	}
	golden(t, "configurations.txt", now.Bytes())
}

func TestRecordedSchema(t *testing.T) {
	_, out, _ := run(t, "config", "schema")
	golden(t, "schema.json", []byte(out))
}

// golden compares a text with its recording under testdata. With RYERILL_RECORD set it makes one that is missing.
func golden(t *testing.T, name string, now []byte) {
	t.Helper()
	file := filepath.Join("testdata", "compatibility", name)
	want, err := os.ReadFile(file)
	if errors.Is(err, os.ErrNotExist) && os.Getenv("RYERILL_RECORD") != "" {
		want = now
		if err = os.MkdirAll(filepath.Dir(file), 0o755); err == nil {
			err = os.WriteFile(file, want, 0o644)
		}
	}
	if err != nil {
		t.Fatal(err)
	}
	if bytes.Equal(now, want) {
		return
	}
	before, after := strings.Split(string(want), "\n"), strings.Split(string(now), "\n")
	for i := range max(len(before), len(after)) {
		was, is := "(nothing)", "(nothing)"
		if i < len(before) {
			was = before[i]
		}
		if i < len(after) {
			is = after[i]
		}
		if was != is {
			t.Errorf("%s:%d:\nis  %s\nwas %s", file, i+1, is, was)
			return
		}
	}
}
