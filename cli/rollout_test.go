package cli

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"

	"ryerill/fleet"
)

// stubDoor is a management endpoint with a status of a rollout.
type stubDoor struct {
	address string
	status  fleet.RolloutStatus
	refuse  string // why it refuses what is posted; empty if it doesn't

	mu     sync.Mutex
	posted []string // path and body
}

func newStubDoor(t *testing.T, status fleet.RolloutStatus) *stubDoor {
	t.Helper()
	door := &stubDoor{status: status}
	server := httptest.NewServer(http.HandlerFunc(door.serve))
	t.Cleanup(server.Close)
	door.address = strings.TrimPrefix(server.URL, "http://")
	return door
}

func (d *stubDoor) serve(w http.ResponseWriter, request *http.Request) {
	if request.Method == http.MethodGet {
		_ = json.NewEncoder(w).Encode(d.status) // the client sees what is missing
		return
	}
	body, _ := io.ReadAll(request.Body) // the client sees what is missing
	d.mu.Lock()
	defer d.mu.Unlock()
	d.posted = append(d.posted, request.URL.Path+" "+string(body))
	if d.refuse != "" {
		http.Error(w, d.refuse, http.StatusConflict)
	}
}

func (d *stubDoor) received() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.posted
}

// fleetOf is the status of replicas in three zones.
func fleetOf(count int) fleet.RolloutStatus {
	status := fleet.RolloutStatus{Phase: "none"}
	for i := range count {
		status.Replicas = append(status.Replicas, fleet.ReplicaStatus{
			Name: fmt.Sprintf("c%02d", i), Zone: fmt.Sprint("z", i%3), Alive: true, Ready: true, Version: "old",
		})
	}
	return status
}

const validPlan = `id: later
kind: settings
settings:
  classes: [{name: view, deadline: 7s, effect: safe}]
away: 2
`

// The stages of a plan are printed for the fleet that there is, and nothing is sent to it.
func TestRolloutPlanPrintsItsStages(t *testing.T) {
	door := newStubDoor(t, fleetOf(40))
	status, out, errs := run(t, "rollout", "plan", file(t, validPlan), "--over", file(t, good), "--door", door.address)
	if status != exitOK {
		t.Fatalf("status %d: %s", status, errs)
	}
	wanted := []string{
		"later: settings to ", "at most 2 away at once, going back true", "stage 1: 1 of 40 copies", "stage 2: 3 of 40 copies",
		"stage 3: 3 of 40 copies", "stage 4: 10 of 40 copies", "stage 5: 20 of 40 copies", "stage 6: 40 of 40 copies",
		"watched for 30s", "5.0 points lower", "wrongly in 0.01 of plans",
	}
	for _, want := range wanted {
		if !strings.Contains(out, want) {
			t.Errorf("without %q:\n%s", want, out)
		}
	}
	if posted := door.received(); len(posted) > 0 {
		t.Errorf("it has sent %q", posted)
	}
	status, out, errs = run(t, "rollout", "plan", file(t, validPlan), "--over", file(t, good), "--door", "127.0.0.1:1")
	if status != exitOK || !strings.Contains(out, "stage 1: of the fleet that the door names (count 1") {
		t.Errorf("without a fleet: status %d, %s\n%s", status, errs, out)
	}
}

// A plan at fault ends the command with status 2, and the message names file, line, key and remedy.
func TestFaultsOfPlansAreNamed(t *testing.T) {
	for _, tc := range []struct{ name, from, to, want string }{
		{"unknown key", "away: 2", "distant: 2", `r.yaml:5:1: unknown field "distant"`},
		{"wrong type", "away: 2", "away: some", "r.yaml:5:7: "},
		{"no name", "id: later", `id: ""`, `r.yaml:1:5: id: unexpected value "", want a name`},
		{"another kind", "kind: settings", "kind: both", `r.yaml:2:7: kind: unexpected value "both", want settings or program`},
		{"no settings", "settings:\n  classes: [{name: view, deadline: 7s, effect: safe}]\n", "", "settings: missing"},
		{"settings at fault", "effect: safe", "effect: sage", `"sage"`},
		{"settings that are a copy's own", "  classes: [{name: view, deadline: 7s, effect: safe}]", "  listeners: []", "settings.listeners: is each copy's own"},
		{"a class that a route wants is missing", "  classes: [{name: view, deadline: 7s, effect: safe}]", "  routes: [{name: all, pool: gone}]", `"gone"`},
		{"none at once", "away: 2", "away: -1", `r.yaml:5:7: away: unexpected value "-1", want 1 or more`},
		{"a part above all", "away: 2", "stages: [{part: 2}]", `r.yaml:5:17: stages[0].part: unexpected value "2", want a part from 0 to 1`},
		{"an empty stage", "away: 2", "stages: [{soak: 3s}]", "stages[0]: unexpected value \"nothing\", want count, part or per_zone"},
		{"a guard that stops nothing", "away: 2", "guards: {goodput: 7}", `r.yaml:5:19: guards.goodput: unexpected value "7", want a number from`},
		{"a time without a unit", "away: 2", "wait: 5", "r.yaml:5:"},
		{"half a range", "away: 2", "speaks: [1]", "speaks: unexpected value [1], want the least and the most level"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			plan := strings.Replace(validPlan, tc.from, tc.to, 1)
			if plan == validPlan {
				t.Fatal("the case changes nothing")
			}
			status, out, errs := run(t, "rollout", "plan", file(t, plan), "--over", file(t, good), "--door", "127.0.0.1:1")
			if status != exitConfig || out != "" || !strings.Contains(errs, tc.want) {
				t.Errorf("status %d, want %q in it: %s%s", status, tc.want, errs, out)
			}
		})
	}
}

// A plan is handed over as it is written; why the fleet refuses it is printed, with status 2.
func TestRolloutApplyHandsThePlanOver(t *testing.T) {
	door := newStubDoor(t, fleetOf(3))
	status, _, errs := run(t, "rollout", "apply", file(t, validPlan), "--door", door.address)
	if posted := door.received(); status != exitOK || len(posted) != 1 || posted[0] != "/ops/rollout "+validPlan {
		t.Errorf("status %d, %s, sent %q", status, errs, posted)
	}
	door.refuse = "plan other stands and is soaking: wait for its end, or abort it"
	status, _, errs = run(t, "rollout", "apply", file(t, validPlan), "--door", door.address)
	if status != exitConfig || !strings.Contains(errs, door.refuse) {
		t.Errorf("while another stands: status %d, %s", status, errs)
	}
	for _, command := range []string{"pause", "resume", "abort", "back"} {
		status, _, errs = run(t, "rollout", command, "--door", door.address)
		posted := door.received()
		if status != exitFailed || !strings.Contains(errs, door.refuse) || posted[len(posted)-1] != "/ops/rollout/"+command+" " {
			t.Errorf("%s: status %d, %s, sent %q", command, status, errs, posted)
		}
	}
}

// The status shows the stages, the evidence or what is waited for, and what each copy holds.
func TestRolloutStatusIsPrinted(t *testing.T) {
	status := fleetOf(3)
	status.Plan, status.Kind, status.Target, status.Phase = "later", "settings", "new", "changing"
	status.Reason, status.Leader, status.FencingToken, status.Stage = "stage 2 follows", "c01", 7, 2
	status.Evidence = "waiting for c02"
	status.Stages = []fleet.StageStatus{{Replicas: 1, Observation: "30s"}, {Replicas: 3, Observation: "1m0s"}}
	status.Replicas[0].Version = "new"
	status.Replicas[1].RefusedReason = "disk full"
	status.Replicas[2].Alive = false
	status.FailedReplicas = []string{"c01"}
	status.History = []string{"taken by c00", "led by c01"}
	door := newStubDoor(t, status)
	code, out, errs := run(t, "rollout", "status", "--door", door.address)
	for _, want := range []string{
		"later: settings to new", "changing", "stage 2 follows", "c01, number 7", "waiting for c02", "holds it",
		"could not: disk full", "not there", "failed at", "through", "here",
	} {
		if code != exitOK || !strings.Contains(out, want) {
			t.Errorf("status %d, %s, without %q:\n%s", code, errs, want, out)
		}
	}
	if code, out, errs := run(t, "rollout", "history", "--door", door.address); code != exitOK || out != "taken by c00\nled by c01\n" {
		t.Errorf("status %d, %s\n%s", code, errs, out)
	}
}
