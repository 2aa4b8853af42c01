package syscallfault

import (
	"bytes"
	"os/exec"
	"strings"
	"testing"
	"time"
)

func TestPlansAreChecked(t *testing.T) {
	for text, want := range map[string]string{
		"rules: [{call: writev, error: ENOBUFS}]":                  "",
		"rules: [{call: writev, error: ENOBUFS, from: 2s}]":        "",
		"rules: [{call: writv, error: ENOBUFS}]":                   `plan.yaml:1:16: rules[0].call: "writv" is not traced`,
		"rules: [{call: writev, error: ENOBUF}]":                   `rules[0].error: "ENOBUF" is no error`,
		"rules: [{call: writev}]":                                  "state an error, bytes or a delay",
		"rules: [{call: writev, descriptor: server, error: EIO}]":  `"server" is no kind`,
		"rules: [{call: writev, error: EIO, share: 2}]":            "rules[0].share",
		"rules: [{call: writev, error: EIO, from: 2s, until: 1s}]": "must be after from",
		"rules: [{call: writev, error: EIO, evry: 2}]":             `unknown field "evry"`,
	} {
		_, err := ReadPlan("plan.yaml", []byte(text))
		if want == "" && err != nil || want != "" && (err == nil || !strings.Contains(err.Error(), want)) {
			t.Errorf("%s: %v, want %q", text, err, want)
		}
	}
}

// A plan plays the same calls for the same seed.
func TestRulesChooseCalls(t *testing.T) {
	plan := &Plan{Seed: 7, Rules: []Rule{
		{Call: "write", Descriptor: Client, Error: "EIO", Skip: 2, Every: 3, Most: 2},
		{Call: "write", Error: "ENOBUFS", Share: 0.5, From: time.Second, Until: 2 * time.Second},
	}}
	play := func() (chosen string) {
		injector := newInjector(plan)
		for i := range 30 {
			kind := []Kind{Client, Endpoint}[i%2]
			c := call{name: "write", target: target{kind: kind}, elapsed: time.Duration(i) * 100 * time.Millisecond}
			rule := injector.decide(c)
			if rule == nil {
				chosen += "-"
			} else {
				chosen += rule.Error[1:2]
			}
		}
		return chosen
	}
	first := play()
	if first != play() {
		t.Error("the same seed chooses other calls")
	}
	if strings.Count(first, "I") != 2 || !strings.HasPrefix(first, "--------I-") || !strings.Contains(first[10:20], "N") ||
		strings.Contains(first[:10]+first[20:], "N") {
		t.Errorf("chosen: %s", first)
	}
}

// A program that is traced runs as usual, and gets the error in place of the call's result.
func TestCallsOfAProgramFail(t *testing.T) {
	plan := &Plan{Rules: []Rule{{Call: "write", Descriptor: Log, Error: "ENOSPC", Most: 1}}}
	var output, record bytes.Buffer
	command := exec.Command("sh", "-c", "echo one; echo two; exit 3")
	command.Stdout = &output
	command.Stderr = &output
	status, err := Run(command, plan, "", &record)
	_ = command.Wait() // reaped already: it ends the copies of what was written
	if err != nil || status != 3 {
		t.Fatalf("status %d, %v", status, err)
	}
	injected, err := ReadInjections(&record)
	if err != nil || len(injected) != 1 || injected[0].Error != "ENOSPC" {
		t.Errorf("recorded: %v, %v", injected, err)
	}
	if text := output.String(); strings.Contains(text, "one\n") || !strings.Contains(text, "two\n") {
		t.Errorf("output: %q", text)
	}
}

// What was seen: a proxy that ended before it began, as a fault of files hit the library that the dynamic loader opens.
// Files of the system's directories are none of the program's.
func TestFilesOfTheSystemAreNoneOfThePrograms(t *testing.T) {
	for path, want := range map[string]Kind{
		"/lib/x86_64-linux-gnu/libc.so.6": Other,
		"/lib/ld-linux-aarch64.so.1":      Other,
		"/etc/ld.so.cache":                Other,
		"/usr/lib/libc.so.6":              Other,
		"/proc/self/maps":                 Other,
		"/tmp/proxy/config.yaml":          File,
		"/library/settings.yaml":          File,
		"config.yaml":                     File,
	} {
		if got := kindOfPath(path); got != want {
			t.Errorf("%s: %q, want %q", path, got, want)
		}
	}
}
