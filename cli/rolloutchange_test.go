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

// changerHarness is a replica that takes part in rollouts, with stand-ins for its proxy.
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

// planned returns settings of a plan and the target that they come to over a file.
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

// A replica takes settings after the check that there is, keeps the last good ones, and goes back by itself where it
// can't load the new ones or is not ready with them.
func TestSettingsOfAPlanAreTaken(t *testing.T) {
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
				t.Errorf("%v, %d reloads", err, len(h.reloads))
			}
			for _, part := range tc.fails {
				if err == nil || !strings.Contains(err.Error(), part) {
					t.Errorf("%v, want %q in it", err, part)
				}
			}
			if err != nil {
				if h.content("") != good || len(h.reloads) > 0 && h.reloads[len(h.reloads)-1] != good {
					t.Errorf("it holds and has loaded last\n%s\n%v", h.content(""), h.reloads)
				}
				return
			}
			if config.CommonHash([]byte(h.content(""))) != target || h.content(lastGoodSuffix) != good {
				t.Errorf("it holds\n%s\nand as the last good ones\n%s", h.content(""), h.content(lastGoodSuffix))
			}
		})
	}
}

// A replica whose other settings differ from those of the replica that took the plan refuses it.
func TestSettingsOfAPlanMeetOtherSettings(t *testing.T) {
	h := newChangerHarness(t)
	settings, target := h.planned(strings.Replace(good, "9001", "9009", 1), laterDeadline)
	err := h.change(rollout.Settings, target, settings, false)
	if err == nil || !strings.Contains(err.Error(), "bring them in line first") || h.content("") != good {
		t.Errorf("%v\n%s", err, h.content(""))
	}
}

// Going back restores the file to the byte; where there is nothing to go back to, it says so and changes nothing.
func TestSettingsOfAPlanAreTakenBack(t *testing.T) {
	h := newChangerHarness(t)
	if err := h.change(rollout.Settings, "x", nil, true); err == nil || !strings.Contains(err.Error(), "what it held before") {
		t.Errorf("without any before: %v", err)
	}
	settings, target := h.planned(good, laterDeadline)
	for range 2 { // the second time the file holds it already: it was not loaded yet, say
		if err := h.change(rollout.Settings, target, settings, false); err != nil {
			t.Fatal(err)
		}
	}
	if h.content(lastGoodSuffix) != good {
		t.Errorf("the last good ones are\n%s", h.content(lastGoodSuffix))
	}
	if err := h.change(rollout.Settings, "", nil, true); err != nil || h.content("") != good {
		t.Errorf("%v\n%s", err, h.content(""))
	}
	if last := h.reloads[len(h.reloads)-1]; last != good {
		t.Errorf("loaded last:\n%s", last)
	}
}

// Another program is the operator's own matter.
func TestProgramsAreNotChangedByTheProxy(t *testing.T) {
	h := newChangerHarness(t)
	if err := h.change(rollout.Program, "v2", nil, false); err != nil || len(h.reloads) > 0 || h.content("") != good {
		t.Errorf("%v, %d reloads\n%s", err, len(h.reloads), h.content(""))
	}
}

// breakDisk has calls of a step that concern one file fail a number of times, after some that succeed.
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

// lasting is a number of failures that no change outlasts.
const lasting = 1 << 30

// storageTimeoutOf is how long a change waits for a disk that fails a number of times: long enough on any machine for a
// few of them.
func storageTimeoutOf(failures int) time.Duration {
	if failures == lasting {
		return 500 * time.Millisecond
	}
	return time.Minute
}

// A disk that fails while a replica takes settings, wherever that is, leaves the settings in the file that are loaded. A
// fault that passes is waited for, one that stays is told of.
func TestSettingsOfAPlanUnderStorageFaults(t *testing.T) {
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
					t.Errorf("%v", err)
				}
				if tc.taken && config.CommonHash([]byte(h.content(""))) != target || !tc.taken && h.content("") != tc.last {
					t.Errorf("the file holds\n%s", h.content(""))
				}
				if len(h.reloads) > 0 && h.reloads[len(h.reloads)-1] != h.content("") {
					t.Errorf("the file holds\n%s\nand loaded is\n%s", h.content(""), h.reloads[len(h.reloads)-1])
				}
			})
		}
	}
}

// Going back is owed while the disk fails for a moment, and what is loaded in the end is what the file holds.
func TestSettingsOfAPlanAreTakenBackUnderStorageFaults(t *testing.T) {
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
					t.Errorf("%v", err)
				}
				if failures == 2 && h.content("") != good || h.reloads[len(h.reloads)-1] != h.content("") {
					t.Errorf("the file holds\n%s\nand loaded is\n%s", h.content(""), h.reloads[len(h.reloads)-1])
				}
			})
		}
	}
}
