package proxy

import (
	"log/slog"
	"time"

	"ryerill/discovery"
)

const (
	// minListLogInterval is the minimum time between two log lines of a pool about changes of its endpoint list.
	minListLogInterval = time.Second
	// maxLoggedNames bounds the endpoint names in one log line.
	maxLoggedNames = 8
)

// listChanges counts the changes that endpoint lists make to the endpoints of a pool.
type listChanges struct {
	added     int
	withdrawn int // ready to draining
	returned  int // draining to ready
	removed   int
	names     []string // the first withdrawn or removed endpoints
}

// count counts a status change of an endpoint. The status before is empty for a new endpoint.
func (l *listChanges) count(name, before, after string) {
	switch {
	case before == after || after == discovery.Gone: // removals are counted by remove
	case before == "":
		l.added++
	case after == discovery.Ready:
		l.returned++
	default:
		l.withdrawn++
		l.addName(name)
	}
}

// remove counts an endpoint that is no longer listed.
func (l *listChanges) remove(name string) {
	l.removed++
	l.addName(name)
}

func (l *listChanges) addName(name string) {
	if len(l.names) < maxLoggedNames {
		l.names = append(l.names, name)
	}
}

func (l *listChanges) isEmpty() bool { return l.added+l.withdrawn+l.returned+l.removed == 0 }

// listObserver measures how long applying the lists of a pool takes, and logs their changes immediately, but at most
// once per minListLogInterval. It is guarded by the pool's mutex.
type listObserver struct {
	applied      int64
	longestApply time.Duration // blocks all decisions of the pool meanwhile

	pending  listChanges // not logged yet
	loggedAt time.Time   // zero if never
	delayed  *time.Timer // logs the pending changes; nil if not scheduled
}

// listAppliedLocked records that a list has been applied; began is when applying it started.
func (c *core) listAppliedLocked(began time.Time) {
	observer := &c.listObserver
	observer.applied++
	observer.longestApply = max(observer.longestApply, time.Since(began))
	if observer.pending.isEmpty() || observer.delayed != nil {
		return
	}
	if wait := minListLogInterval - time.Since(observer.loggedAt); wait > 0 {
		observer.delayed = time.AfterFunc(wait, c.logListChanges)
		return
	}
	c.logListChangesLocked()
}

func (c *core) logListChanges() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.listObserver.delayed = nil
	c.logListChangesLocked()
}

func (c *core) logListChangesLocked() {
	changes := c.listObserver.pending
	c.log.Info("endpoints changed", "version", c.endpoints.newestVersion, "endpoints", len(c.endpoints.byID),
		slog.Int("added", changes.added), slog.Int("withdrawn", changes.withdrawn),
		slog.Int("returned", changes.returned), slog.Int("removed", changes.removed), slog.Any("names", changes.names))
	c.listObserver.pending = listChanges{}
	c.listObserver.loggedAt = time.Now()
}

// listReport is the management endpoint's report on a pool's endpoint list.
type listReport struct {
	Version        uint64                `json:"version"`        // of the last list applied completely
	NewestVersion  uint64                `json:"newest_version"` // newest version applied at least in part
	Endpoints      int                   `json:"endpoints"`
	Ready          int                   `json:"ready"` // by the list, without overrides
	Applied        int64                 `json:"applied"`
	LongestApplyMS float64               `json:"longest_apply_ms"`
	AgeMS          *int64                `json:"age_ms,omitempty"` // since discovery last answered
	Calls          *discovery.CallCounts `json:"calls,omitempty"`  // to discovery, by all pools that share the client
}

// listReport returns the state of the pool's endpoint list.
func (c *core) listReport() listReport {
	c.mu.Lock()
	defer c.mu.Unlock()
	report := listReport{
		Version:        c.endpoints.listVersion,
		NewestVersion:  c.endpoints.newestVersion,
		Endpoints:      len(c.endpoints.byID),
		Applied:        c.listObserver.applied,
		LongestApplyMS: float64(c.listObserver.longestApply) / float64(time.Millisecond),
	}
	for _, e := range c.endpoints.byID {
		if e.entry.Status == discovery.Ready {
			report.Ready++
		}
	}
	if c.discovery.client == nil {
		return report
	}
	calls := c.discovery.client.Counts()
	report.Calls = &calls
	if !calls.AnsweredAt.IsZero() {
		age := time.Since(calls.AnsweredAt).Milliseconds()
		report.AgeMS = &age
	}
	return report
}
