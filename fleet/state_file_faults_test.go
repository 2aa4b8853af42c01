package fleet

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"ryerill/fleet/codec"
	"ryerill/fleet/membership"
	"ryerill/internal/exhaustion"
)

// stateFileVariable is the environment variable with the path of the state file that a child process writes until it is
// killed.
const stateFileVariable = "RYERILL_STATE_FILE"

// newState returns a state with an epoch and a number of members, whose tags come from the tags function.
func newState(epoch uint64, members int, tags func(i int) *membership.Tags) *persistedState {
	state := &persistedState{Written: time.Now(), Fleet: "f", Name: "a", Epoch: epoch, Confirmed: true}
	for i := range members {
		state.Members = append(state.Members, membership.Record{
			State: membership.State{
				Name: fmt.Sprintf("replica-%04d", i), Epoch: 1 << 62, Incarnation: 1 << 20, Status: membership.Dead,
			},
			Tags: tags(i),
		})
	}
	return state
}

// usualTags returns typical tags.
func usualTags(i int) *membership.Tags {
	return &membership.Tags{
		Address: fmt.Sprintf("10.20.%d.%d:7946", i/256, i%256), Zone: "zone-a", Pools: []string{"main", "orders"},
		ProgramVersion: "v1.2.3-0-gabcdef012345", SettingsHash: "0123456789abcdef", Phase: membership.Serving,
	}
}

// longestTags returns the longest tags that a member may announce.
func longestTags(int) *membership.Tags {
	long := strings.Repeat("x", membership.MaxName)
	return &membership.Tags{
		Address: long, Zone: long, Pools: []string{long, long, long, long}, ProgramVersion: long, SettingsHash: long,
		Phase: membership.Serving, MinLevel: codec.MinLevel, MaxLevel: codec.MaxLevel,
		Unknown: strings.Repeat("\xff", membership.MaxUnknown),
	}
}

// A failed write, at whatever step, leaves the previous state and no other file. The next write after the fault
// succeeds.
func TestFailedWriteKeepsPreviousStateFile(t *testing.T) {
	if !exhaustion.Alone(t) {
		return
	}
	signal.Ignore(syscall.SIGXFSZ)
	dir := t.TempDir()
	t.Setenv("TMPDIR", dir)
	file := &stateFile{path: filepath.Join(dir, "state")}
	epoch := uint64(1)
	if err := file.write(newState(epoch, 20, usualTags)); err != nil {
		t.Fatal(err)
	}
	for name, limit := range map[string]struct {
		resource int
		value    uint64
	}{
		"no space":           {unix.RLIMIT_FSIZE, 0},
		"partial space":      {unix.RLIMIT_FSIZE, 1000},
		"no free descriptor": {unix.RLIMIT_NOFILE, 0},
		"no space again":     {unix.RLIMIT_FSIZE, 0},
	} {
		restore := exhaustion.Lower(t, limit.resource, limit.value)
		err := file.write(newState(epoch+1, 20, usualTags))
		restore()
		if err == nil {
			t.Errorf("%s: write succeeded, want an error", name)
		}
		if state, err := file.read(); err != nil || state.Epoch != epoch || len(state.Members) != 20 {
			t.Errorf("%s: got error %v, epoch %d, %d members, want the previous state", name, err, state.Epoch, len(state.Members))
		}
		epoch++
		if err := file.write(newState(epoch, 20, usualTags)); err != nil {
			t.Errorf("%s: write after the fault: %v", name, err)
		}
	}
	if names := namesIn(t, dir); len(names) != 1 {
		t.Errorf("got files %v, want only the state file", names)
	}
}

func namesIn(t *testing.T, dir string) (names []string) {
	t.Helper()
	entries, err := os.ReadDir(dir)
	if err != nil {
		t.Fatal(err)
	}
	for _, entry := range entries {
		names = append(names, entry.Name())
	}
	return names
}

// A process that is killed during a write leaves either the new state or the previous one intact.
func TestStateFileSurvivesKills(t *testing.T) {
	if path := os.Getenv(stateFileVariable); path != "" {
		writeStates(&stateFile{path: path})
		return
	}
	dir := t.TempDir()
	file := &stateFile{path: filepath.Join(dir, "state")}
	rng := rand.New(rand.NewPCG(1, 1))
	latest := uint64(0)
	for kill := range 8 {
		cmd := exec.Command(os.Args[0], "-test.run=^"+t.Name()+"$")
		cmd.Env = append(os.Environ(), stateFileVariable+"="+file.path, "TMPDIR="+dir)
		if err := cmd.Start(); err != nil {
			t.Fatal(err)
		}
		for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
			if state, err := file.read(); err == nil && state.Epoch > latest {
				break
			}
		}
		time.Sleep(time.Duration(rng.IntN(20_000)) * time.Microsecond)
		cmd.Process.Kill()
		cmd.Wait()
		state, err := file.read()
		if err != nil || state.Epoch <= latest || len(state.Members) != 500 {
			t.Fatalf("kill %d: got error %v, epoch %d (previous %d), %d members", kill, err, state.Epoch, latest, len(state.Members))
		}
		latest = state.Epoch
	}
	t.Logf("%d states written, files left: %v", latest, namesIn(t, dir))
}

// writeStates writes states with increasing epochs, starting after the epoch in the file, until the process is killed.
func writeStates(file *stateFile) {
	latest, _ := file.read() // the first child finds no file
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); {
		latest.Epoch++
		if err := file.write(newState(latest.Epoch, 500, usualTags)); err != nil {
			panic(err)
		}
	}
}

// The state of a fleet of the maximum size can be written and read back.
func TestStateFileOfLargestFleet(t *testing.T) {
	const members = 8191 // besides this replica
	for name, tags := range map[string]func(int) *membership.Tags{
		"usual tags":       usualTags,
		"the longest tags": longestTags,
	} {
		t.Run(name, func(t *testing.T) {
			file := &stateFile{path: filepath.Join(t.TempDir(), "state")}
			if err := file.write(newState(1, members, tags)); err != nil {
				t.Fatal(err)
			}
			if info, err := os.Stat(file.path); err == nil {
				t.Logf("%d bytes", info.Size())
			}
			state, err := file.read()
			if err != nil || len(state.Members) != members {
				t.Errorf("got error %v, %d members, want all of them", err, len(state.Members))
			}
		})
	}
}

// Tags known only to a later program are restored unchanged. Tags corrupted by an earlier program are dropped: with
// them the member would not be restored, and would be missing from the replicas that share the quotas.
func TestUnknownTagsSurviveStateFile(t *testing.T) {
	allBytes := make([]byte, membership.MaxUnknown)
	for i := range allBytes {
		allBytes[i] = byte(2 * i)
	}
	corrupted := string(allBytes)
	if text, err := json.Marshal(corrupted); err != nil || json.Unmarshal(text, &corrupted) != nil {
		t.Fatal(err)
	}
	for name, tc := range map[string]struct{ unknown, want string }{
		"none":           {"", ""},
		"later program":  {"\xa1\x18\x64\x65later", "\xa1\x18\x64\x65later"},
		"maximum length": {string(allBytes), string(allBytes)},
	} {
		t.Run(name, func(t *testing.T) {
			file := &stateFile{path: filepath.Join(t.TempDir(), "state")}
			tags := usualTags(0)
			tags.Unknown = tc.unknown
			if err := file.write(newState(1, 1, func(int) *membership.Tags { return tags })); err != nil {
				t.Fatal(err)
			}
			if tags.Unknown != tc.unknown {
				t.Errorf("write changed the caller's tags to %q", tags.Unknown)
			}
			state, err := file.read()
			if err != nil || len(state.Members) != 1 || state.Members[0].Tags.Unknown != tc.want {
				t.Errorf("got error %v, members %+v, want one with its unknown tags", err, state.Members)
			}
			restored := membership.New(membership.Config{Name: "a"})
			restored.Handle(0, membership.Event{Kind: membership.Restore, Records: state.Members}, nil)
			if _, known := restored.Find("replica-0000"); !known {
				t.Error("member not restored")
			}
		})
	}
	if got := bytesOfText(corrupted); got != "" {
		t.Errorf("corrupted tags: got %q, want none", got)
	}
}
