package fleet

import (
	"fmt"

	"ryerill/fleet/membership"
	"ryerill/fleet/placement"
)

// Status is what the door tells of the fleet. Ages are in milliseconds; -1 is never.
type Status struct {
	Fleet     string             `json:"fleet"`
	Name      string             `json:"name"`
	Epoch     uint64             `json:"epoch"`
	Count     uint32             `json:"count"`
	Displaced bool               `json:"displaced"`
	CutOff    bool               `json:"likely_cut_off"`
	CutOffMS  int64              `json:"cut_off_ms,omitempty"`
	StaleMS   int64              `json:"stale_ms"` // since when nobody was heard; 0 while somebody is
	Health    int                `json:"health"`   // 0 is good, 8 is worst
	Digest    string             `json:"digest"`   // equal where the same is known of all
	RTTMicros int64              `json:"rtt_us"`
	Pools     map[string]Place   `json:"pools"`
	Members   []Member           `json:"members"`
	Frames    Figures            `json:"frames"`
	Detector  membership.Figures `json:"detector"`
	UptimeMS  int64              `json:"uptime_ms"`
}

// Place is this copy's place among those of a pool.
type Place struct {
	Number  int     `json:"number"`
	Of      int     `json:"of"`
	Among   int     `json:"budgets_among"`
	Part    float64 `json:"own_part"`
	There   int     `json:"there"`
	Lost    int     `json:"out_of_reach"`
	StaleMS int64   `json:"stale_ms"`
}

// Member is what is known of one copy.
type Member struct {
	Name     string   `json:"name"`
	Status   string   `json:"status"`
	Self     bool     `json:"self,omitempty"`
	Phase    string   `json:"phase"`
	Address  string   `json:"address"`
	Zone     string   `json:"zone,omitempty"`
	Tier     int      `json:"tier"`
	Pools    []string `json:"pools"`
	Program  string   `json:"program"`
	Settings string   `json:"settings"`
	Epoch    uint64   `json:"epoch"`
	Count    uint32   `json:"count"`
	SinceMS  int64    `json:"since_ms"`        // how long it has been of this status
	HeardMS  int64    `json:"heard_ms"`        // how long ago it spoke to this copy itself
	Speaks   [2]uint8 `json:"speaks"`          // least and most level
	Later    string   `json:"later,omitempty"` // what it says that this program does not know, in hexadecimal
	Accused  []string `json:"accused_by,omitempty"`
	By       string   `json:"by,omitempty"`
}

// Status tells how things stand.
func (f *Fleet) Status() Status {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.now()
	self := f.member.Self()
	cut, since := f.view.CutOff()
	s := Status{Fleet: f.cfg.Fleet, Name: f.cfg.Name, Epoch: self.Epoch, Count: self.Inc, Displaced: f.member.Displaced(), CutOff: cut,
		Health: f.member.Health(), Digest: hex(f.member.Digest()), RTTMicros: f.member.RTT().Microseconds(), Pools: map[string]Place{},
		Frames: f.figures, Detector: f.member.Figures, UptimeMS: now.Milliseconds()}
	if cut {
		s.CutOffMS = (now - since).Milliseconds()
	}
	s.Frames.Bad = map[string]uint64{}
	for k, n := range f.figures.Bad {
		s.Frames.Bad[k] = n
	}
	for _, name := range f.view.Pools() {
		p := f.view.Pool(name)
		s.Pools[name] = placeOf(p)
		s.StaleMS = max(s.StaleMS, p.Stale.Milliseconds())
	}
	for _, m := range f.member.Members() {
		one := Member{Name: m.Name, Status: m.Status.String(), Self: m.Self, Epoch: m.Epoch, Count: m.Inc, SinceMS: (now - m.Since).Milliseconds(),
			HeardMS: -1, Accused: m.Accused, By: m.By}
		if m.Heard >= 0 {
			one.HeardMS = (now - m.Heard).Milliseconds()
		}
		if t := m.Tags; t != nil {
			one.Phase, one.Address, one.Zone, one.Tier, one.Pools, one.Program, one.Settings = t.Phase.String(), t.Address, t.Zone, t.Tier, t.Pools, t.Program, t.Settings
			one.Speaks, one.Later = [2]uint8{t.Least, t.Most}, fmt.Sprintf("%x", t.Later)
		}
		s.Members = append(s.Members, one)
	}
	return s
}

func placeOf(p placement.Place) Place {
	return Place{Number: p.Self, Of: p.Of, Among: p.Among, Part: p.Part(), There: p.There, Lost: p.Lost, StaleMS: p.Stale.Milliseconds()}
}

func hex(n uint64) string {
	const digits = "0123456789abcdef"
	var b [16]byte
	for i := range b {
		b[i] = digits[n>>(60-4*i)&15]
	}
	return string(b[:])
}
