package cli

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"ryerill/fleet"
	"ryerill/fleet/rollout"
)

// A plan is followed at several replicas, one of which is down, until it ends: the status with the highest fencing token
// holds, and the point of each interval is drawn once.
func TestRolloutReport(t *testing.T) {
	var polled atomic.Int64
	replica := func(fencingToken uint64, isLeader bool) string {
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			n := uint64(polled.Add(1))
			st := fleet.RolloutStatus{Plan: "p", Kind: "settings", Target: "t", Phase: "soaking", Stage: 1, FencingToken: fencingToken, IsLeader: isLeader, Reason: "it is <watched>"}
			if isLeader {
				for interval := range n {
					st.Points = append(st.Points, rollout.Point{Interval: 100 + interval, BaselineGoodput: 0.98, ChangedGoodput: 0.9, Evidence: float64(interval), UpperBound: 7, LowerBound: -4})
				}
				if n > 6 {
					st.Phase, st.Ended = "gone back", true
				}
			}
			json.NewEncoder(w).Encode(st)
		}))
		t.Cleanup(s.Close)
		return strings.TrimPrefix(s.URL, "http://")
	}
	down := httptest.NewServer(nil)
	down.Close()
	f := rolloutFollower{addresses: []string{replica(1, false), strings.TrimPrefix(down.URL, "http://"), replica(2, true)}, client: http.Client{Timeout: time.Second}}
	f.follow(t.Context(), time.Millisecond)
	if f.latest.Phase != "gone back" || len(f.points) < 7 || len(f.transitions) != 2 {
		t.Errorf("%+v, %d points, %q", f.latest, len(f.points), f.transitions)
	}
	for i, p := range f.points {
		if p.Interval != uint64(100+i) {
			t.Fatalf("points out of order: %+v", f.points)
		}
	}
	out := t.TempDir()
	if err := f.save(out); err != nil {
		t.Fatal(err)
	}
	for file, has := range map[string]string{"README.md": "goodput.svg", "report.html": "it is &lt;watched&gt;", "goodput.svg": "<svg", "evidence.svg": "<svg"} {
		if text, err := os.ReadFile(filepath.Join(out, file)); err != nil || !strings.Contains(string(text), has) {
			t.Errorf("%s: %v, without %q", file, err, has)
		}
	}
}
