package socket

import (
	"slices"
	"testing"

	"golang.org/x/sys/unix"
)

// After the descriptor limit is lowered, only low numbers can be opened. A reserve that was filled while many
// descriptors were open must therefore move to low numbers once these are closed. Otherwise, lending a descriptor would
// not help.
func TestReserveMovesToLowNumbers(t *testing.T) {
	openOne := func() int {
		t.Helper()
		fd, err := unix.Open("/dev/null", unix.O_RDONLY|unix.O_CLOEXEC, 0)
		if err != nil {
			t.Fatal(err)
		}
		return fd
	}
	var others []int
	for range 16 {
		others = append(others, openOne())
	}
	r := NewReserve(2)
	defer r.Close()
	before := slices.Max(r.descriptors)
	for _, fd := range others {
		closeDescriptor(fd)
	}
	if !r.Fill() || len(r.descriptors) != 2 {
		t.Fatalf("got reserved descriptors %v, want 2", r.descriptors)
	}
	if got := slices.Max(r.descriptors); got >= before || got > slices.Max(others) {
		t.Errorf("got reserved descriptors %v, want lower ones: numbers up to %d have become free", r.descriptors, slices.Max(others))
	}
	next := openOne()
	defer closeDescriptor(next)
	if next < slices.Max(r.descriptors) {
		t.Errorf("got reserved descriptors %v, want only numbers below the free %d", r.descriptors, next)
	}
}
