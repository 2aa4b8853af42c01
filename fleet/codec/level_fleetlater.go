//go:build fleetlater

package codec

import "github.com/fxamacker/cbor/v2"

// This build stands in for a later program in tests: it understands a further level,
// announces a further tag, and its messages have a field that level 1 does not know.
const (
	MinLevel      = 1
	MaxLevel      = 2
	VersionSuffix = " later"
	UnknownTags   = "\xa1\x18\x64\x65later" // {100: "later"}
)

// marshalMessage encodes a message with a further field.
func marshalMessage(enc cbor.EncMode, message *wireMessage) ([]byte, error) {
	return enc.Marshal(struct {
		*wireMessage
		Later []string `cbor:"99,keyasint"`
	}{message, []string{"not", "known"}})
}
