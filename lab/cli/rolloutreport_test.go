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

// A plan is followed at several doors, one of which is shut, until it ends; the word of
// the highest number holds, and what each span came to is drawn once.
func TestRolloutReport(t *testing.T) {
	var asked atomic.Int64
	door := func(number uint64, leads bool) string {
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			n := uint64(asked.Add(1))
			st := fleet.RolloutStatus{Plan: "p", Kind: "settings", Target: "t", Phase: "soaking", Stage: 1, FencingToken: number, IsLeader: leads, Reason: "it is <watched>"}
			if leads {
				for span := range n {
					st.Points = append(st.Points, rollout.Point{Interval: 100 + span, BaselineGoodput: 0.98, ChangedGoodput: 0.9, Evidence: float64(span), UpperBound: 7, LowerBound: -4})
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
	shut := httptest.NewServer(nil)
	shut.Close()
	f := follower{doors: []string{door(1, false), strings.TrimPrefix(shut.URL, "http://"), door(2, true)}, client: http.Client{Timeout: time.Second}}
	f.follow(t.Context(), time.Millisecond)
	if f.last.Phase != "gone back" || len(f.points) < 7 || len(f.lines) != 2 {
		t.Errorf("%+v, %d points, %q", f.last, len(f.points), f.lines)
	}
	for i, p := range f.points {
		if p.Interval != uint64(100+i) {
			t.Fatalf("spans out of order: %+v", f.points)
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
