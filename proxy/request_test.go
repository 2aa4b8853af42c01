package proxy

import "testing"

// A table is drained once it is to be and its last request is gone, whichever comes first.
func TestRequestTableDrainsWithItsLastRequest(t *testing.T) {
	drained := func(table *requestTable) bool {
		select {
		case <-table.drained:
			return true
		default:
			return false
		}
	}
	empty := newRequestTable()
	if empty.checkDrained(); drained(&empty) {
		t.Error("drained without being asked to")
	}
	if empty.drain(); !drained(&empty) {
		t.Error("an empty table is not drained")
	}
	empty.drain() // a second time is none

	table := newRequestTable()
	one, two := &openRequest{}, &openRequest{}
	table.add(one)
	table.add(two)
	if one.id == two.id || one.id == noTicket {
		t.Errorf("ids %d and %d", one.id, two.id)
	}
	table.drain()
	for i, r := range []*openRequest{one, two} {
		if drained(&table) {
			t.Errorf("drained with %d requests open", 2-i)
		}
		if !table.remove(r.id) || table.remove(r.id) {
			t.Error("a request is removed once")
		}
		table.checkDrained()
	}
	if !drained(&table) {
		t.Error("not drained without requests")
	}
}
