package membership

import (
	"fmt"
	"strings"
	"testing"
	"time"
)

func update(name string, status Status) Record {
	return Record{State: State{Name: name, Epoch: 1, Status: status}}
}

func names(records []Record) string {
	var all []string
	for _, r := range records {
		all = append(all, r.Name)
	}
	return strings.Join(all, " ")
}

// A new update replaces the older one of its member, and is first in the queue.
func TestPushReplacesOlderUpdate(t *testing.T) {
	var q updateQueue
	q.push(update("a", Alive))
	q.push(update("b", Alive))
	q.push(update("a", Suspect))
	if len(q.entries) != 2 || q.entries[0].Name != "a" || q.entries[0].Status != Suspect {
		t.Errorf("got queue %+v, want the suspicion of a, then b", q.entries)
	}
	for i := range maxQueuedUpdates + 10 {
		q.push(update(fmt.Sprint("m", i), Alive))
	}
	if len(q.entries) != maxQueuedUpdates {
		t.Errorf("got %d queued updates, want maxQueuedUpdates", len(q.entries))
	}
}

// Messages carry as many updates as fit, those with the fewest transmissions first. An update is
// dropped once it was sent often enough for the number of members.
func TestFillPrefersLeastSentUpdates(t *testing.T) {
	q := updateQueue{bytesPerSecond: 1e9}
	for i := range 40 {
		q.push(update(fmt.Sprint("m", i), Alive))
	}
	first, second := &Message{}, &Message{}
	q.fill(time.Second, first, 5)
	q.fill(time.Second, second, 5)
	size := 0
	for i := range first.Updates {
		size += first.Updates[i].Size()
	}
	if len(first.Updates) == 0 || size > maxUpdateBytes {
		t.Errorf("got %d updates of %d bytes, want at least one within maxUpdateBytes", len(first.Updates), size)
	}
	if names(first.Updates) == names(second.Updates) {
		t.Errorf("both messages carry the same updates: %s", names(second.Updates))
	}
	messages := 0
	for ; len(q.entries) > 0 && messages < 1000; messages++ {
		q.fill(time.Second, &Message{}, 5)
	}
	if len(q.entries) > 0 {
		t.Errorf("got %d queued updates after %d messages, want 0", len(q.entries), messages)
	}
}

// Without credit a message still carries the first update, and further ones only if urgent.
func TestUrgentUpdatesOverdrawCredit(t *testing.T) {
	var q updateQueue
	whole := update("whole", Alive)
	whole.Tags = &Tags{Address: "127.0.0.1:1"}
	q.push(update("suspect", Suspect))
	q.push(whole)
	q.push(update("first", Dead))
	message := &Message{}
	q.fill(0, message, 3)
	if got := names(message.Updates); got != "first suspect" {
		t.Errorf("got updates %s, want first suspect", got)
	}
	if q.credit >= 0 || !q.shouldSend() {
		t.Errorf("got credit %v and shouldSend %v, want negative and true", q.credit, q.shouldSend())
	}
	q.entries = []queuedUpdate{{Record: whole}}
	if q.shouldSend() {
		t.Error("record with tags: got shouldSend true without credit, want false")
	}
}
