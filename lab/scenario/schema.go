package scenario

import (
	"reflect"
	"time"

	"github.com/invopop/jsonschema"
)

// durations writes a time.Duration as it stands in the file: text with a unit.
func durations(t reflect.Type) *jsonschema.Schema {
	if t == reflect.TypeFor[time.Duration]() {
		return &jsonschema.Schema{Type: "string", Pattern: `^([0-9]+(\.[0-9]+)?(ns|us|ms|s|m|h))+$`,
			Examples: []any{"250ms", "2s"}}
	}
	return nil
}
