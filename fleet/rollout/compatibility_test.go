package rollout

import (
	"bytes"
	"encoding/hex"
	"encoding/json"
	"reflect"
	"strconv"
	"testing"

	"github.com/fxamacker/cbor/v2"

	"ryerill/internal/golden"
)

// Recorded messages and states of other versions are decoded completely and encoded to the same bytes.
func TestRecordedEncodingsRoundTrip(t *testing.T) {
	for name, value := range map[string]any{"message": new(Message), "state": new(State), "plan": new(Plan)} {
		t.Run(name, func(t *testing.T) {
			text := golden.Recorded(t, name+".cbor.hex", func() []byte {
				n := 0
				golden.Fill(reflect.ValueOf(value).Elem(), &n)
				text, _ := cbor.Marshal(value)
				return []byte(hex.EncodeToString(text) + "\n")
			})
			want, err := hex.DecodeString(string(bytes.TrimSpace(text)))
			if err != nil {
				t.Fatal(err)
			}
			got := reflect.New(reflect.TypeOf(value).Elem())
			if err := cbor.Unmarshal(want, got.Interface()); err != nil {
				t.Fatal(err)
			}
			if missing := golden.Zeros(got.Elem(), name); len(missing) > 0 {
				t.Errorf("got fields that were not decoded: %v", missing)
			}
			if again, err := cbor.Marshal(got.Interface()); err != nil || !bytes.Equal(again, want) {
				t.Errorf("got error %v\nencoded  %x\nrecorded %x", err, again, want)
			}
		})
	}
	text := golden.Recorded(t, "state.json", func() []byte {
		n, s := 0, new(State)
		golden.Fill(reflect.ValueOf(s).Elem(), &n)
		text, _ := json.Marshal(s)
		return text
	})
	var s State
	if err := json.Unmarshal(text, &s); err != nil {
		t.Fatal(err)
	}
	if again, err := json.Marshal(s); err != nil || !bytes.Equal(again, text) || len(golden.Zeros(reflect.ValueOf(s), "state")) > 0 {
		t.Errorf("got error %v\nencoded  %s\nrecorded %s", err, again, text)
	}
}

// The numbers and names of plan kinds, phases and message kinds are part of the protocol and must not change.
func TestRecordedNumbers(t *testing.T) {
	var b bytes.Buffer
	for i := range 12 {
		b.WriteString(strconv.Itoa(i) + " " + Phase(i).String() + " " + strconv.FormatBool(Phase(i).Ended()) + "\n")
	}
	if want := golden.Recorded(t, "phases.txt", b.Bytes); !bytes.Equal(b.Bytes(), want) {
		t.Errorf("got phases\n%s\nrecorded\n%s", b.Bytes(), want)
	}
	for i, kind := range []MessageKind{VoteRequest, VoteGranted, PreVoteRequest, PreVoteGranted, StateUpdate, ChangeOrder, ReportUpdate} {
		if int(kind) != i+1 {
			t.Errorf("want message kind %d, got %d", i+1, kind)
		}
	}
	if Settings != 1 || Program != 2 {
		t.Errorf("got Settings %d and Program %d, want 1 and 2", Settings, Program)
	}
}
