//go:build !fleetlater

package codec

import "github.com/fxamacker/cbor/v2"

// The level of the protocol between replicas grows with each field or kind of message
// that others must understand for a fleet to work. A replica announces the lowest and
// the highest level that it understands. A rollout that would leave two replicas without
// a common level is refused before its first stage.
const (
	MinLevel = 1
	MaxLevel = 1
)

// UnknownTags are the encoded tags of this build that level 1 does not know.
const UnknownTags = ""

// VersionSuffix distinguishes the version of this build from others of the same source.
const VersionSuffix = ""

// marshalMessage encodes a message. The build of a later level, which tests run beside
// this one, adds a field.
func marshalMessage(enc cbor.EncMode, message *wireMessage) ([]byte, error) {
	return enc.Marshal(message)
}
