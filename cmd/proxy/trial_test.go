package main

import (
	"bytes"
	"encoding/json"
	"os"
	"strings"
	"testing"
	"time"

	"ryerill/config"
)

// A process that can't start with settings that a rollout brought goes back to the last good ones at the next start;
// one that can goes on with them.
func TestGoesBackWhereItCannotStart(t *testing.T) {
	program := build(t)
	lastGood := configuration("127.0.0.1:0", "127.0.0.1:9")
	for _, tc := range []struct {
		name, planned string
		starts        bool
	}{
		{"a listener that it can't have", configuration("192.0.2.1:80", "127.0.0.1:9"), false},
		{"settings that are sound", strings.Replace(lastGood, `"TryLimit":3`, `"TryLimit":2`, 1), true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			first := prepare(t, program, tc.planned, "serve")
			file := strings.TrimPrefix(first.Env[len(first.Env)-4], "ROUTER_CONFIG=")
			record, err := json.Marshal(map[string]any{"hash": config.SettingsHash([]byte(tc.planned)), "since": time.Now(), "process": 0})
			if err != nil {
				t.Fatal(err)
			}
			for suffix, text := range map[string][]byte{".trial": record, ".last-good": []byte(lastGood)} {
				if err := os.WriteFile(file+suffix, text, 0o600); err != nil {
					t.Fatal(err)
				}
			}
			if tc.starts {
				serving(t, first)
				for end := time.Now().Add(testTimeout); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
					if _, err := os.Stat(file + ".trial"); err != nil {
						break
					}
				}
			} else if out, err := first.CombinedOutput(); err == nil {
				t.Fatalf("it starts with what it can't start with:\n%s", out)
			}
			second := prepare(t, program, "", "serve")
			second.Env = first.Env
			serving(t, second)
			text, err := os.ReadFile(file)
			if err != nil || bytes.Equal(text, []byte(lastGood)) == tc.starts {
				t.Errorf("%v, the second starts with\n%s", err, text)
			}
			if _, err := os.Stat(file + ".trial"); tc.starts && err == nil {
				t.Error("still on trial")
			}
		})
	}
}
