package fleet

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"reflect"
	"strconv"
	"testing"
	"time"
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
		if v.Type() == reflect.TypeFor[time.Time]() {
			v.Set(reflect.ValueOf(time.Date(2026, 1, 2, 3, 4, 5, 6, time.UTC)))
			return
		}
		for i := range v.NumField() {
			if v.Type().Field(i).IsExported() {
				fill(v.Field(i), n)
			}
		}
	case reflect.Pointer:
		v.Set(reflect.New(v.Type().Elem()))
		fill(v.Elem(), n)
	case reflect.Slice:
		v.Set(reflect.MakeSlice(v.Type(), 2, 2))
		for i := range 2 {
			fill(v.Index(i), n)
		}
	case reflect.Array:
		for i := range v.Len() {
			fill(v.Index(i), n)
		}
	case reflect.Map:
		v.Set(reflect.MakeMap(v.Type()))
		key, value := reflect.New(v.Type().Key()).Elem(), reflect.New(v.Type().Elem()).Elem()
		fill(key, n)
		fill(value, n)
		v.SetMapIndex(key, value)
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

// zeros returns the names of the fields below v that are zero.
func zeros(v reflect.Value, path string) (names []string) {
	switch {
	case v.Kind() == reflect.Struct && v.Type() != reflect.TypeFor[time.Time]():
		for i := range v.NumField() {
			if !v.Type().Field(i).IsExported() {
				continue
			}
			names = append(names, zeros(v.Field(i), path+"."+v.Type().Field(i).Name)...)
		}
	case v.Kind() == reflect.Pointer && !v.IsNil():
		return zeros(v.Elem(), path)
	case v.Kind() == reflect.Map && v.Len() > 0:
		for _, key := range v.MapKeys() {
			names = append(names, zeros(v.MapIndex(key), path)...)
		}
	case v.Kind() == reflect.Slice && v.Len() > 0:
		for i := range v.Len() {
			names = append(names, zeros(v.Index(i), path)...)
		}
	case v.IsZero():
		return []string{path}
	}
	return names
}

// What programs read at the management endpoint, and what a replica persists, is read whole and written to the letter.
func TestRecordedJSONIsReadAndWrittenAlike(t *testing.T) {
	for name, value := range map[string]any{"memory": new(persistedState), "status": new(Status), "shared": new(SharedStatus), "rollout": new(RolloutStatus)} {
		t.Run(name, func(t *testing.T) {
			want := recorded(t, name+".json", func() []byte {
				n := 0
				fill(reflect.ValueOf(value).Elem(), &n)
				text, _ := json.Marshal(value)
				return text
			})
			got := reflect.New(reflect.TypeOf(value).Elem())
			if err := json.Unmarshal(want, got.Interface()); err != nil {
				t.Fatal(err)
			}
			if missing := zeros(got.Elem(), name); len(missing) > 0 {
				t.Errorf("not read: %v", missing)
			}
			if again, err := json.Marshal(got.Interface()); err != nil || !bytes.Equal(again, want) {
				t.Errorf("%v\nwritten %s\nwas     %s", err, again, want)
			}
		})
	}
}

// The line before the persisted state: its form, and the checksum.
func TestRecordedFileIsUnsealed(t *testing.T) {
	const want = "ryerill-fleet 1 b7b41276360564d4\n1"
	if text := seal([]byte("1")); string(text) != want {
		t.Errorf("sealed %q, was %q", text, want)
	}
	if text, err := unseal([]byte(want)); err != nil || string(text) != "1" {
		t.Errorf("unsealed %q, %v", text, err)
	}
}
