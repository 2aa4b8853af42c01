package fleet

import (
	"log/slog"
	"path/filepath"
	"testing"
	"time"

	"ryerill/fleet/membership"
	"ryerill/fleet/quota"
)

// newIdleHost returns a host that does not run, so that only the test generates events.
func newIdleHost(t *testing.T, stateFile string) *Fleet {
	t.Helper()
	f, err := New(Config{
		Name: "a", Fleet: "f", Listen: "127.0.0.1:0", Keys: testKeys, ReplicaCounts: map[string]int{"main": 2},
		Pools: []string{"main"}, Sharing: &SharingConfig{Quotas: true}, StateFile: stateFile,
	}, slog.New(slog.DiscardHandler), nil)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(f.Close)
	return f
}

// servingMember returns the record of a serving member with an address.
func servingMember(name, address string) membership.Record {
	return membership.Record{
		State: membership.State{Name: name, Epoch: 1, Status: membership.Alive},
		Tags:  &membership.Tags{Address: address, Pools: []string{"main"}, Phase: membership.Serving},
	}
}

// receiveRecords passes gossip with the records, sent by a member named b, to f.
func (f *Fleet) receiveRecords(records ...membership.Record) {
	f.handleLocked(membership.Event{Kind: membership.MessageReceived, Message: &membership.Message{
		Kind: membership.Gossip, From: servingMember("b", "").State, Updates: records,
	}})
}

func (f *Fleet) persistReplicaSetLocked() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.persistReplicaSet()
}

// receiveOne returns the next datagram that a transport receives.
func receiveOne(t *testing.T, receiver *transport) *membership.Message {
	t.Helper()
	buffer := make([]byte, 2000)
	if err := receiver.udp.SetReadDeadline(time.Now().Add(10 * time.Second)); err != nil {
		t.Fatal(err)
	}
	n, _, err := receiver.udp.ReadFromUDPAddrPort(buffer)
	if err != nil {
		t.Fatal(err)
	}
	message := receiver.decodeDatagram(buffer[:n], "a")
	if message == nil {
		t.Fatal("datagram dropped, want it decoded")
	}
	return message
}

// Every message announces the persisted replica set only, because the other replicas rely on the sender to count them
// after a restart too.
func TestMessagesAnnounceOnlyPersistedReplicaSet(t *testing.T) {
	for name, kind := range map[string]membership.MessageKind{
		"state sync":      membership.StateSync,
		"rollout message": membership.Rollout,
	} {
		t.Run(name, func(t *testing.T) {
			receiver := newTestTransport(t, nil)
			f := newIdleHost(t, filepath.Join(t.TempDir(), "no", "such", "folder"))
			announced := func() uint64 {
				f.mu.Lock()
				f.sendToReplica("b", kind, []byte("anything"))
				f.mu.Unlock()
				return receiveOne(t, receiver).ReplicaSetDigest
			}
			f.receiveRecords(servingMember("b", receiver.listenAddress().String()))
			f.goroutines.Wait() // the write fails
			if got := announced(); got != 0 {
				t.Errorf("announced digest %x without a persisted set, want 0", got)
			}
			f.stateFile.path = filepath.Join(t.TempDir(), "state")
			f.persistReplicaSetLocked()
			f.goroutines.Wait()
			if got := announced(); got != f.positions.tracker.ReplicaSetDigest() || got == 0 {
				t.Errorf("announced digest %x, want the persisted %x", got, f.positions.tracker.ReplicaSetDigest())
			}
		})
	}
}

// A replica set is not announced while loans exceed the division of the quota among it, even if the set grew during a
// slow write of the state file.
func TestReplicaSetGrownDuringWriteNotAnnouncedBeforeLoansFit(t *testing.T) {
	f := newIdleHost(t, filepath.Join(t.TempDir(), "state"))
	f.receiveRecords(servingMember("b", "127.0.0.1:1"))
	f.goroutines.Wait()
	f.mu.Lock()
	digestOfTwo := f.persisted.digest
	f.mu.Unlock()
	if digestOfTwo == 0 {
		t.Fatal("set of two replicas not announced")
	}
	f.lendAlmostAll(t)

	f.persisting.Lock() // simulates a slow disk
	f.persistReplicaSetLocked()
	f.receiveRecords(servingMember("c", "127.0.0.1:2"))
	f.persisting.Unlock()
	f.goroutines.Wait()

	f.mu.Lock()
	defer f.mu.Unlock()
	if f.loansFit() {
		t.Fatal("loans fit the division among three replicas, want a set-up in which they exceed it")
	}
	if f.persisted.digest != digestOfTwo {
		t.Error("announced a set that gives others more than the rest of the quota")
	}
}

// lendAlmostAll lends b the most that this replica may lend of a quota shared by two replicas.
func (f *Fleet) lendAlmostAll(t *testing.T) {
	t.Helper()
	f.mu.Lock()
	defer f.mu.Unlock()
	quotas := f.stateSync.syncer.Quotas
	*quotas = *quota.New("a", 1, 1, false, f.now()) // has no earlier loans
	f.stateSync.setLimits(f.now(), map[string]float64{"main/acme": 100})
	f.updateQuotaReplicas()
	request := quota.Message{Request: quota.RequestID{Replica: "b", Epoch: 1, Seq: 1}, Quota: "main/acme", Amount: 45}
	granted := quotas.Handle(f.now(), "b", request, nil)
	if len(granted) != 1 || granted[0].Message.Amount != request.Amount {
		t.Fatalf("got grants %+v, want one of the requested amount", granted)
	}
}
