package proxy

import "testing"

// A table is drained once draining has been requested and the last request has been removed, in either order.
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
		t.Error("table drained before drain was called")
	}
	if empty.drain(); !drained(&empty) {
		t.Error("empty table not drained")
	}
	empty.drain() // repeated calls have no effect

	table := newRequestTable()
	one, two := &openRequest{}, &openRequest{}
	table.add(one)
	table.add(two)
	if one.id == two.id || one.id == noTicket {
		t.Errorf("got ids %d and %d, want distinct ids other than noTicket", one.id, two.id)
	}
	table.drain()
	for i, r := range []*openRequest{one, two} {
		if drained(&table) {
			t.Errorf("table drained with %d requests open", 2-i)
		}
		if !table.remove(r.id) || table.remove(r.id) {
			t.Error("request was not removed exactly once")
		}
		table.checkDrained()
	}
	if !drained(&table) {
		t.Error("table not drained after its last request")
	}
}
