package fleet

import (
	"errors"
	"io/fs"
	"os"
	"path/filepath"
	"testing"
	"time"

	"ryerill/fleet/membership"
)

func TestStateFileRoundTrips(t *testing.T) {
	file := &stateFile{path: filepath.Join(t.TempDir(), "state")}
	if _, err := file.read(); !errors.Is(err, fs.ErrNotExist) {
		t.Errorf("read of a missing file: got error %v, want ErrNotExist", err)
	}
	want := persistedState{
		Written: time.Now(), Fleet: "f", Name: "a", Epoch: 7, Confirmed: true,
		Members: []membership.Record{{State: membership.State{Name: "b", Epoch: 3, Status: membership.Dead}}},
	}
	if err := file.write(&want); err != nil {
		t.Fatal(err)
	}
	got, err := file.read()
	if err != nil || got.Epoch != want.Epoch || !got.Confirmed || len(got.Members) != 1 || got.Members[0] != want.Members[0] {
		t.Errorf("got %+v, error %v, want the written state", got, err)
	}
	if err := os.Truncate(file.path, maxStateFile+1); err != nil {
		t.Fatal(err)
	}
	if _, err := file.read(); err == nil {
		t.Error("read accepted a file larger than maxStateFile")
	}
}
