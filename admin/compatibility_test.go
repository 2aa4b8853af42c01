package admin

import (
	"encoding/json"
	"testing"

	"ryerill/internal/golden"
)

// Tools of operators read these keys: they must not change.
func TestStatsKeysAreCompatible(t *testing.T) {
	const want = `{"calls":{"read":{"success":1,"busy":2,"failure":3}},"backend_calls":4,"inflight":5,"hosts_listed":6,"hosts_down":7,"reconfig_ok":8,"reconfig_failed":9}`
	var s Stats
	if err := json.Unmarshal([]byte(want), &s); err != nil {
		t.Fatal(err)
	}
	if text, err := json.Marshal(s); err != nil || string(text) != want {
		t.Errorf("error %v\ngot  %s\nwant %s", err, text, want)
	}
}

// The status, type and text of the response to each path, with each method, with and without a body, must not change.
func TestResponsesAreCompatible(t *testing.T) {
	server, _ := startServer(t)
	var now []byte
	for _, path := range []string{"readiness", "stats", "backends/down", "backends/up", "drain/start", "drain/stop", "fleet", "fleet/shared", "fleet/forget",
		"rollout", "rollout/pause", "rollout/resume", "rollout/abort", "rollout/back", "rollout/refused", "nothing"} {
		for _, method := range []string{"GET", "POST", "DELETE"} {
			for _, body := range []string{"", "n2", "nobody", "two words"} {
				head := method + " /ops/" + path + " HTTP/1.1\r\nHost: x\r\n"
				if body != "" {
					head += "Content-Length: " + string(rune('0'+len(body))) + "\r\n"
				}
				status, text, resp := send(t, server, head+"\r\n"+body)
				line, _ := json.Marshal([]any{method, path, body, status, resp.Header.Get("Content-Type"), resp.Header.Get("Allow"), text})
				now = append(append(now, line...), '\n')
			}
		}
	}
	golden.Compare(t, "answers.jsonl", now)
}
