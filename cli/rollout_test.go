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

// stubEndpoint is a stub of a management endpoint that returns a rollout status.
type stubEndpoint struct {
	address string
	status  fleet.RolloutStatus
	refuse  string // reason to refuse posted requests; empty to accept them

	mu     sync.Mutex
	posted []string // path and body
}

func newStubEndpoint(t *testing.T, status fleet.RolloutStatus) *stubEndpoint {
	t.Helper()
	endpoint := &stubEndpoint{status: status}
	server := httptest.NewServer(http.HandlerFunc(endpoint.serve))
	t.Cleanup(server.Close)
	endpoint.address = strings.TrimPrefix(server.URL, "http://")
	return endpoint
}

func (e *stubEndpoint) serve(w http.ResponseWriter, request *http.Request) {
	if request.Method == http.MethodGet {
		_ = json.NewEncoder(w).Encode(e.status) // the client detects a truncated body
		return
	}
	body, _ := io.ReadAll(request.Body) // the client detects a truncated body
	e.mu.Lock()
	defer e.mu.Unlock()
	e.posted = append(e.posted, request.URL.Path+" "+string(body))
	if e.refuse != "" {
		http.Error(w, e.refuse, http.StatusConflict)
	}
}

func (e *stubEndpoint) received() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.posted
}

// fleetOf returns the status of replicas in three zones.
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

// The command plan prints the stages for the current fleet, and posts nothing to it.
func TestRolloutPlanPrintsStages(t *testing.T) {
	endpoint := newStubEndpoint(t, fleetOf(40))
	status, out, errs := run(t, "rollout", "plan", file(t, validPlan), "--over", file(t, good), "--door", endpoint.address)
	if status != exitOK {
		t.Fatalf("got status %d: %s", status, errs)
	}
	wanted := []string{
		"later: settings to ", "at most 2 away at once, going back true", "stage 1: 1 of 40 copies", "stage 2: 3 of 40 copies",
		"stage 3: 3 of 40 copies", "stage 4: 10 of 40 copies", "stage 5: 20 of 40 copies", "stage 6: 40 of 40 copies",
		"watched for 30s", "5.0 points lower", "wrongly in 0.01 of plans",
	}
	for _, want := range wanted {
		if !strings.Contains(out, want) {
			t.Errorf("want %q in output:\n%s", want, out)
		}
	}
	if posted := endpoint.received(); len(posted) > 0 {
		t.Errorf("got posted %q, want nothing", posted)
	}
	status, out, errs = run(t, "rollout", "plan", file(t, validPlan), "--over", file(t, good), "--door", "127.0.0.1:1")
	if status != exitOK || !strings.Contains(out, "stage 1: of the fleet that the door names (count 1") {
		t.Errorf("without a fleet: got status %d, %s\n%s", status, errs, out)
	}
}

// An invalid plan ends the command with status 2 and a message with file, line, key and remedy.
func TestInvalidPlansAreReported(t *testing.T) {
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
				t.Fatal("the replacement of this case does not change the plan")
			}
			status, out, errs := run(t, "rollout", "plan", file(t, plan), "--over", file(t, good), "--door", "127.0.0.1:1")
			if status != exitConfig || out != "" || !strings.Contains(errs, tc.want) {
				t.Errorf("got status %d, want output with %q: %s%s", status, tc.want, errs, out)
			}
		})
	}
}

// The command apply posts the plan as written. If the fleet refuses it, the reason is printed and the status is 2.
func TestRolloutApplyPostsPlan(t *testing.T) {
	endpoint := newStubEndpoint(t, fleetOf(3))
	status, _, errs := run(t, "rollout", "apply", file(t, validPlan), "--door", endpoint.address)
	if posted := endpoint.received(); status != exitOK || len(posted) != 1 || posted[0] != "/ops/rollout "+validPlan {
		t.Errorf("got status %d, %s, posted %q", status, errs, posted)
	}
	endpoint.refuse = "plan other stands and is soaking: wait for its end, or abort it"
	status, _, errs = run(t, "rollout", "apply", file(t, validPlan), "--door", endpoint.address)
	if status != exitConfig || !strings.Contains(errs, endpoint.refuse) {
		t.Errorf("while another plan is active: got status %d, %s", status, errs)
	}
	for _, command := range []string{"pause", "resume", "abort", "back"} {
		status, _, errs = run(t, "rollout", command, "--door", endpoint.address)
		posted := endpoint.received()
		if status != exitFailed || !strings.Contains(errs, endpoint.refuse) || posted[len(posted)-1] != "/ops/rollout/"+command+" " {
			t.Errorf("%s: got status %d, %s, posted %q", command, status, errs, posted)
		}
	}
}

// The status shows the stages, the evidence or the awaited replicas, and the version of each replica.
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
	endpoint := newStubEndpoint(t, status)
	code, out, errs := run(t, "rollout", "status", "--door", endpoint.address)
	for _, want := range []string{
		"later: settings to new", "changing", "stage 2 follows", "c01, number 7", "waiting for c02", "holds it",
		"could not: disk full", "not there", "failed at", "through", "here",
	} {
		if code != exitOK || !strings.Contains(out, want) {
			t.Errorf("got status %d, %s, want %q in output:\n%s", code, errs, want, out)
		}
	}
	if code, out, errs := run(t, "rollout", "history", "--door", endpoint.address); code != exitOK || out != "taken by c00\nled by c01\n" {
		t.Errorf("got status %d, %s\n%s", code, errs, out)
	}
}
