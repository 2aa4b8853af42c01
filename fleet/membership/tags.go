package membership

// Bounds of the tags that a member may announce. [Tags.Bound] enforces them.
const (
	MaxName      = 64  // bytes of a name, an address or a tag
	MaxPools     = 16  // number of pools
	MaxPoolBytes = 256 // bytes of the names of all pools together
	MaxUnknown   = 128 // bytes of tags that only a later version knows
)

// Tags is the metadata that a member announces about itself.
type Tags struct {
	Address        string   `json:"Address"` // for datagrams and sync connections, as the member itself advertises it
	Zone           string   `json:"Zone"`
	Tier           int      `json:"Tier"`
	Pools          []string `json:"Pools"`
	ProgramVersion string   `json:"Program"`
	SettingsHash   string   `json:"Settings"`
	Phase          Phase    `json:"Phase"`
	MinLevel       uint8    `json:"Least"` // lowest supported protocol level: see package codec
	MaxLevel       uint8    `json:"Most"`  // highest supported protocol level
	Unknown        string   `json:"Later"` // encoded tags unknown to this version, forwarded as received
}

// Bound truncates tags that exceed the bounds, since other members reject them otherwise.
// It reports whether anything was cut.
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

// PoolsFit reports whether the pool names are within MaxPools and MaxPoolBytes.
func PoolsFit(names []string) bool {
	total := 0
	for _, name := range names {
		total += len(name)
	}
	return len(names) <= MaxPools && total <= MaxPoolBytes
}

// valid reports whether the tags are within the bounds.
func (t *Tags) valid() bool {
	for _, text := range []string{t.Address, t.Zone, t.ProgramVersion, t.SettingsHash} {
		if len(text) > MaxName {
			return false
		}
	}
	return PoolsFit(t.Pools) && len(t.Unknown) <= MaxUnknown
}
