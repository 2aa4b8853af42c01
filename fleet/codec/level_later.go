//go:build fleetlater

package codec

// This build plays a later program: it speaks another level too, says more of itself,
// and its messages have a field that this level does not know.
const (
	MinLevel      = 1
	MaxLevel      = 2
	VersionSuffix = " later"
	UnknownTags   = "\xa1\x18\x64\x65later" // {100: "later"}
)

func later(w *wireMessage) any {
	return struct {
		*wireMessage
		Later []string `cbor:"99,keyasint"`
	}{w, []string{"not", "known"}}
}
