package override

import (
	"bytes"
	"errors"
	"os"
	"path/filepath"
	"reflect"
	"testing"
	"time"
)

// The recorded file of an earlier version decodes to the same set, and that set encodes to the same bytes.
func TestRecordedOverridesRoundTrip(t *testing.T) {
	want := Set{Version: 9, Down: map[string]time.Duration{"s1": 1_700_000_000_000_001 * time.Microsecond, "a/b": time.Second},
		Restored: map[string]time.Duration{"s2": 1_700_000_000_000_002 * time.Microsecond}, DrainSince: 1_700_000_000_000_003 * time.Microsecond}
	file := filepath.Join("testdata", "compatibility", "orders.json")
	text, err := os.ReadFile(file)
	if errors.Is(err, os.ErrNotExist) && os.Getenv("RYERILL_RECORD") != "" {
		text = Encode(want)
		if err = os.MkdirAll(filepath.Dir(file), 0o755); err == nil {
			err = os.WriteFile(file, text, 0o644)
		}
	}
	if err != nil {
		t.Fatal(err)
	}
	got, err := Decode(text)
	if err != nil || !reflect.DeepEqual(got, want) {
		t.Errorf("error %v\ngot  %+v\nwant %+v", err, got, want)
	}
	if now := Encode(want); !bytes.Equal(now, text) {
		t.Errorf("got encoding %s\nwant         %s", now, text)
	}
}
