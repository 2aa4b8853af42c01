package fleet

import (
	"fmt"

	"ryerill/fleet/membership"
	"ryerill/fleet/placement"
)

// Status is what the door tells of the fleet. Ages are in milliseconds; -1 is never.
type Status struct {
	Fleet         string                    `json:"fleet"`
	Name          string                    `json:"name"`
	Epoch         uint64                    `json:"epoch"`
	Incarnation   uint32                    `json:"count"`
	Displaced     bool                      `json:"displaced"`
	Partitioned   bool                      `json:"likely_cut_off"`
	PartitionedMS int64                     `json:"cut_off_ms,omitempty"`
	StaleMS       int64                     `json:"stale_ms"` // since when nobody was heard; 0 while somebody is
	Health        int                       `json:"health"`   // 0 is good, 8 is worst
	Digest        string                    `json:"digest"`   // equal where the same is known of all
	RTTMicros     int64                     `json:"rtt_us"`
	Pools         map[string]PositionStatus `json:"pools"`
	Members       []MemberStatus            `json:"members"`
	Frames        Stats                     `json:"frames"`
	Detector      membership.Stats          `json:"detector"`
	UptimeMS      int64                     `json:"uptime_ms"`
}

// PositionStatus is this copy's place among those of a pool.
type PositionStatus struct {
	Index         int     `json:"number"`
	Of            int     `json:"of"`
	QuotaReplicas int     `json:"budgets_among"`
	QuotaFraction float64 `json:"own_part"`
	Alive         int     `json:"there"`
	Unreachable   int     `json:"out_of_reach"`
	StaleMS       int64   `json:"stale_ms"`
}

// MemberStatus is what is known of one copy.
type MemberStatus struct {
	Name        string   `json:"name"`
	Status      string   `json:"status"`
	Self        bool     `json:"self,omitempty"`
	Phase       string   `json:"phase"`
	Address     string   `json:"address"`
	Zone        string   `json:"zone,omitempty"`
	Tier        int      `json:"tier"`
	Pools       []string `json:"pools"`
	Program     string   `json:"program"`
	Settings    string   `json:"settings"`
	Epoch       uint64   `json:"epoch"`
	Incarnation uint32   `json:"count"`
	SinceMS     int64    `json:"since_ms"`        // how long it has been of this status
	HeardMS     int64    `json:"heard_ms"`        // how long ago it spoke to this copy itself
	Levels      [2]uint8 `json:"speaks"`          // least and most level
	UnknownTags string   `json:"later,omitempty"` // what it says that this program does not know, in hexadecimal
	SuspectedBy []string `json:"accused_by,omitempty"`
	ReportedBy  string   `json:"by,omitempty"`
}

// Status tells how things stand.
func (f *Fleet) Status() Status {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.now()
	self := f.member.Self()
	cut, since := f.view.Partitioned()
	s := Status{Fleet: f.cfg.Fleet, Name: f.cfg.Name, Epoch: self.Epoch, Incarnation: self.Incarnation, Displaced: f.member.Displaced(), Partitioned: cut,
		Health: f.member.LocalHealth(), Digest: hex(f.member.Digest()), RTTMicros: f.member.RTT().Microseconds(), Pools: map[string]PositionStatus{},
		Frames: f.figures, Detector: f.member.Stats, UptimeMS: now.Milliseconds()}
	if cut {
		s.PartitionedMS = (now - since).Milliseconds()
	}
	s.Frames.Invalid = map[string]uint64{}
	for k, n := range f.figures.Invalid {
		s.Frames.Invalid[k] = n
	}
	for _, name := range f.view.Pools() {
		p := f.view.Position(name)
		s.Pools[name] = placeOf(p)
		s.StaleMS = max(s.StaleMS, p.StaleFor.Milliseconds())
	}
	for _, m := range f.member.Members() {
		one := MemberStatus{Name: m.Name, Status: m.Status.String(), Self: m.Self, Epoch: m.Epoch, Incarnation: m.Incarnation, SinceMS: (now - m.StatusSince).Milliseconds(),
			HeardMS: -1, SuspectedBy: m.SuspectedBy, ReportedBy: m.ReportedBy}
		if m.LastHeard >= 0 {
			one.HeardMS = (now - m.LastHeard).Milliseconds()
		}
		if t := m.Tags; t != nil {
			one.Phase, one.Address, one.Zone, one.Tier, one.Pools, one.Program, one.Settings = t.Phase.String(), t.Address, t.Zone, t.Tier, t.Pools, t.ProgramVersion, t.SettingsHash
			one.Levels, one.UnknownTags = [2]uint8{t.MinLevel, t.MaxLevel}, fmt.Sprintf("%x", t.Unknown)
		}
		s.Members = append(s.Members, one)
	}
	return s
}

func placeOf(p placement.Position) PositionStatus {
	return PositionStatus{Index: p.Index, Of: p.Of, QuotaReplicas: p.QuotaReplicas, QuotaFraction: p.QuotaFraction(), Alive: p.Alive, Unreachable: p.Unreachable, StaleMS: p.StaleFor.Milliseconds()}
}

func hex(n uint64) string {
	const digits = "0123456789abcdef"
	var b [16]byte
	for i := range b {
		b[i] = digits[n>>(60-4*i)&15]
	}
	return string(b[:])
}
