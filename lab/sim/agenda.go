package sim

import "time"

// event is a function to be called at a time; events of equal times keep the order in which they were scheduled.
type event struct {
	at       time.Duration
	sequence uint64
	call     func()
}

// agenda is a binary heap of events. It is written out because container/heap boxes each event, which doubles the
// cost of a run.
type agenda []event

func (a agenda) less(i, j int) bool {
	return a[i].at < a[j].at || a[i].at == a[j].at && a[i].sequence < a[j].sequence
}

func (a *agenda) push(e event) {
	heap := append(*a, e)
	for i := len(heap) - 1; i > 0; {
		parent := (i - 1) / 2
		if !heap.less(i, parent) {
			break
		}
		heap[i], heap[parent] = heap[parent], heap[i]
		i = parent
	}
	*a = heap
}

// pop removes the first event; the agenda must not be empty.
func (a *agenda) pop() event {
	heap := *a
	first := heap[0]
	last := len(heap) - 1
	heap[0] = heap[last]
	heap[last] = event{}
	heap = heap[:last]
	for i := 0; ; {
		child := 2*i + 1
		if child >= last {
			break
		}
		if child+1 < last && heap.less(child+1, child) {
			child++
		}
		if !heap.less(child, i) {
			break
		}
		heap[i], heap[child] = heap[child], heap[i]
		i = child
	}
	*a = heap
	return first
}
