package discovery

import (
	"strings"
	"testing"
)

func TestParse(t *testing.T) {
	entry := func(fields string) string {
		return `{"index":1,"snapshot":true,"endpoints":[{` + fields + `}]}`
	}
	for _, tc := range []struct{ name, text, want string }{
		{"whole", entry(`"name":"s","address":"127.0.0.1:1","status":"Ready","since_ms":5`), ""},
		{"unknown fields", entry(`"name":"s","address":"127.0.0.1:1","status":"Terminating","rack":7`), ""},
		{"gone without an address", entry(`"name":"s","status":"Gone"`), ""},
		{"no changes", `{"index":1,"endpoints":[]}`, ""},
		{"cut off", `{"index":1,"endpoints":[`, "unexpected end"},
		{"not JSON", "<html>", "invalid character"},
		{"no endpoints", `{"index":1}`, "missing"},
		{"no index", `{"endpoints":[]}`, "missing"},
		{"negative index", `{"index":-1,"endpoints":[]}`, "index"},
		{"unknown status", entry(`"name":"s","address":"127.0.0.1:1","status":"Sleepy"`), "endpoints.0: status"},
		{"no name", entry(`"address":"127.0.0.1:1","status":"Ready"`), "endpoints.0: name"},
		{"no port", entry(`"name":"s","address":"127.0.0.1","status":"Ready"`), "endpoints.0: address"},
		{"impossible start", entry(`"name":"s","address":"127.0.0.1:1","status":"Ready","since_ms":-1`), "since_ms"},
	} {
		_, err := Parse([]byte(tc.text))
		if got := errText(err); tc.want == "" && err != nil || !strings.Contains(got, tc.want) {
			t.Errorf("%s: got error %q, want %q", tc.name, got, tc.want)
		}
	}
}

func errText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}
