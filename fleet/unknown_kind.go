//go:build !fleetlater

package fleet

// sendUnknownKind sends nothing: only the build that stands in for a later program sends
// messages of a kind that level 1 does not know.
func (f *Fleet) sendUnknownKind() {}
