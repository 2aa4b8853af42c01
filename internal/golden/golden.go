// Package golden has tests compare what a program writes with recordings under testdata, so that other versions of it
// go on reading that.
package golden

import (
	"bytes"
	"os"
	"path/filepath"
	"reflect"
	"strconv"
	"strings"
	"testing"
	"time"
)

// recordVariable is the environment variable that has missing recordings made.
const recordVariable = "RYERILL_RECORD"

const (
	directoryMode = 0o755
	fileMode      = 0o644
)

// path is where a recording lies.
func path(name string) string { return filepath.Join("testdata", "compatibility", name) }

// Recorded returns the bytes of a recording under testdata. With RYERILL_RECORD set it makes those that are missing.
func Recorded(t testing.TB, name string, make func() []byte) []byte {
	t.Helper()
	file := path(name)
	text, err := os.ReadFile(file)
	if os.IsNotExist(err) && os.Getenv(recordVariable) != "" {
		text = make()
		if err = os.MkdirAll(filepath.Dir(file), directoryMode); err == nil {
			err = os.WriteFile(file, text, fileMode)
		}
	}
	if err != nil {
		t.Fatal(err)
	}
	return text
}

// Compare compares a text with its recording, and fails with the first line that differs.
func Compare(t testing.TB, name string, now []byte) {
	t.Helper()
	want := Recorded(t, name, func() []byte { return now })
	if bytes.Equal(now, want) {
		return
	}
	before, after := strings.Split(string(want), "\n"), strings.Split(string(now), "\n")
	for i := range max(len(before), len(after)) {
		was, is := "(nothing)", "(nothing)"
		if i < len(before) {
			was = before[i]
		}
		if i < len(after) {
			is = after[i]
		}
		if was != is {
			t.Errorf("%s:%d:\nis  %s\nwas %s", path(name), i+1, is, was)
			return
		}
	}
}

// Fill sets every field below v to a value of its own.
func Fill(v reflect.Value, n *int) {
	*n++
	switch v.Kind() {
	case reflect.Struct:
		if v.Type() == reflect.TypeFor[time.Time]() {
			v.Set(reflect.ValueOf(time.Date(2026, 1, 2, 3, 4, 5, 6, time.UTC)))
			return
		}
		for i := range v.NumField() {
			if v.Type().Field(i).IsExported() {
				Fill(v.Field(i), n)
			}
		}
	case reflect.Pointer:
		v.Set(reflect.New(v.Type().Elem()))
		Fill(v.Elem(), n)
	case reflect.Slice:
		v.Set(reflect.MakeSlice(v.Type(), 2, 2))
		for i := range 2 {
			Fill(v.Index(i), n)
		}
	case reflect.Array:
		for i := range v.Len() {
			Fill(v.Index(i), n)
		}
	case reflect.Map:
		v.Set(reflect.MakeMap(v.Type()))
		key, value := reflect.New(v.Type().Key()).Elem(), reflect.New(v.Type().Elem()).Elem()
		Fill(key, n)
		Fill(value, n)
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

// Zeros returns the names of the fields below v that are zero.
func Zeros(v reflect.Value, path string) (names []string) {
	switch {
	case v.Kind() == reflect.Struct && v.Type() != reflect.TypeFor[time.Time]():
		for i := range v.NumField() {
			if !v.Type().Field(i).IsExported() {
				continue
			}
			names = append(names, Zeros(v.Field(i), path+"."+v.Type().Field(i).Name)...)
		}
	case v.Kind() == reflect.Pointer && !v.IsNil():
		return Zeros(v.Elem(), path)
	case v.Kind() == reflect.Map && v.Len() > 0:
		for _, key := range v.MapKeys() {
			names = append(names, Zeros(v.MapIndex(key), path)...)
		}
	case v.Kind() == reflect.Slice && v.Len() > 0:
		for i := range v.Len() {
			names = append(names, Zeros(v.Index(i), path)...)
		}
	case v.IsZero():
		return []string{path}
	}
	return names
}
