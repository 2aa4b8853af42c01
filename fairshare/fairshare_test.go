package fairshare

import (
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

func TestDivide(t *testing.T) {
	for _, tc := range []struct {
		name    string
		amount  int
		wants   []int
		weights []float64
		want    []int
	}{
		{"enough", 10, []int{2, 3, 4}, []float64{1, 1, 1}, []int{2, 3, 4}},
		{"evenly", 9, []int{9, 9, 9}, []float64{1, 1, 1}, []int{3, 3, 3}},
		{"small demand leaves more to others", 10, []int{1, 9, 9}, []float64{1, 1, 1}, []int{1, 5, 4}},
		{"by weight", 12, []int{99, 99}, []float64{2, 1}, []int{8, 4}},
		{"no weight", 10, []int{5, 5}, []float64{0, 1}, []int{0, 5}},
		{"nothing", 0, []int{5}, []float64{1}, []int{0}},
		{"nobody", 5, nil, nil, []int{}},
	} {
		if diff := cmp.Diff(tc.want, Divide(tc.amount, tc.wants, tc.weights)); diff != "" {
			t.Errorf("%s: %s", tc.name, diff)
		}
	}
}

// No claimant gets more than it wants, the amount is used up if it is wanted, and no part
// can grow except at the cost of one with less per unit of weight.
func TestDivideIsMaxMinFair(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 8).Draw(t, "n")
		amount := rapid.IntRange(0, 100).Draw(t, "amount")
		var wants []int
		var weights []float64
		all := 0
		for range n {
			wants = append(wants, rapid.IntRange(0, 50).Draw(t, "want"))
			weights = append(weights, float64(rapid.IntRange(1, 4).Draw(t, "weight")))
			all += wants[len(wants)-1]
		}
		parts := Divide(amount, wants, weights)
		sum := 0
		for i, p := range parts {
			sum += p
			if p > wants[i] {
				t.Fatalf("claimant %d got %d, want at most %d", i, p, wants[i])
			}
		}
		if sum != min(amount, all) {
			t.Fatalf("divided %d of amount %d with total demand %d, want the smaller of the two", sum, amount, all)
		}
		for i := range parts {
			for j := range parts {
				// Each part may deviate by one unit of rounding.
				if parts[i] < wants[i] && float64(parts[i]+1)/weights[i] < float64(parts[j]-1)/weights[j]-1e-9 {
					t.Fatalf("parts %v of wants %v by weights %v: claimant %d is unsatisfied while %d has more per weight", parts, wants, weights, i, j)
				}
			}
		}
	})
}

// Pools take units within their allowances and return units in any order.
func TestLedgerKeepsGuaranteesAndTotal(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		total := rapid.IntRange(10, 60).Draw(t, "total")
		ledger := NewLedger(total)
		draw := func() map[string]Claim {
			claims, left := map[string]Claim{}, total
			for i := range rapid.IntRange(1, 4).Draw(t, "pools") {
				g := rapid.IntRange(0, left/2).Draw(t, "guarantee")
				left -= g
				claims[fmt.Sprint(i)] = Claim{Guarantee: g, Weight: float64(rapid.IntRange(0, 3).Draw(t, "weight")),
					Max: rapid.SampledFrom([]int{0, 5, 20}).Draw(t, "max")}
			}
			return claims
		}
		claims := draw()
		if !ledger.Set(claims) {
			t.Fatal("Set rejects claims within the total, want them accepted")
		}
		used, allowed := map[string]int{}, ledger.Step(nil)
		for step := range rapid.IntRange(1, 40).Draw(t, "steps") {
			if rapid.IntRange(0, 9).Draw(t, "reload") == 0 {
				claims = draw()
				ledger.Set(claims)
			}
			wanted := map[string]int{}
			for range rapid.IntRange(0, 30).Draw(t, "acts") {
				name := fmt.Sprint(rapid.IntRange(0, 3).Draw(t, "pool"))
				switch {
				case rapid.Bool().Draw(t, "gives back"):
					used[name] = max(used[name]-rapid.IntRange(1, 5).Draw(t, "n"), 0)
				case used[name] < allowed[name]:
					used[name]++
				default:
					wanted[name]++
				}
			}
			usage, sum := map[string]Usage{}, 0
			for name, n := range used {
				usage[name] = Usage{n, wanted[name]}
				sum += n
			}
			if sum > total {
				t.Fatalf("step %d: got %d units in use, want at most %d: used %v", step, sum, total, used)
			}
			allowed = ledger.Step(usage)
			maxUsed := 0
			for name := range map[string]bool{"0": true, "1": true, "2": true, "3": true} {
				maxUsed += max(used[name], allowed[name])
			}
			if maxUsed > total {
				t.Fatalf("step %d: pools may use up to %d units, want at most %d: used %v, allowed %v", step, maxUsed, total, used, allowed)
			}
		}
		// After all units are returned, each pool has its guarantee at the second step.
		ledger.Step(nil)
		allowed = ledger.Step(nil)
		for name, c := range claims {
			if allowed[name] < c.Guarantee {
				t.Fatalf("pool %s: got allowance %d, want at least the guarantee %d", name, allowed[name], c.Guarantee)
			}
		}
	})
}

// A loan is reclaimed when another pool wants the units, as fast as the borrower returns them.
func TestLedgerReclaimsLoans(t *testing.T) {
	ledger := NewLedger(100)
	ledger.Set(map[string]Claim{"calm": {Guarantee: 20, Weight: 1}, "flood": {Guarantee: 20, Weight: 1}})
	// The pool "flood" wants everything and borrows the remainder; the guarantee of "calm" is untouched.
	var allowed map[string]int
	for range 3 {
		allowed = ledger.Step(map[string]Usage{"flood": {Used: min(allowed["flood"], 500), Wanted: 400}})
	}
	if allowed["flood"] != 80 || allowed["calm"] != 20 {
		t.Fatalf("flood alone: got allowances %v, want 80 for flood and 20 for calm", allowed)
	}
	// "calm" uses its guarantee and wants more: it is entitled to half of the remainder.
	allowed = ledger.Step(map[string]Usage{"flood": {80, 400}, "calm": {20, 30}})
	if allowed["flood"] != 50 || allowed["calm"] != 20 {
		t.Fatalf("calm wants more: got allowances %v, want 50 for flood and 20 for calm", allowed)
	}
	// "flood" returns units slowly: units that it still uses are not lent again.
	allowed = ledger.Step(map[string]Usage{"flood": {70, 400}, "calm": {20, 30}})
	if allowed["calm"] != 30 {
		t.Fatalf("flood has returned 10: got allowances %v, want 30 for calm", allowed)
	}
	allowed = ledger.Step(map[string]Usage{"flood": {50, 400}, "calm": {30, 30}})
	if allowed["calm"] != 50 || allowed["flood"] != 50 {
		t.Fatalf("flood has returned 30: got allowances %v, want 50 for each", allowed)
	}
}

func TestSetRejectsGuaranteesAboveTotal(t *testing.T) {
	ledger := NewLedger(10)
	if ledger.Set(map[string]Claim{"a": {Guarantee: 6}, "b": {Guarantee: 5}}) {
		t.Error("Set accepts guarantees of 11 with a total of 10, want them rejected")
	}
}

func BenchmarkStep(b *testing.B) {
	for _, n := range []int{10, 500} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			ledger, claims, usage := NewLedger(10_000), map[string]Claim{}, map[string]Usage{}
			for i := range n {
				claims[fmt.Sprint(i)] = Claim{Guarantee: 2, Weight: 1}
				usage[fmt.Sprint(i)] = Usage{i, i % 7}
			}
			ledger.Set(claims)
			for b.Loop() {
				ledger.Step(usage)
			}
		})
	}
}

func TestRates(t *testing.T) {
	claims := map[string]Claim{"calm": {Guarantee: 10, Weight: 1}, "flood": {Guarantee: 10, Weight: 1}, "bounded": {Weight: 1, Max: 5}}
	for _, tc := range []struct {
		name  string
		usage map[string]Usage
		want  map[string]int
	}{
		{"no demand", nil, map[string]int{"calm": 48, "flood": 47, "bounded": 5}},
		{"one pool with excess demand", map[string]Usage{"flood": {100, 900}}, map[string]int{"calm": 10, "flood": 90, "bounded": 0}},
		{"two pools with excess demand", map[string]Usage{"flood": {100, 900}, "calm": {60, 60}}, map[string]int{"calm": 50, "flood": 50, "bounded": 0}},
		{"one pool with small demand", map[string]Usage{"flood": {100, 900}, "calm": {20, 0}, "bounded": {9, 9}}, map[string]int{"calm": 20, "flood": 75, "bounded": 5}},
	} {
		if diff := cmp.Diff(tc.want, Rates(100, claims, tc.usage)); diff != "" {
			t.Errorf("%s: %s", tc.name, diff)
		}
	}
}
