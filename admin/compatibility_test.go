package admin

import (
	"bytes"
	"encoding/json"
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// Programs of operators read these keys.
func TestRecordedKeysOfStats(t *testing.T) {
	const want = `{"calls":{"read":{"success":1,"busy":2,"failure":3}},"backend_calls":4,"inflight":5,"hosts_listed":6,"hosts_down":7,"reconfig_ok":8,"reconfig_failed":9}`
	var s Stats
	if err := json.Unmarshal([]byte(want), &s); err != nil {
		t.Fatal(err)
	}
	if text, err := json.Marshal(s); err != nil || string(text) != want {
		t.Errorf("%v\n%s\nwas\n%s", err, text, want)
	}
}

// Each path with each method, a body and none: status, type and text.
func TestRecordedAnswers(t *testing.T) {
	server, _ := open(t)
	var now []byte
	for _, path := range []string{"readiness", "stats", "backends/down", "backends/up", "drain/start", "drain/stop", "fleet", "fleet/shared", "fleet/forget",
		"rollout", "rollout/pause", "rollout/resume", "rollout/abort", "rollout/back", "rollout/refused", "nothing"} {
		for _, method := range []string{"GET", "POST", "DELETE"} {
			for _, body := range []string{"", "n2", "nobody", "two words"} {
				head := method + " /ops/" + path + " HTTP/1.1\r\nHost: x\r\n"
				if body != "" {
					head += "Content-Length: " + string(rune('0'+len(body))) + "\r\n"
				}
				status, text, resp := ask(t, server, head+"\r\n"+body)
				line, _ := json.Marshal([]any{method, path, body, status, resp.Header.Get("Content-Type"), resp.Header.Get("Allow"), text})
				now = append(append(now, line...), '\n')
			}
		}
	}
	golden(t, "answers.jsonl", now)
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
