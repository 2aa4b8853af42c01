package counter

import (
	"fmt"
	"testing"
	"time"
)

// The same updates give a bit-identical sum in every run, independent of map iteration order.
func TestSumIsIndependentOfMapOrder(t *testing.T) {
	sum := func() Value {
		r := New("r", "z", 1)
		for second := range 2 {
			for i := range 30 {
				at := time.Duration(second)*time.Second + time.Duration(i*i*(1+second))*1371*time.Microsecond
				update := Update{Name: fmt.Sprint("c", i), Epoch: 1, Version: uint64(second + 1), Counts: map[Key]Counts{
					mainPool:        {Arrivals: uint64(1000*second + 7*i)},
					{Pool: "other"}: {Arrivals: uint64(i)},
				}}
				if i%3 == 0 {
					update.Zone = fmt.Sprint("zone", i)
				}
				r.Merge(at, update)
			}
		}
		return r.Sum(7*time.Second, nil, arrivals)
	}
	want := sum()
	for run := range 30 {
		if got := sum(); got != want {
			t.Fatalf("run %d: got %+v, want %+v", run, got, want)
		}
	}
}
