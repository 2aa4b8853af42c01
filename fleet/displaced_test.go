package fleet

import (
	"testing"

	"ryerill/fleet/membership"
)

// A process that a later one of its name has replaced sends others nothing: they would report it as a second replica of
// one name, long after an upgrade as it should be.
func TestADisplacedReplicaSendsNothing(t *testing.T) {
	f := newIdleHost(t, "")
	b := serving("b", "127.0.0.1:1")
	f.learn(b)
	f.handleLocked(membership.Event{Kind: membership.SyncRequested, Message: &membership.Message{From: b.State}})
	send := func() uint64 {
		before := f.transport.statistics()
		f.mu.Lock()
		defer f.mu.Unlock()
		f.sendToReplica("b", membership.StateSync, []byte("anything"))
		after := f.transport.statistics()
		return after.FramesOut + after.Unsent - before.FramesOut - before.Unsent
	}
	if send() != 1 {
		t.Fatal("it sends nothing before")
	}
	successor := serving("a", "127.0.0.1:2")
	successor.Epoch = f.list.Self().Epoch + 1
	f.learn(successor)
	if !f.list.Displaced() {
		t.Fatal("it is not displaced")
	}
	if sent := send(); sent != 0 {
		t.Errorf("%d datagrams are sent", sent)
	}
}
