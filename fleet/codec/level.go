//go:build !fleetlater

package codec

import "github.com/fxamacker/cbor/v2"

// The protocol level between replicas increases with each message field or kind that all
// replicas must support. A replica announces the lowest and the highest level that it
// supports. A rollout that would leave two replicas without a common level is refused
// before its first stage.
const (
	MinLevel = 1
	MaxLevel = 1
)

// UnknownTags holds the encoded tags of this build that are not part of level 1.
const UnknownTags = ""

// VersionSuffix distinguishes the version of this build from other builds of the same source.
const VersionSuffix = ""

// marshalMessage encodes a message. The build of a later level, which tests run together
// with this one, adds a field.
func marshalMessage(enc cbor.EncMode, message *wireMessage) ([]byte, error) {
	return enc.Marshal(message)
}
