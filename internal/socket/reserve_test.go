package socket

import (
	"slices"
	"testing"

	"golang.org/x/sys/unix"
)

// A limit that is lowered allows low numbers alone, so a reserve that was filled while many descriptors were open moves
// down once these are closed: lent at the limit it would free nothing otherwise.
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
		t.Fatalf("holds %v", r.descriptors)
	}
	if got := slices.Max(r.descriptors); got >= before || got > slices.Max(others) {
		t.Errorf("holds %v, the numbers up to %d have become free", r.descriptors, slices.Max(others))
	}
	next := openOne()
	defer closeDescriptor(next)
	if next < slices.Max(r.descriptors) {
		t.Errorf("holds %v while %d is free", r.descriptors, next)
	}
}
