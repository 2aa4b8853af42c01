package membership

// Bounds of what a member may announce. What exceeds them is cut by [Tags.Bound].
const (
	MaxName      = 64  // bytes of a name, an address or a tag
	MaxPools     = 16  // number of pools
	MaxPoolBytes = 256 // bytes of the names of all pools together
	MaxUnknown   = 128 // bytes of tags that only a later program knows
)

// Tags is what a member announces about itself, beyond that it is there.
type Tags struct {
	Address        string   `json:"Address"` // for datagrams and sync connections, as the member itself advertises it
	Zone           string   `json:"Zone"`
	Tier           int      `json:"Tier"`
	Pools          []string `json:"Pools"`
	ProgramVersion string   `json:"Program"`
	SettingsHash   string   `json:"Settings"`
	Phase          Phase    `json:"Phase"`
	MinLevel       uint8    `json:"Least"` // lowest protocol level that it understands: see package codec
	MaxLevel       uint8    `json:"Most"`  // highest protocol level that it understands
	Unknown        string   `json:"Later"` // encoded tags that this program does not know, passed on as received
}

// Bound cuts what exceeds the bounds that others check, and reports whether
// anything was cut.
func (t *Tags) Bound() (cut bool) {
	for _, text := range []*string{&t.Address, &t.Zone, &t.ProgramVersion, &t.SettingsHash} {
		if len(*text) > MaxName {
			*text = (*text)[:MaxName]
			cut = true
		}
	}
	if len(t.Unknown) > MaxUnknown {
		t.Unknown = ""
		cut = true
	}
	for !PoolsFit(t.Pools) {
		t.Pools = t.Pools[:len(t.Pools)-1]
		cut = true
	}
	return cut
}

// PoolsFit reports whether the names of pools keep the bounds.
func PoolsFit(names []string) bool {
	total := 0
	for _, name := range names {
		total += len(name)
	}
	return len(names) <= MaxPools && total <= MaxPoolBytes
}

// valid reports whether tags keep the bounds.
func (t *Tags) valid() bool {
	for _, text := range []string{t.Address, t.Zone, t.ProgramVersion, t.SettingsHash} {
		if len(text) > MaxName {
			return false
		}
	}
	return PoolsFit(t.Pools) && len(t.Unknown) <= MaxUnknown
}
