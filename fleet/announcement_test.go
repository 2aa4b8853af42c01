package fleet

import (
	"log/slog"
	"path/filepath"
	"testing"
	"time"

	"ryerill/fleet/membership"
	"ryerill/fleet/quota"
)

// newIdleHost returns a host that doesn't run, so that nothing happens but what the test does.
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

// serving is the record of another member at an address.
func serving(name, address string) membership.Record {
	return membership.Record{
		State: membership.State{Name: name, Epoch: 1, Status: membership.Alive},
		Tags:  &membership.Tags{Address: address, Pools: []string{"main"}, Phase: membership.Serving},
	}
}

// learn has f learn records from a member named b.
func (f *Fleet) learn(records ...membership.Record) {
	f.handleLocked(membership.Event{Kind: membership.MessageReceived, Message: &membership.Message{
		Kind: membership.Gossip, From: serving("b", "").State, Updates: records,
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
		t.Fatal("the datagram is dropped")
	}
	return message
}

// Whatever a replica sends tells others no replica set but the one that is on its disk: they rely on it to count them
// after a restart too.
func TestNoMessageAnnouncesAReplicaSetThatIsNotPersisted(t *testing.T) {
	for name, kind := range map[string]membership.MessageKind{
		"of shared state": membership.StateSync,
		"of a rollout":    membership.Rollout,
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
			f.learn(serving("b", receiver.listenAddress().String()))
			f.goroutines.Wait() // for the write that fails
			if got := announced(); got != 0 {
				t.Errorf("%x is announced, and nothing is on the disk", got)
			}
			f.stateFile.path = filepath.Join(t.TempDir(), "state")
			f.persistReplicaSetLocked()
			f.goroutines.Wait()
			if got := announced(); got != f.positions.tracker.ReplicaSetDigest() || got == 0 {
				t.Errorf("%x is announced, and %x is on the disk", got, f.positions.tracker.ReplicaSetDigest())
			}
		})
	}
}

// A replica set is not announced while loans do not fit the division among it, also if it has grown while the disk was
// slow.
func TestAReplicaSetThatGrowsDuringAWriteIsNotAnnouncedBeforeLoansFit(t *testing.T) {
	f := newIdleHost(t, filepath.Join(t.TempDir(), "state"))
	f.learn(serving("b", "127.0.0.1:1"))
	f.goroutines.Wait()
	f.mu.Lock()
	of2 := f.persisted.digest
	f.mu.Unlock()
	if of2 == 0 {
		t.Fatal("the first set is not announced")
	}
	f.lendAlmostAll(t)

	f.persisting.Lock() // the disk is slow
	f.persistReplicaSetLocked()
	f.learn(serving("c", "127.0.0.1:2"))
	f.persisting.Unlock()
	f.goroutines.Wait()

	f.mu.Lock()
	defer f.mu.Unlock()
	if f.loansFit() {
		t.Fatal("what is lent fits: the test shows nothing")
	}
	if f.persisted.digest != of2 {
		t.Error("a set is announced by which others have more than is left of the quota")
	}
}

// lendAlmostAll lends b as much as this replica may lend of a quota, in a division among two.
func (f *Fleet) lendAlmostAll(t *testing.T) {
	t.Helper()
	f.mu.Lock()
	defer f.mu.Unlock()
	quotas := f.stateSync.syncer.Quotas
	*quotas = *quota.New("a", 1, 1, false, f.now()) // one that has lent nothing before
	f.stateSync.setLimits(f.now(), map[string]float64{"main/acme": 100})
	f.updateQuotaReplicas()
	request := quota.Message{Request: quota.RequestID{Replica: "b", Epoch: 1, Seq: 1}, Quota: "main/acme", Amount: 45}
	granted := quotas.Handle(f.now(), "b", request, nil)
	if len(granted) != 1 || granted[0].Message.Amount != request.Amount {
		t.Fatalf("granted: %+v", granted)
	}
}
