package balancer

import (
	"slices"
	"testing"
)

func TestKeyQueuesKeepArrivalOrder(t *testing.T) {
	queues := keyQueues{}
	first, second, other := &request{key: 7}, &request{key: 7}, &request{key: 8}
	for _, r := range []*request{first, other, second} {
		queues.push(r)
	}
	if len(queues) != 2 || !slices.Equal(queues[7].all(), []*request{first, second}) {
		t.Fatalf("got queues %v, want one of two requests and one of one", queues)
	}
	copied := queues[7].all()
	queues.remove(first)
	if !slices.Equal(queues[7].all(), []*request{second}) || copied[0] != first {
		t.Errorf("got queue %v and earlier copy %v, want one request less and the copy unchanged",
			queues[7].all(), copied)
	}
	queues.remove(first)
	queues.remove(&request{key: 9})
	if len(queues) != 2 || len(queues[7].requests) != 1 {
		t.Errorf("got queues %v, want no change by removing unknown requests", queues)
	}
}
