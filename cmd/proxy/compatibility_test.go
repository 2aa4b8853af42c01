package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"
)

// shape writes the keys of a JSON text, in order, with the kinds of their values.
func shape(b *bytes.Buffer, at string, value any) {
	switch v := value.(type) {
	case map[string]any:
		for _, key := range slices.Sorted(maps.Keys(v)) {
			shape(b, at+"."+key, v[key])
		}
	case []any:
		fmt.Fprintf(b, "%s list\n", at)
		if len(v) > 0 {
			shape(b, at+"[]", v[0])
		}
	case nil:
		fmt.Fprintf(b, "%s null\n", at)
	default:
		fmt.Fprintf(b, "%s %T\n", at, v)
	}
}

// A running program with a fleet of one, on the files that a recorded program has left: each path of its
// management endpoint, with status and keys.
func TestRecordedManagementEndpoint(t *testing.T) {
	backend := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	defer backend.Close()
	dir, listen := t.TempDir(), freeAddress(t)
	keys := filepath.Join(dir, "keys")
	if err := os.WriteFile(keys, []byte("a-key-of-more-than-sixteen-characters\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	text := fmt.Sprintf(`name: n1
listeners: [{name: main, address: %q}]
classes: [{name: read, deadline: 4s, effect: safe}]
routes: [{name: all, pool: main}]
pools:
  - {name: main, tenants: [{name: acme, quota: 90}], providers: [{name: s1, address: %q}, {name: s2, address: %q}]}
fleet: {name: f, listen: %q, key_file: %q, remember: %q, share: {quotas: true, counts: true, verdicts: true}}
`, listen, backend.Listener.Addr(), backend.Listener.Addr(), freeAddress(t), keys, filepath.Join(dir, "members"))
	p := launch(t, build(t), text, dir)
	p.waitReady(t)
	var now bytes.Buffer
	record := func(method, path, body string) {
		status, text := p.call(t, method, path, body)
		fmt.Fprintf(&now, "=== %s %s %s: %d\n", method, path, body, status)
		var value any
		if json.Unmarshal([]byte(text), &value) == nil {
			shape(&now, "", value)
		} else {
			fmt.Fprintln(&now, strings.TrimSpace(text))
		}
	}
	for end := time.Now().Add(testTimeout); ; time.Sleep(50 * time.Millisecond) {
		if _, text := p.call(t, "GET", "fleet/shared", ""); strings.Contains(text, `"borrowed"`) {
			break
		}
		if time.Now().After(end) {
			t.Fatal("nothing is shared")
		}
	}
	for _, path := range []string{"readiness", "stats", "fleet", "fleet/shared", "rollout"} {
		record("GET", path, "")
	}
	for _, call := range [][2]string{{"backends/down", "s1"}, {"backends/down", "s9"}, {"backends/up", "s1"}, {"drain/start", ""}, {"drain/stop", ""}, {"fleet/forget", "n9"},
		{"rollout", "nothing"}, {"rollout/pause", ""}, {"rollout/resume", ""}, {"rollout/abort", ""}, {"rollout/back", ""}, {"rollout/refused", "plan why"}, {"stats", ""}} {
		record("POST", call[0], call[1])
	}
	file := filepath.Join("testdata", "compatibility", "management.txt")
	want, err := os.ReadFile(file)
	if errors.Is(err, os.ErrNotExist) && os.Getenv("RYERILL_RECORD") != "" {
		want = now.Bytes()
		if err = os.MkdirAll(filepath.Dir(file), 0o755); err == nil {
			err = os.WriteFile(file, want, 0o644)
		}
	}
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(now.Bytes(), want) {
		t.Errorf("now\n%s\nwas\n%s", now.Bytes(), want)
	}
}
