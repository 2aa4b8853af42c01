package proxy

import (
	"log/slog"
	"maps"
	"sync"
	"time"

	"ryerill/upstream"
)

// maxUnsolicitedEndpoints bounds the endpoints whose unsolicited bytes are counted by name; those of further ones are
// counted together.
const maxUnsolicitedEndpoints = 64

const otherEndpoints = "other"

// unsolicitedCounts are how often endpoints have sent what nobody asked for.
type unsolicitedCounts struct {
	Total int64 `json:"total"`
	// Doubtful are those that were another response: the one before may have been another request's.
	Doubtful   int64            `json:"responses_in_doubt"`
	ByKind     map[string]int64 `json:"by_kind"`
	ByEndpoint map[string]int64 `json:"by_endpoint"`
}

// unsolicitedLog counts what the endpoints of a pool send unasked, and logs the first and each doubling. It implements
// [upstream.Observer].
type unsolicitedLog struct {
	log *slog.Logger

	// mu guards what follows.
	mu     sync.Mutex
	counts unsolicitedCounts
}

func newUnsolicitedLog(log *slog.Logger) *unsolicitedLog {
	return &unsolicitedLog{
		log:    log,
		counts: unsolicitedCounts{ByKind: map[string]int64{}, ByEndpoint: map[string]int64{}},
	}
}

// UnsolicitedBytes implements [upstream.Observer].
func (l *unsolicitedLog) UnsolicitedBytes(found upstream.Unsolicited) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.counts.Total++
	l.counts.ByKind[string(found.Kind)]++
	if found.Kind == upstream.OtherResponse {
		l.counts.Doubtful++
	}
	counted := found.Endpoint
	if _, known := l.counts.ByEndpoint[counted]; !known && len(l.counts.ByEndpoint) >= maxUnsolicitedEndpoints {
		counted = otherEndpoints
	}
	l.counts.ByEndpoint[counted]++
	if !isFirstOrDoubled(l.counts.Total) {
		return
	}
	l.log.Warn("unsolicited bytes from an endpoint", "endpoint", found.Endpoint, "kind", string(found.Kind),
		"connection", found.Connection.Number, "uses", found.Connection.Uses, "request", found.LastRequest,
		"late", found.Late.Round(time.Microsecond), "count", l.counts.Total)
}

// report returns a copy of the counts.
func (l *unsolicitedLog) report() unsolicitedCounts {
	l.mu.Lock()
	defer l.mu.Unlock()
	report := l.counts
	report.ByKind = maps.Clone(l.counts.ByKind)
	report.ByEndpoint = maps.Clone(l.counts.ByEndpoint)
	return report
}
