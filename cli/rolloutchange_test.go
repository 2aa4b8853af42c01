package cli

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"ryerill/config"
	"ryerill/fleet/rollout"
	"ryerill/internal/atomicfile"
)

var (
	errReload   = errors.New("the listener is taken")
	errNotReady = errors.New("discovery does not answer")
)

// changerHarness is a settingsChanger with stubs for the functions of its proxy.
type changerHarness struct {
	*settingsChanger
	t        *testing.T
	file     string
	reloads  []string // the texts that were loaded
	failLoad int      // the number of reloads that fail
	notReady bool
}

func newChangerHarness(t *testing.T) *changerHarness {
	t.Helper()
	h := &changerHarness{t: t, file: file(t, good)}
	h.settingsChanger = &settingsChanger{
		getenv: func(key string) string {
			if key == config.EnvFile {
				return h.file
			}
			return ""
		},
		reload: func(cfg config.Config) error {
			h.reloads = append(h.reloads, string(cfg.Text))
			if len(h.reloads) <= h.failLoad {
				return errReload
			}
			return nil
		},
		awaitReady: func(time.Duration) error {
			if h.notReady {
				return errNotReady
			}
			return nil
		},
	}
	return h
}

// planned returns the settings of a plan, and the target that results from their merge into a file.
func (h *changerHarness) planned(over, settings string) (text []byte, target string) {
	h.t.Helper()
	next, err := config.Overlay([]byte(over), []byte(settings))
	if err != nil {
		h.t.Fatal(err)
	}
	return []byte(settings), config.CommonHash(next)
}

func (h *changerHarness) content(suffix string) string {
	text, err := os.ReadFile(h.file + suffix)
	if err != nil && !errors.Is(err, os.ErrNotExist) {
		h.t.Fatal(err)
	}
	return string(text)
}

const laterDeadline = "classes: [{name: view, deadline: 7s, effect: safe}]\n"

// A replica checks new settings, keeps the last good ones, and rolls back by itself if it can't load the new settings
// or isn't ready with them.
func TestChangeAppliesSettings(t *testing.T) {
	for _, tc := range []struct {
		name     string
		settings string
		prepare  func(h *changerHarness)
		fails    []string // parts of the error; none if it is taken
		reloads  int
	}{
		{"taken", laterDeadline, nil, nil, 1},
		{"taken although the folder for temporary files is gone", laterDeadline, func(h *changerHarness) {
			h.t.Setenv("TMPDIR", filepath.Join(h.t.TempDir(), "gone"))
		}, nil, 1},
		{"at fault", "classes: [{name: view, deadline: 7s, effect: sage}]\n", nil, []string{"config check", "sage"}, 0},
		{"what is a replica's own", "name: other\n", nil, []string{"settings.name", "each copy's own"}, 0},
		{"can't be loaded", laterDeadline, func(h *changerHarness) { h.failLoad = 1 },
			[]string{"went back by itself", errReload.Error()}, 2},
		{"not ready", laterDeadline, func(h *changerHarness) { h.notReady = true },
			[]string{"went back by itself", errNotReady.Error()}, 2},
		{"the last good ones can't be written", laterDeadline, func(h *changerHarness) {
			if err := os.MkdirAll(filepath.Join(h.file+lastGoodSuffix, "x"), 0o700); err != nil {
				h.t.Fatal(err)
			}
		}, []string{lastGoodSuffix}, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			h := newChangerHarness(t)
			if tc.prepare != nil {
				tc.prepare(h)
			}
			target := "x"
			if !strings.HasPrefix(tc.settings, "name") {
				_, target = h.planned(good, tc.settings)
			}
			err := h.change(rollout.Settings, target, []byte(tc.settings), false)
			if (err == nil) != (tc.fails == nil) || len(h.reloads) != tc.reloads {
				t.Errorf("got error %v, %d reloads", err, len(h.reloads))
			}
			for _, part := range tc.fails {
				if err == nil || !strings.Contains(err.Error(), part) {
					t.Errorf("got error %v, want %q in it", err, part)
				}
			}
			if err != nil {
				if h.content("") != good || len(h.reloads) > 0 && h.reloads[len(h.reloads)-1] != good {
					t.Errorf("got file\n%s\nand reloads %v", h.content(""), h.reloads)
				}
				return
			}
			if config.CommonHash([]byte(h.content(""))) != target || h.content(lastGoodSuffix) != good {
				t.Errorf("got file\n%s\nand last good settings\n%s", h.content(""), h.content(lastGoodSuffix))
			}
		})
	}
}

// A replica refuses a plan if its other settings differ from those of the replica that accepted the plan.
func TestChangeRefusesDifferingSettings(t *testing.T) {
	h := newChangerHarness(t)
	settings, target := h.planned(strings.Replace(good, "9001", "9009", 1), laterDeadline)
	err := h.change(rollout.Settings, target, settings, false)
	if err == nil || !strings.Contains(err.Error(), "bring them in line first") || h.content("") != good {
		t.Errorf("got error %v, file\n%s", err, h.content(""))
	}
}

// A rollback restores the file byte for byte. Without last good settings it returns an error and changes nothing.
func TestRollbackRestoresSettings(t *testing.T) {
	h := newChangerHarness(t)
	if err := h.change(rollout.Settings, "x", nil, true); err == nil || !strings.Contains(err.Error(), "what it held before") {
		t.Errorf("without last good settings: got error %v", err)
	}
	settings, target := h.planned(good, laterDeadline)
	for range 2 { // the second time the file already has these contents, as after a failed reload
		if err := h.change(rollout.Settings, target, settings, false); err != nil {
			t.Fatal(err)
		}
	}
	if h.content(lastGoodSuffix) != good {
		t.Errorf("got last good settings\n%s", h.content(lastGoodSuffix))
	}
	if err := h.change(rollout.Settings, "", nil, true); err != nil || h.content("") != good {
		t.Errorf("got error %v, file\n%s", err, h.content(""))
	}
	if last := h.reloads[len(h.reloads)-1]; last != good {
		t.Errorf("got last reload\n%s", last)
	}
}

// The proxy itself does not change its program.
func TestProxyDoesNotChangeProgram(t *testing.T) {
	h := newChangerHarness(t)
	if err := h.change(rollout.Program, "v2", nil, false); err != nil || len(h.reloads) > 0 || h.content("") != good {
		t.Errorf("%v, %d reloads\n%s", err, len(h.reloads), h.content(""))
	}
}

// breakDisk makes a step of writes to one file fail a number of times, after sound successful ones.
func (h *changerHarness) breakDisk(step, suffix string, sound, failures int) {
	h.files = atomicfile.SystemCalls()
	concerned := h.file + suffix
	current := ""
	due := func(at string) error {
		if at != step || current != concerned {
			return nil
		}
		if sound--; sound >= 0 {
			return nil
		}
		if failures--; failures < 0 {
			return nil
		}
		return syscall.ENOSPC
	}
	h.files.Write = func(file *os.File, contents []byte) (int, error) {
		current = strings.TrimSuffix(file.Name(), atomicfile.TemporarySuffix)
		if err := due("write"); err != nil {
			n, _ := file.Write(contents[:len(contents)/2])
			return n, err
		}
		return file.Write(contents)
	}
	h.files.Sync = func(file *os.File) error { return errors.Join(due("sync"), file.Sync()) }
	h.files.Rename = func(from, to string) error {
		if err := due("rename"); err != nil {
			return err
		}
		return os.Rename(from, to)
	}
	h.files.SyncDirectory = func(*os.File) error { return due("sync directory") }
}

// lasting is a number of failures that exceeds the retries of any change.
const lasting = 1 << 30

// storageTimeoutOf returns a storage timeout that is long enough on any machine for a few failures, and short for
// lasting ones.
func storageTimeoutOf(failures int) time.Duration {
	if failures == lasting {
		return 500 * time.Millisecond
	}
	return time.Minute
}

// If a write fails at any step of a change, the file still has the loaded settings. Transient faults are retried,
// lasting ones are reported.
func TestChangeUnderStorageFaults(t *testing.T) {
	for _, step := range []string{"write", "sync", "rename", "sync directory"} {
		for _, tc := range []struct {
			name     string
			suffix   string
			sound    int // writes before the fault
			failures int
			notReady bool // with the new settings, so that the old ones are written back
			taken    bool
			last     string // that the file holds in the end
		}{
			{"the last good ones, for a moment", lastGoodSuffix, 0, 2, false, true, ""},
			{"the last good ones, for long", lastGoodSuffix, 0, lasting, false, false, good},
			{"the record of the trial, for a moment", trialSuffix, 0, 2, false, true, ""},
			{"the record of the trial, for long", trialSuffix, 0, lasting, false, false, good},
			{"the new ones, for a moment", "", 0, 2, false, true, ""},
			{"the new ones, for long", "", 0, lasting, false, false, good},
			{"going back, for a moment", "", 1, 2, true, false, good},
		} {
			t.Run(step+" "+tc.name, func(t *testing.T) {
				t.Parallel()
				h := newChangerHarness(t)
				h.storageTimeout = storageTimeoutOf(tc.failures)
				h.notReady = tc.notReady
				settings, target := h.planned(good, laterDeadline)
				h.breakDisk(step, tc.suffix, tc.sound, tc.failures)
				err := h.change(rollout.Settings, target, settings, false)
				if (err == nil) != tc.taken || tc.failures == lasting && !errors.Is(err, syscall.ENOSPC) {
					t.Errorf("got error %v", err)
				}
				if tc.taken && config.CommonHash([]byte(h.content(""))) != target || !tc.taken && h.content("") != tc.last {
					t.Errorf("got file\n%s", h.content(""))
				}
				if len(h.reloads) > 0 && h.reloads[len(h.reloads)-1] != h.content("") {
					t.Errorf("got file\n%s\nand last reload\n%s", h.content(""), h.reloads[len(h.reloads)-1])
				}
			})
		}
	}
}

// A rollback succeeds despite transient storage faults, and the loaded settings equal the file's in the end.
func TestRollbackUnderStorageFaults(t *testing.T) {
	for _, step := range []string{"write", "sync", "rename", "sync directory"} {
		for name, failures := range map[string]int{"for a moment": 2, "for long": lasting} {
			t.Run(step+" "+name, func(t *testing.T) {
				t.Parallel()
				h := newChangerHarness(t)
				h.storageTimeout = storageTimeoutOf(failures)
				settings, target := h.planned(good, laterDeadline)
				if err := h.change(rollout.Settings, target, settings, false); err != nil {
					t.Fatal(err)
				}
				h.breakDisk(step, "", 0, failures)
				err := h.change(rollout.Settings, "", nil, true)
				if (err == nil) != (failures == 2) {
					t.Errorf("got error %v", err)
				}
				if failures == 2 && h.content("") != good || h.reloads[len(h.reloads)-1] != h.content("") {
					t.Errorf("got file\n%s\nand last reload\n%s", h.content(""), h.reloads[len(h.reloads)-1])
				}
			})
		}
	}
}
