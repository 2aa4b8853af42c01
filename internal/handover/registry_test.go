package handover

import (
	"errors"
	"log/slog"
	"os"
	"path/filepath"
	"testing"
)

var quiet = slog.New(slog.DiscardHandler)

// Live processes discover each other, whatever other files are in the directory.
func TestOthersReturnsLiveProcesses(t *testing.T) {
	path := filepath.Join(t.TempDir(), "proxy")
	one, err := Register(path, quiet)
	if err != nil {
		t.Fatal(err)
	}
	two, err := Register(path, quiet)
	if err != nil {
		t.Fatal(err)
	}
	for name, text := range map[string]string{"dead": "serving {}\n", "empty": "", "strange": "\x00\x01"} {
		if err := os.WriteFile(path+"-"+name, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	one.Publish(Serving, []byte(`{"limit":60}`))
	if got := two.Others(); len(got) != 1 || got[0] != (Process{Serving, `{"limit":60}`}) {
		t.Errorf("got processes %+v, want the published state and text of the first", got)
	}
	two.Publish("dancing", make([]byte, maxFile)) // state of another version, text too long
	if got := one.Others(); len(got) != 1 || got[0] != (Process{Starting, ""}) {
		t.Errorf("got processes %+v, want the second as starting without text", got)
	}
	if _, err := os.Stat(path + "-dead"); !errors.Is(err, os.ErrNotExist) {
		t.Errorf("file of a dead process: got error %v, want ErrNotExist", err)
	}
	one.Deregister()
	if got := two.Others(); len(got) != 0 {
		t.Errorf("after Deregister: got processes %+v, want none", got)
	}
	if none, err := Register(filepath.Join(t.TempDir(), "missing", "x"), quiet); err == nil || len(none.Others()) != 0 {
		t.Error("Register without a directory succeeded or found processes")
	}
}
