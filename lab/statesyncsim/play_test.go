package statesyncsim

import (
	"fmt"
	"testing"
	"time"

	"ryerill/lab/scenario"
)

// Every case can be simulated, with the faults that it names and no others.
func TestCasesHaveTheirFaults(t *testing.T) {
	for fault, kind := range map[string]string{
		"err": "err", "hang": "hang", "slow": "slow", "none": "",
	} {
		for _, cut := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, cut: %v", fault, cut), func(t *testing.T) {
				sc, err := Case{Replicas: 3, Fault: fault, Cut: cut}.scenario()
				if err != nil {
					t.Fatal(err)
				}
				var want []string
				if kind != "" {
					want = append(want, kind)
				}
				if cut {
					want = append(want, scenario.Split)
				}
				var got []string
				for _, f := range sc.Faults {
					got = append(got, f.Kind)
				}
				if fmt.Sprint(got) != fmt.Sprint(want) {
					t.Errorf("faults %v, want %v", got, want)
				}
				if sc.Length != length || sc.Warmup != 5*time.Second {
					t.Errorf("length %v, warm-up %v", sc.Length, sc.Warmup)
				}
			})
		}
	}
}
