package proxy

import (
	"log/slog"
	"maps"
	"sync"
	"time"

	"ryerill/upstream"
)

// maxUnsolicitedEndpoints bounds the endpoints counted by name. Further endpoints are counted together as
// otherEndpoints.
const maxUnsolicitedEndpoints = 64

const otherEndpoints = "other"

// unsolicitedCounts counts the occurrences of unsolicited bytes from endpoints.
type unsolicitedCounts struct {
	Total int64 `json:"total"`
	// InDoubt counts additional responses: the response before may have belonged to another request.
	InDoubt    int64            `json:"responses_in_doubt"`
	ByKind     map[string]int64 `json:"by_kind"`
	ByEndpoint map[string]int64 `json:"by_endpoint"`
}

// unsolicitedLog counts unsolicited bytes from the endpoints of a pool, and logs the first occurrence and each doubling
// of the count. It implements [upstream.Observer].
type unsolicitedLog struct {
	log *slog.Logger

	mu sync.Mutex
	// counts is guarded by mu.
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
		l.counts.InDoubt++
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
