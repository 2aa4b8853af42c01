package scenario

import (
	"reflect"
	"time"

	"github.com/invopop/jsonschema"
)

// Schema returns the JSON Schema of a value's YAML form.
func Schema(v any) *jsonschema.Schema {
	reflector := jsonschema.Reflector{
		DoNotReference:             true,
		Mapper:                     durationSchema,
		FieldNameTag:               "yaml",
		RequiredFromJSONSchemaTags: true,
	}
	return reflector.Reflect(v)
}

// durationSchema is the schema of a time.Duration, which stands in the file as text with a unit; nil for other types.
func durationSchema(t reflect.Type) *jsonschema.Schema {
	if t != reflect.TypeFor[time.Duration]() {
		return nil
	}
	return &jsonschema.Schema{
		Type:     "string",
		Pattern:  `^([0-9]+(\.[0-9]+)?(ns|us|ms|s|m|h))+$`,
		Examples: []any{"250ms", "2s"},
	}
}
