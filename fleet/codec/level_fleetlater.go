//go:build fleetlater

package codec

import "github.com/fxamacker/cbor/v2"

// In tests, this build simulates a later version: it supports an additional level, announces
// an additional tag, and its messages have a field that is not part of level 1.
const (
	MinLevel      = 1
	MaxLevel      = 2
	VersionSuffix = " later"
	UnknownTags   = "\xa1\x18\x64\x65later" // {100: "later"}
)

// marshalMessage encodes a message with an additional field.
func marshalMessage(enc cbor.EncMode, message *wireMessage) ([]byte, error) {
	return enc.Marshal(struct {
		*wireMessage
		Later []string `cbor:"99,keyasint"`
	}{message, []string{"not", "known"}})
}
