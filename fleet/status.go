package fleet

import (
	"fmt"
	"time"

	"ryerill/fleet/membership"
	"ryerill/fleet/placement"
)

// Status is the status of the fleet at the management endpoint. Ages are in milliseconds; -1
// means never.
type Status struct {
	Fleet         string                    `json:"fleet"`
	Name          string                    `json:"name"`
	Epoch         uint64                    `json:"epoch"`
	Incarnation   uint32                    `json:"count"`
	Displaced     bool                      `json:"displaced"`
	Partitioned   bool                      `json:"likely_cut_off"`
	PartitionedMS int64                     `json:"cut_off_ms,omitempty"`
	StaleMS       int64                     `json:"stale_ms"` // time since the last message; 0 while messages arrive
	Health        int                       `json:"health"`   // 0 is best, 8 is worst
	Digest        string                    `json:"digest"`   // equal on replicas with the same view of all members
	RTTMicros     int64                     `json:"rtt_us"`
	Pools         map[string]PositionStatus `json:"pools"`
	Members       []MemberStatus            `json:"members"`
	Frames        Stats                     `json:"frames"`
	Detector      membership.Stats          `json:"detector"`
	UptimeMS      int64                     `json:"uptime_ms"`
}

// PositionStatus is this replica's position among the replicas of a pool.
type PositionStatus struct {
	Index         int     `json:"number"`
	Of            int     `json:"of"`
	QuotaReplicas int     `json:"budgets_among"`
	QuotaFraction float64 `json:"own_part"`
	Alive         int     `json:"there"`
	Unreachable   int     `json:"out_of_reach"`
	StaleMS       int64   `json:"stale_ms"`
}

// MemberStatus is this replica's knowledge of one member.
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
	SinceMS     int64    `json:"since_ms"`        // time in the current status
	HeardMS     int64    `json:"heard_ms"`        // time since the latest message from it
	Levels      [2]uint8 `json:"speaks"`          // lowest and highest protocol level
	UnknownTags string   `json:"later,omitempty"` // tags that this program does not know, in hexadecimal
	SuspectedBy []string `json:"accused_by,omitempty"`
	ReportedBy  string   `json:"by,omitempty"`
}

// HostStatus is the status of the fleet and of this replica's use of its machine.
type HostStatus struct {
	Status
	StateFileError string `json:"state_file_error,omitempty"` // error of the latest write, if it failed
}

// HostStatus returns the status of the fleet and of this replica's host.
func (f *Fleet) HostStatus() HostStatus {
	status := HostStatus{Status: f.Status()}
	f.mu.Lock()
	defer f.mu.Unlock()
	if err := f.persisted.failure; err != nil {
		status.StateFileError = err.Error()
	}
	return status
}

// Status returns the status of the fleet as known to this replica.
func (f *Fleet) Status() Status {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.now()
	self := f.list.Self()
	partitioned, since := f.positions.tracker.Partitioned()
	status := Status{
		Fleet:       f.cfg.Fleet,
		Name:        f.cfg.Name,
		Epoch:       self.Epoch,
		Incarnation: self.Incarnation,
		Displaced:   f.list.Displaced(),
		Partitioned: partitioned,
		Health:      f.list.LocalHealth(),
		Digest:      fmt.Sprintf("%016x", f.list.Digest()),
		RTTMicros:   f.list.RTT().Microseconds(),
		Pools:       map[string]PositionStatus{},
		Frames:      f.transport.statistics(),
		Detector:    f.list.Stats,
		UptimeMS:    now.Milliseconds(),
	}
	if partitioned {
		status.PartitionedMS = (now - since).Milliseconds()
	}
	for _, name := range f.positions.tracker.Pools() {
		position := positionStatus(f.positions.tracker.Position(name))
		status.Pools[name] = position
		status.StaleMS = max(status.StaleMS, position.StaleMS)
	}
	for _, m := range f.list.Members() {
		status.Members = append(status.Members, memberStatus(&m, now))
	}
	return status
}

func positionStatus(p placement.Position) PositionStatus {
	return PositionStatus{
		Index:         p.Index,
		Of:            p.Of,
		QuotaReplicas: p.QuotaReplicas,
		QuotaFraction: p.QuotaFraction(),
		Alive:         p.Alive,
		Unreachable:   p.Unreachable,
		StaleMS:       p.StaleFor.Milliseconds(),
	}
}

func memberStatus(m *membership.MemberInfo, now time.Duration) MemberStatus {
	status := MemberStatus{
		Name:        m.Name,
		Status:      m.Status.String(),
		Self:        m.Self,
		Epoch:       m.Epoch,
		Incarnation: m.Incarnation,
		SinceMS:     (now - m.StatusSince).Milliseconds(),
		HeardMS:     -1,
		SuspectedBy: m.SuspectedBy,
		ReportedBy:  m.ReportedBy,
	}
	if m.LastHeard >= 0 {
		status.HeardMS = (now - m.LastHeard).Milliseconds()
	}
	if m.Tags == nil {
		return status
	}
	status.Phase = m.Tags.Phase.String()
	status.Address = m.Tags.Address
	status.Zone = m.Tags.Zone
	status.Tier = m.Tags.Tier
	status.Pools = m.Tags.Pools
	status.Program = m.Tags.ProgramVersion
	status.Settings = m.Tags.SettingsHash
	status.Levels = [2]uint8{m.Tags.MinLevel, m.Tags.MaxLevel}
	status.UnknownTags = fmt.Sprintf("%x", m.Tags.Unknown)
	return status
}
