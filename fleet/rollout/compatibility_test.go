package rollout

import (
	"bytes"
	"encoding/hex"
	"encoding/json"
	"os"
	"path/filepath"
	"reflect"
	"strconv"
	"testing"

	"github.com/fxamacker/cbor/v2"
)

// recorded returns the bytes of a recording under testdata. With RYERILL_RECORD set it makes those that are missing.
func recorded(t *testing.T, name string, make func() []byte) []byte {
	t.Helper()
	file := filepath.Join("testdata", "compatibility", name)
	text, err := os.ReadFile(file)
	if os.IsNotExist(err) && os.Getenv("RYERILL_RECORD") != "" {
		text = make()
		if err = os.MkdirAll(filepath.Dir(file), 0o755); err == nil {
			err = os.WriteFile(file, text, 0o644)
		}
	}
	if err != nil {
		t.Fatal(err)
	}
	return text
}

// fill sets every field below v to a value of its own.
func fill(v reflect.Value, n *int) {
	*n++
	switch v.Kind() {
	case reflect.Struct:
		for i := range v.NumField() {
			fill(v.Field(i), n)
		}
	case reflect.Pointer:
		v.Set(reflect.New(v.Type().Elem()))
		fill(v.Elem(), n)
	case reflect.Slice:
		v.Set(reflect.MakeSlice(v.Type(), 2, 2))
		for i := range 2 {
			fill(v.Index(i), n)
		}
	case reflect.String:
		v.SetString("s" + strconv.Itoa(*n))
	case reflect.Bool:
		v.SetBool(true)
	case reflect.Float64:
		v.SetFloat(float64(*n) + 0.5)
	case reflect.Uint8:
		v.SetUint(uint64(*n%3 + 1))
	case reflect.Uint64, reflect.Uint32:
		v.SetUint(uint64(*n))
	case reflect.Int, reflect.Int64:
		v.SetInt(int64(*n) * 1_000_000)
	}
}

// zeros names the fields below v that hold nothing.
func zeros(v reflect.Value, path string) (names []string) {
	switch {
	case v.Kind() == reflect.Struct:
		for i := range v.NumField() {
			names = append(names, zeros(v.Field(i), path+"."+v.Type().Field(i).Name)...)
		}
	case v.Kind() == reflect.Pointer && !v.IsNil():
		return zeros(v.Elem(), path)
	case v.Kind() == reflect.Slice && v.Len() > 0:
		for i := range v.Len() {
			names = append(names, zeros(v.Index(i), path)...)
		}
	case v.IsZero():
		return []string{path}
	}
	return names
}

// What other programs of this fleet send or have stored is read whole and written back to the letter.
func TestRecordedRolloutsAreReadAndWrittenAlike(t *testing.T) {
	for name, value := range map[string]any{"message": new(Message), "state": new(State), "plan": new(Plan)} {
		t.Run(name, func(t *testing.T) {
			text := recorded(t, name+".cbor.hex", func() []byte {
				n := 0
				fill(reflect.ValueOf(value).Elem(), &n)
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
			if missing := zeros(got.Elem(), name); len(missing) > 0 {
				t.Errorf("not read: %v", missing)
			}
			if again, err := cbor.Marshal(got.Interface()); err != nil || !bytes.Equal(again, want) {
				t.Errorf("%v\nwritten %x\nwas     %x", err, again, want)
			}
		})
	}
	text := recorded(t, "state.json", func() []byte {
		n, s := 0, new(State)
		fill(reflect.ValueOf(s).Elem(), &n)
		text, _ := json.Marshal(s)
		return text
	})
	var s State
	if err := json.Unmarshal(text, &s); err != nil {
		t.Fatal(err)
	}
	if again, err := json.Marshal(s); err != nil || !bytes.Equal(again, text) || len(zeros(reflect.ValueOf(s), "state")) > 0 {
		t.Errorf("%v\nwritten %s\nwas     %s", err, again, text)
	}
}

// The numbers and names by which a plan, a phase and a message are known outside this program.
func TestRecordedNumbers(t *testing.T) {
	var b bytes.Buffer
	for i := range 12 {
		b.WriteString(strconv.Itoa(i) + " " + Phase(i).String() + " " + strconv.FormatBool(Phase(i).Ended()) + "\n")
	}
	if want := recorded(t, "phases.txt", b.Bytes); !bytes.Equal(b.Bytes(), want) {
		t.Errorf("%s\nwas\n%s", b.Bytes(), want)
	}
	for i, kind := range []MessageKind{VoteRequest, VoteGranted, PreVoteRequest, PreVoteGranted, StateUpdate, ChangeOrder, ReportUpdate} {
		if int(kind) != i+1 {
			t.Errorf("message kind %d is %d", i+1, kind)
		}
	}
	if Settings != 1 || Program != 2 {
		t.Errorf("settings %d, program %d", Settings, Program)
	}
}
