package cli

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"ryerill/config"
	"ryerill/fleet/rollout"
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
