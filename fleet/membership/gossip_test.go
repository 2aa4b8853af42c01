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

// A member's newer update replaces the older one, and comes before all others.
func TestNewestUpdateOfAMemberIsQueued(t *testing.T) {
	var q updateQueue
	q.push(update("a", Alive))
	q.push(update("b", Alive))
	q.push(update("a", Suspect))
	if len(q.entries) != 2 || q.entries[0].Name != "a" || q.entries[0].Status != Suspect {
		t.Errorf("%+v", q.entries)
	}
	for i := range maxQueuedUpdates + 10 {
		q.push(update(fmt.Sprint("m", i), Alive))
	}
	if len(q.entries) != maxQueuedUpdates {
		t.Errorf("%d updates are queued", len(q.entries))
	}
}

// Updates are sent least often sent first, as many as fit, and dropped once they were sent
// often enough for the number of members.
func TestUpdatesAreRetransmittedInTurn(t *testing.T) {
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
		t.Errorf("%d updates of %d bytes", len(first.Updates), size)
	}
	if names(first.Updates) == names(second.Updates) {
		t.Errorf("the same updates twice: %s", names(second.Updates))
	}
	messages := 0
	for ; len(q.entries) > 0 && messages < 1000; messages++ {
		q.fill(time.Second, &Message{}, 5)
	}
	if len(q.entries) > 0 {
		t.Errorf("%d updates are still queued after %d messages", len(q.entries), messages)
	}
}

// Without credit one update is sent all the same, and of the others those that are urgent.
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
		t.Errorf("sent: %s", got)
	}
	if q.credit >= 0 || !q.worthSending() {
		t.Errorf("credit %v, worth sending %v", q.credit, q.worthSending())
	}
	q.entries = []queuedUpdate{{Record: whole}}
	if q.worthSending() {
		t.Error("a whole record alone overdraws the credit")
	}
}
