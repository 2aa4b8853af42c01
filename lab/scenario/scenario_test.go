package scenario

import (
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

const validScenario = `name: tiny
length: 5s
tiers:
  - {name: one, proxies: 1, providers: 2}
classes:
  - {name: read, share: 1, work: 10ms, aim: 100ms, deadline: 1s}
load: {rate: 10}
`

// A problem is reported with file, line, column, key and remedy.
func TestProblemsAreReportedWithTheirPosition(t *testing.T) {
	for _, tc := range []struct{ name, from, to, want string }{
		{"unknown key", "load: {rate: 10}", "load: {rate: 10}\nlaod: 1", `w.yaml:8:1: unknown field "laod"`},
		{"wrong type", "rate: 10", "rate: lots", "w.yaml:7:14: "},
		{"no unit", "length: 5s", "length: 5", "w.yaml:2:"},
		{"doubled tier", "providers: 2}", "providers: 2}\n  - {name: one, providers: 2}", `w.yaml:5:12: tiers[1].name: unexpected value "one", want a name that stands once`},
		{"no endpoint", "providers: 2", "providers: 0", `w.yaml:4:40: tiers[0].providers: unexpected value "0", want a number from 1 to`},
		{"deadline before the latency objective", "deadline: 1s", "deadline: 50ms", `w.yaml:6:62: classes[0].deadline: unexpected value "50ms", want a time from 100ms`},
		{"unknown effect", "deadline: 1s", "deadline: 1s, effect: maybe", `classes[0].effect: unexpected value "maybe", want one of safe, keyed, unsafe`},
		{"calls of the last tier", "providers: 2", "providers: 2, calls: 2", "tiers[0].calls"},
		{"unknown fault", "load: {rate: 10}", "load: {rate: 10}\ntroubles: [{kind: flood, at: 1s, for: 1s}]", `w.yaml:8:19: troubles[0].kind: unexpected value "flood", want one of slow,`},
		{"fault of an unknown tier", "load: {rate: 10}", "load: {rate: 10}\ntroubles: [{kind: slow, at: 1s, for: 1s, tier: two}]", `troubles[0].tier: unexpected value "two", want the name of a tier`},
		{"negative time until a crowd counts", "load:", "node: {crowd: {at: 2, after: -1s}}\nload:", `w.yaml:4:5: tiers[0].node.crowd.after: unexpected value "-1s", want a time from 0s`},
		{"negative rest of a crowd", "load:", "node: {crowd: {at: 2, rest: -1s}}\nload:", `tiers[0].node.crowd.rest: unexpected value "-1s"`},
		{"negative limit of a crowd", "load:", "node: {crowd: {at: 2, most: -1s}}\nload:", `tiers[0].node.crowd.most: unexpected value "-1s"`},
		{"negative rate", "rate: 10", "rate: -1", `w.yaml:7:14: load.rate: unexpected value "-1"`},
	} {
		t.Run(tc.name, func(t *testing.T) {
			text := strings.Replace(validScenario, tc.from, tc.to, 1)
			if text == validScenario {
				t.Fatal("the case changes nothing")
			}
			_, err := Parse("w.yaml", []byte(text))
			if err == nil || !strings.Contains(err.Error(), tc.want) {
				t.Errorf("got %v, want %q", err, tc.want)
			}
		})
	}
}

func TestAllProblemsAreReportedAtOnce(t *testing.T) {
	_, err := Parse("w.yaml", []byte(strings.NewReplacer("providers: 2", "providers: 0", "rate: 10", "rate: 0").Replace(validScenario)))
	if err == nil || !strings.Contains(err.Error(), "providers") || !strings.Contains(err.Error(), "load.rate") {
		t.Errorf("got %v", err)
	}
}

func TestMachineInheritsWhatItLeavesOut(t *testing.T) {
	s, err := Parse("w.yaml", []byte(validScenario+"node: {cores: 7, slots: 9, cold: {from: 0.7}}\n"))
	if err != nil {
		t.Fatal(err)
	}
	n := s.Tiers[0].Machine
	if diff := cmp.Diff([]float64{7, 9, 0.7, 6}, []float64{n.Cores, float64(n.Slots), n.Cold.From, n.Cold.For.Seconds()}); diff != "" {
		t.Error(diff)
	}
}

func TestScenarioFilesAreValid(t *testing.T) {
	files, _ := filepath.Glob("../scenarios/*.yaml")
	if len(files) == 0 {
		t.Fatal("none found")
	}
	for _, f := range files {
		if _, err := Read(f); err != nil {
			t.Error(err)
		}
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(validScenario))
	text, _ := os.ReadFile("../scenarios/roster.yaml")
	f.Add(text)
	f.Fuzz(func(t *testing.T, text []byte) {
		if s, err := Parse("w.yaml", text); err == nil && len(s.Check()) > 0 {
			t.Error("an invalid scenario was accepted")
		}
	})
}

func TestSchemaDescribesTimesAsText(t *testing.T) {
	text, err := json.Marshal(Schema(&Scenario{}))
	if err != nil {
		t.Fatal(err)
	}
	var tree struct {
		Properties map[string]struct{ Type, Pattern string } `json:"properties"`
	}
	if err := json.Unmarshal(text, &tree); err != nil {
		t.Fatal(err)
	}
	if p := tree.Properties["length"]; p.Type != "string" || p.Pattern == "" {
		t.Errorf("length is %+v", p)
	}
}
