package config

import (
	"encoding/json"
	"fmt"
	"reflect"
	"time"

	"github.com/invopop/jsonschema"
)

// durationPattern is the pattern of durations in a file, for editors.
const durationPattern = `^([0-9]+(\.[0-9]+)?(ns|us|µs|ms|s|m|h))+$`

// Schema returns the JSON Schema of a file.
func Schema() ([]byte, error) {
	reflector := jsonschema.Reflector{DoNotReference: true, FieldNameTag: "yaml", Mapper: durationSchema}
	text, err := json.MarshalIndent(reflector.Reflect(&File{}), "", "  ")
	if err != nil {
		return nil, fmt.Errorf("schema: %w", err)
	}
	return text, nil
}

// durationSchema describes durations as strings. It returns nil for other types, which the reflector then describes.
func durationSchema(t reflect.Type) *jsonschema.Schema {
	if t != reflect.TypeFor[time.Duration]() {
		return nil
	}
	return &jsonschema.Schema{Type: "string", Pattern: durationPattern, Examples: []any{"250ms", "2s"}}
}
