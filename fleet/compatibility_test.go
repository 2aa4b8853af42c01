package fleet

import (
	"bytes"
	"encoding/json"
	"reflect"
	"testing"

	"ryerill/internal/golden"
)

// Recorded JSON of the management endpoint and of the state file decodes without missing fields and encodes to the same
// bytes.
func TestRecordedJSONRoundTrips(t *testing.T) {
	for name, value := range map[string]any{"memory": new(persistedState), "status": new(Status), "shared": new(SharedStatus), "rollout": new(RolloutStatus)} {
		t.Run(name, func(t *testing.T) {
			want := golden.Recorded(t, name+".json", func() []byte {
				n := 0
				golden.Fill(reflect.ValueOf(value).Elem(), &n)
				text, _ := json.Marshal(value)
				return text
			})
			got := reflect.New(reflect.TypeOf(value).Elem())
			if err := json.Unmarshal(want, got.Interface()); err != nil {
				t.Fatal(err)
			}
			if missing := golden.Zeros(got.Elem(), name); len(missing) > 0 {
				t.Errorf("fields not decoded: %v", missing)
			}
			if again, err := json.Marshal(got.Interface()); err != nil || !bytes.Equal(again, want) {
				t.Errorf("encode: error %v\ngot  %s\nwant %s", err, again, want)
			}
		})
	}
}

// The heading of a state file keeps its recorded format and checksum.
func TestRecordedStateFileHeading(t *testing.T) {
	const want = "ryerill-fleet 1 b7b41276360564d4\n1"
	if text := seal([]byte("1")); string(text) != want {
		t.Errorf("seal: got %q, want %q", text, want)
	}
	if text, err := unseal([]byte(want)); err != nil || string(text) != "1" {
		t.Errorf("unseal: got %q, error %v, want \"1\"", text, err)
	}
}
