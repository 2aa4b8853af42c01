package fleet

import (
	"encoding/json"
	"errors"
	"io/fs"
	"net/netip"
	"os"
	"slices"

	"github.com/google/renameio/v2"

	"ryerill/fleet/member"
)

// memory is what a copy keeps over a restart: where others were, and which start
// of its own was the last, whatever the clock says at the next.
type memory struct {
	Fleet   string   `json:"fleet"`
	Name    string   `json:"name"`
	Epoch   uint64   `json:"epoch"`
	Members []string `json:"members"` // addresses
}

const mostMemory = 64 << 10 // bytes of the file

// remembered reads what was kept. The seeds of the configuration come first; what
// can't be used is logged and passed over.
func (f *Fleet) remembered() (seeds []string, epoch uint64) {
	seeds = slices.Clone(f.cfg.Seeds)
	if f.cfg.Remember == "" {
		return seeds, 0
	}
	var m memory
	info, err := os.Stat(f.cfg.Remember)
	if err == nil && info.Size() > mostMemory {
		err = errors.New("too large")
	}
	if err == nil {
		var text []byte
		if text, err = os.ReadFile(f.cfg.Remember); err == nil {
			err = json.Unmarshal(text, &m)
		}
	}
	switch {
	case errors.Is(err, fs.ErrNotExist):
		return seeds, 0
	case err != nil:
		f.log.Warn("fleet: what was remembered can't be used", "file", f.cfg.Remember, "error", err)
		return seeds, 0
	case m.Fleet != f.cfg.Fleet || m.Name != f.cfg.Name:
		f.log.Warn("fleet: what was remembered is of another copy", "file", f.cfg.Remember, "fleet", m.Fleet, "name", m.Name)
		return seeds, 0
	}
	for _, a := range m.Members {
		if _, err := netip.ParseAddrPort(a); err == nil && len(seeds) < mostSeeds && !slices.Contains(seeds, a) {
			seeds = append(seeds, a)
		}
	}
	return seeds, m.Epoch
}

// remember keeps where others are. A disk that can't is no reason to stop.
func (f *Fleet) remember() {
	if f.cfg.Remember == "" {
		return
	}
	f.mu.Lock()
	m := memory{Fleet: f.cfg.Fleet, Name: f.cfg.Name, Epoch: f.member.Self().Epoch}
	for _, s := range f.member.Members() {
		if !s.Self && (s.Status == member.Alive || s.Status == member.Suspect) && len(m.Members) < mostSeeds {
			m.Members = append(m.Members, f.reach(s.Name, s.Tags.Address))
		}
	}
	f.mu.Unlock()
	text, err := json.Marshal(m)
	if err == nil {
		err = renameio.WriteFile(f.cfg.Remember, text, 0o600)
	}
	if err != nil {
		f.mu.Lock()
		f.complain("the members can't be remembered", "file", f.cfg.Remember, "error", err)
		f.mu.Unlock()
	}
}
