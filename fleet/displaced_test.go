package fleet

import (
	"testing"

	"ryerill/fleet/membership"
)

// A process displaced by a newer one with the same name sends nothing. Otherwise other replicas would report a name
// conflict long after a regular upgrade.
func TestDisplacedReplicaSendsNothing(t *testing.T) {
	f := newIdleHost(t, "")
	b := servingMember("b", "127.0.0.1:1")
	f.receiveRecords(b)
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
		t.Fatal("no datagram sent before the displacement, want 1")
	}
	successor := servingMember("a", "127.0.0.1:2")
	successor.Epoch = f.list.Self().Epoch + 1
	f.receiveRecords(successor)
	if !f.list.Displaced() {
		t.Fatal("replica not displaced by its successor")
	}
	if sent := send(); sent != 0 {
		t.Errorf("got %d datagrams from the displaced replica, want 0", sent)
	}
}
