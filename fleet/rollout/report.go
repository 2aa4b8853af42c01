package rollout

import (
	"cmp"
	"slices"
)

// Bounds of reports.
const (
	maxReportValue  = 1e12
	servedTolerance = 1.0001 // for rounding, of served weight to offered weight
	closingDelay    = 3      // intervals to wait for late reports before an interval is closed
	maxOpenCells    = 4096
	minOffered      = 3.0 // weight, responses or requests, on either side of a comparison
)

// Report holds the statistics of one replica, pool and interval.
type Report struct {
	Name            string  `json:"Name"`
	Zone            string  `json:"Zone"`
	Pool            string  `json:"Pool"`
	Interval        uint64  `json:"Span"`  // number of the interval, by a roughly synchronized clock
	OfferedWeight   float64 `json:"Asked"` // priority weight of the requests
	ServedWeight    float64 `json:"Good"`  // priority weight of the requests that were answered in time
	Responses       float64 `json:"Answers"`
	ResponseSeconds float64 `json:"Took"` // sum of the latencies of all responses

	Requests      float64 `json:"Requests"` // that ended
	Attempts      float64 `json:"Attempts"` // that ended
	Memory        float64 `json:"Memory"`   // MB that the process holds; 0 if unknown
	Plan          string  `json:"Plan"`     // plan whose order the replica refused
	RefusedReason string  `json:"Refused"`
}

func (r *Report) valid() bool {
	for _, value := range []float64{
		r.OfferedWeight, r.ServedWeight, r.Responses, r.ResponseSeconds, r.Requests, r.Attempts, r.Memory,
	} {
		if !(value >= 0 && value < maxReportValue) {
			return false
		}
	}
	return r.Name != "" && r.ServedWeight <= r.OfferedWeight*servedTolerance
}

// cell is an interval in a zone and pool. Influences such as load or a faulty endpoint affect changed and unchanged
// replicas in a cell equally.
type cell struct {
	zone     string
	pool     string
	interval uint64
}

func (r *Report) cell() cell { return cell{zone: r.Zone, pool: r.Pool, interval: r.Interval} }

// sortedCells returns the keys in a fixed order, so that the rounding of sums is the same on every run.
func sortedCells[V any](byCell map[cell]V) []cell {
	cells := make([]cell, 0, len(byCell))
	for key := range byCell {
		cells = append(cells, key)
	}
	slices.SortFunc(cells, func(a, b cell) int {
		return cmp.Or(cmp.Compare(a.interval, b.interval), cmp.Compare(a.pool, b.pool), cmp.Compare(a.zone, b.zone))
	})
	return cells
}
