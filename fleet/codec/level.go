//go:build !fleetlater

package codec

// What copies say to each other has a level, which grows with each field or kind that
// others have to understand for a fleet to work. A copy tells the least and the most
// that it speaks; what no two of a fleet have in common is refused before a rollout's
// first stage.
const (
	MinLevel = 1
	MaxLevel = 1
)

// UnknownTags is what this build says of itself that Level 1 does not know.
const UnknownTags = ""

// VersionSuffix tells this build's version from others that are made of one tree.
const VersionSuffix = ""

// later is the message as it is written. The build of a later level, which tests
// play beside this one, adds to it.
func later(w *wireMessage) any { return w }
