package cli

import (
	"bytes"
	"errors"
	"log/slog"
	"os"
	"os/exec"
	"strings"
	"testing"
	"time"

	"ryerill/config"
	"ryerill/fleet/rollout"
)

// endedProcess returns the PID of a process that has ended.
func endedProcess(t *testing.T) int {
	t.Helper()
	cmd := exec.Command("true")
	if err := cmd.Run(); err != nil {
		t.Fatal(err)
	}
	return cmd.Process.Pid
}

// A process starts with the last good settings if its predecessor ended before it was ready with a rollout's settings,
// and otherwise with the settings of the file.
func TestStartWithSettingsOnTrial(t *testing.T) {
	const planned = good + "# planned\n"
	ended := endedProcess(t)
	for _, tc := range []struct {
		name     string
		record   *trialRecord
		file     string
		restored bool
		pending  bool
		kept     bool // the record
	}{
		{"no trial", nil, planned, false, false, false},
		{"never started with", &trialRecord{}, planned, false, true, true},
		{"the process before ended", &trialRecord{Process: ended}, planned, true, false, false},
		{"the process before had the same number", &trialRecord{Process: os.Getpid()}, planned, true, false, false},
		{"another process loads them", &trialRecord{Process: os.Getppid()}, planned, false, false, true},
		{"edited since", &trialRecord{Process: ended}, planned + "# by hand\n", false, false, false},
		{"long ago", &trialRecord{Process: ended, Since: time.Now().Add(-trialPeriod - time.Hour)}, planned, false, false, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			trial := newSettingsTrial(file(t, tc.file))
			if err := os.WriteFile(trial.file+lastGoodSuffix, []byte(good), configFileMode); err != nil {
				t.Fatal(err)
			}
			if tc.record != nil {
				tc.record.Hash = config.SettingsHash([]byte(planned))
				if tc.record.Since.IsZero() {
					tc.record.Since = time.Now()
				}
				if err := trial.write(tc.record); err != nil {
					t.Fatal(err)
				}
			}
			var log bytes.Buffer
			failed, pending := trial.beginStart(slog.New(slog.NewTextHandler(&log, nil)))
			text, err := os.ReadFile(trial.file)
			if err != nil || (string(text) == good) != tc.restored || pending != tc.pending {
				t.Errorf("got error %v, pending %v, start with\n%s", err, pending, text)
			}
			if (failed != "") != tc.restored || strings.Contains(log.String(), "last good") != tc.restored {
				t.Errorf("got failed target %q, log %q", failed, log.String())
			}
			if record, err := trial.read(); err != nil || (record != nil) != tc.kept {
				t.Errorf("got record %+v, error %v", record, err)
			}
			if err := trial.endStart(); err != nil {
				t.Fatal(err)
			}
			if record, _ := trial.read(); record != nil && pending {
				t.Errorf("got record %+v after a start, want none", record)
			}
		})
	}
}

// If the last good settings are missing, the process starts with the current ones and logs the reason.
func TestStartWithoutLastGoodSettings(t *testing.T) {
	trial := newSettingsTrial(file(t, good))
	if err := trial.begin([]byte(good)); err != nil {
		t.Fatal(err)
	}
	var log bytes.Buffer
	trial.beginStart(slog.New(slog.NewTextHandler(&log, nil)))
	if text, err := os.ReadFile(trial.file); err != nil || string(text) != good || !strings.Contains(log.String(), lastGoodSuffix) {
		t.Errorf("got error %v\n%s\nlog %q", err, text, log.String())
	}
}

// If a process dies while it loads settings, the next one starts with the last good settings and refuses the next
// order, so that the failure is reported to the plan. An order in another attempt is executed.
func TestDeathDuringLoadRestoresLastGoodSettings(t *testing.T) {
	h := newChangerHarness(t)
	settings, target := h.planned(good, laterDeadline)
	trial := newSettingsTrial(h.file)
	died := errors.New("died")
	h.reload = func(config.Config) error { panic(died) }
	func() {
		defer func() {
			if recovered, _ := recover().(error); !errors.Is(recovered, died) {
				t.Error("want the panic of the reload")
			}
		}()
		_ = h.change(rollout.Settings, target, settings, false) // panics
	}()
	if config.CommonHash([]byte(h.content(""))) != target {
		t.Fatalf("want the file replaced, got\n%s", h.content(""))
	}
	restarted := newChangerHarness(t)
	restarted.file = h.file
	restarted.failedTarget, _ = trial.beginStart(slog.New(slog.DiscardHandler))
	if h.content("") != good {
		t.Fatalf("want a start with the last good settings, got\n%s", h.content(""))
	}
	var failed *FailedStartError
	if err := restarted.change(rollout.Settings, target, settings, false); !errors.As(err, &failed) || failed.Target != target {
		t.Errorf("next order: got %v, want a FailedStartError", err)
	}
	if err := restarted.change(rollout.Settings, target, settings, false); err != nil {
		t.Errorf("order in another attempt: got error %v", err)
	}
	if record, err := trial.read(); err != nil || record == nil || record.Process != 0 {
		t.Errorf("after the settings were loaded: got record %+v, error %v", record, err)
	}
	if err := restarted.change(rollout.Settings, "", nil, true); err != nil {
		t.Fatal(err)
	}
	if record, err := trial.read(); record != nil || err != nil {
		t.Errorf("after the rollback: got record %+v, error %v", record, err)
	}
}
