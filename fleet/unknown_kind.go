//go:build !fleetlater

package fleet

// sendUnknownKind does nothing. Only a build with the tag fleetlater, which simulates a later
// program, sends messages of a kind that protocol level 1 does not know.
func (f *Fleet) sendUnknownKind() {}
