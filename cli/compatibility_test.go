package cli

import (
	"bytes"
	"fmt"
	"path/filepath"
	"strings"
	"testing"

	"ryerill/internal/golden"
)

// commands lists all sub-commands, for the test of their help texts.
var commands = []string{"", "serve", "check", "version", "config", "config check", "config show", "config diff", "config convert", "config schema",
	"fleet", "fleet members", "fleet status", "fleet watch", "fleet budgets", "fleet counts", "fleet verdicts", "fleet forget", "fleet key",
	"rollout", "rollout plan", "rollout apply", "rollout status", "rollout history", "rollout pause", "rollout resume", "rollout abort", "rollout back", "rollout agent"}

func TestRecordedHelp(t *testing.T) {
	var now bytes.Buffer
	for _, c := range commands {
		status, out, errs := run(t, append(strings.Fields(c), "--help")...)
		fmt.Fprintf(&now, "=== %s: %d\n%s%s", c, status, out, errs)
	}
	golden.Compare(t, "help.txt", now.Bytes())
}

func TestRecordedCommandLineFaults(t *testing.T) {
	var now bytes.Buffer
	for _, args := range [][]string{{"nothing"}, {"serve", "more"}, {"check", "--what"}, {"config", "diff", "one"}, {"config", "show", "no-such-file"},
		{"fleet", "forget"}, {"fleet", "members"}, {"fleet", "members", "--door", "nowhere"}, {"fleet", "watch", "--every", "soon"}, {"fleet", "members", "--door", "127.0.0.1:1"},
		{"rollout", "apply", "no-such-plan"}, {"rollout", "status", "--door", "127.0.0.1:1"}, {"rollout", "agent"}, {"serve"}, {"check"}} {
		status, out, errs := run(t, args...)
		fmt.Fprintf(&now, "=== %s: %d\n%s%s", strings.Join(args, " "), status, out, errs)
	}
	golden.Compare(t, "faults.txt", now.Bytes())
}

// The output and exit status of show, check and convert for valid and invalid sample configurations.
func TestRecordedConfigurations(t *testing.T) {
	files, err := filepath.Glob(filepath.Join("testdata", "configurations", "*"))
	if err != nil || len(files) < 10 {
		t.Fatalf("got %d files, error %v", len(files), err)
	}
	var now bytes.Buffer
	for _, file := range files {
		for _, command := range []string{"check", "show", "convert"} {
			status, out, errs := run(t, "config", command, file)
			fmt.Fprintf(&now, "=== %s %s: %d\n%s%s", command, filepath.Base(file), status, out, errs)
		}
	}
	golden.Compare(t, "configurations.txt", now.Bytes())
}

func TestRecordedSchema(t *testing.T) {
	_, out, _ := run(t, "config", "schema")
	golden.Compare(t, "schema.json", []byte(out))
}
