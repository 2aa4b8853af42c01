package config

import (
	"fmt"
	"maps"
	"reflect"
	"slices"
	"strings"

	"ryerill/internal/yamlfile"
)

// Sources of a setting.
const (
	FromDefault     = "default"
	FromFile        = "file"
	FromEnvironment = "environment"
)

// Line is one effective setting.
type Line struct {
	Key   string // key of the setting, as in pools[0].limits.open
	Value string
	From  string // FromDefault, FromFile or FromEnvironment
}

// Show returns the effective settings of a configuration in either form and the source of each, in the order of the
// format.
func Show(name string, text []byte, getenv func(string) string) ([]Line, error) {
	if IsPlatformForm(text) {
		return showPlatform(text, getenv)
	}
	if _, _, err := ParseFile(name, text, getenv); err != nil {
		return nil, err
	}
	file := new(File)
	if _, err := yamlfile.Decode(name, text, file); err != nil {
		return nil, err
	}
	stated := map[string]bool{}
	eachSetting("", reflect.ValueOf(*file), func(key, _ string) { stated[key] = true })
	replaced := file.applyEnvironment(getenv)
	file.Complete()
	var lines []Line
	eachSetting("", reflect.ValueOf(*file), func(key, value string) {
		from := FromDefault
		switch {
		case slices.Contains(replaced, key):
			from = FromEnvironment
		case stated[key]:
			from = FromFile
		}
		lines = append(lines, Line{key, value, from})
	})
	return lines, nil
}

func showPlatform(text []byte, getenv func(string) string) ([]Line, error) {
	cfg, err := ParsePlatform(text, getenv)
	if err != nil {
		return nil, err
	}
	var lines []Line
	eachSetting("", reflect.ValueOf(*fileOf(&cfg)), func(key, value string) {
		from := FromFile
		if variable, replaceable := environmentKeys[key]; replaceable && getenv(variable) != "" {
			from = FromEnvironment
		}
		lines = append(lines, Line{key, value, from})
	})
	return lines, nil
}

// eachSetting calls visit with the key and value of every stated setting below v, in order. at is the key of v itself.
func eachSetting(at string, v reflect.Value, visit func(key, value string)) {
	switch v.Kind() {
	case reflect.Pointer:
		if !v.IsNil() {
			eachSetting(at, v.Elem(), visit)
		}
	case reflect.Struct:
		eachField(at, v, visit)
	case reflect.Slice:
		for i := range v.Len() {
			eachSetting(fmt.Sprintf("%s[%d]", at, i), v.Index(i), visit)
		}
	case reflect.Map:
		values := v.Interface().(map[string]string)
		for _, key := range slices.Sorted(maps.Keys(values)) {
			visit(at+"."+key, values[key])
		}
	default:
		visit(at, fmt.Sprint(v.Interface()))
	}
}

// eachField visits the exported nonzero fields of a struct.
func eachField(at string, v reflect.Value, visit func(key, value string)) {
	for i := range v.NumField() {
		field := v.Type().Field(i)
		if !field.IsExported() || v.Field(i).IsZero() {
			continue
		}
		key, _, _ := strings.Cut(field.Tag.Get("yaml"), ",")
		if at != "" {
			key = at + "." + key
		}
		eachSetting(key, v.Field(i), visit)
	}
}

// Diff returns the settings that differ between two configurations, in the order of the format.
func Diff(a, b []Line) (differences []string) {
	valuesOfA := valuesByKey(a)
	valuesOfB := valuesByKey(b)
	for _, line := range a {
		value, found := valuesOfB[line.Key]
		switch {
		case !found:
			differences = append(differences, fmt.Sprintf("- %s: %s", line.Key, line.Value))
		case value != line.Value:
			differences = append(differences, fmt.Sprintf("~ %s: %s -> %s", line.Key, line.Value, value))
		}
	}
	for _, line := range b {
		if _, found := valuesOfA[line.Key]; !found {
			differences = append(differences, fmt.Sprintf("+ %s: %s", line.Key, line.Value))
		}
	}
	return differences
}

func valuesByKey(lines []Line) map[string]string {
	values := make(map[string]string, len(lines))
	for _, line := range lines {
		values[line.Key] = line.Value
	}
	return values
}
