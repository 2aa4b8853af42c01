package config

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// Only the operators' YAML can enable the fleet. A fault in its block is reported with its key, and a setting that
// forbids the fleet with both keys.
func TestFleetBlock(t *testing.T) {
	keys := filepath.Join(t.TempDir(), "keys")
	if err := os.WriteFile(keys, []byte("# the first signs\nsixteen-characters-or-more\n\nanother-one-of-sixteen-characters\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	text := func(fleet, limits string) string {
		return "name: n1\n" + fleet + "listeners: [{address: '127.0.0.1:1'}]\nroutes: [{pool: main}]\npools:\n- name: main\n  copies: 3\n" + limits +
			"  providers: [{name: p, address: '127.0.0.1:2'}]\n  classes: [{name: read, deadline: 1s}]\n"
	}
	block := "fleet: {name: shop, listen: '127.0.0.1:7946', seeds: ['127.0.0.1:7947'], key_file: " + keys + "}\n"
	cfg, _, err := ParseFile("f", []byte(text(block, "")), emptyEnvironment)
	if err != nil || cfg.Fleet == nil || len(cfg.Fleet.Keys) != 2 || cfg.Fleet.ReplicaCounts["main"] != 3 || cfg.Fleet.Name != "n1" || cfg.Fleet.Fleet != "shop" {
		t.Fatalf("valid block: got error %v, fleet %+v", err, cfg.Fleet)
	}
	if cfg, _, err := ParseFile("f", []byte(text("", "  limits: {peers: false}\n")), emptyEnvironment); err != nil || cfg.Fleet != nil {
		t.Errorf("without a fleet block: got error %v, fleet %v, want none", err, cfg.Fleet)
	}
	for _, tc := range []struct{ name, text, want string }{
		{"forbidden", text(block, "  limits: {peers: false}\n"), "pools[0].limits.peers: unexpected value \"false\", want true or nothing beside fleet"},
		{"its line", text(block, "  limits: {peers: false}\n"), "f:8:"},
		{"no key file", text(strings.Replace(block, keys, "/nonexistent", 1), ""), "fleet.key_file"},
		{"no name of the copy", strings.Replace(text(block, ""), "name: n1\n", "", 1), "name: unexpected value \"\""},
		{"no name", text(strings.Replace(block, "shop", "''", 1), ""), "fleet.name"},
		{"address", text(strings.Replace(block, "127.0.0.1:7946", "nowhere", 1), ""), "fleet.listen"},
		{"seed", text(strings.Replace(block, "127.0.0.1:7947", "nowhere", 1), ""), "fleet.seeds[0]"},
		{"unknown key", text(strings.Replace(block, "seeds", "sedes", 1), ""), "sedes"},
		{"sharing nothing", text(strings.Replace(block, "{name", "{share: {bytes_per_s: 500}, name", 1), ""), "fleet.share"},
		{"sharing an unknown key", text(strings.Replace(block, "{name", "{share: {quota: true}, name", 1), ""), "quota"},
		{"period", text(strings.Replace(block, "{name", "{period: 1ms, name", 1), ""), "fleet.period"},
	} {
		if _, _, err := ParseFile("f", []byte(tc.text), emptyEnvironment); err == nil || !strings.Contains(err.Error(), tc.want) {
			t.Errorf("%s: got error %v, want %q", tc.name, err, tc.want)
		}
	}
	platform := strings.Replace(platformText, `"name":"n3"`, `"name":"n3","fleet":{}`, 1)
	if _, err := ParsePlatform([]byte(platform), emptyEnvironment); err == nil || !strings.Contains(err.Error(), "fleet") || !strings.Contains(err.Error(), "Limits.Peers") {
		t.Errorf("platform's form: got error %v, want one that names fleet and Limits.Peers", err)
	}
}
