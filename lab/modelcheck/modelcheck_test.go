package modelcheck

import (
	"errors"
	"fmt"
	"testing"
)

// jugs are two jugs of 3 and 5 litres; one with 4 litres in it must not be.
type jugs struct{ a, b int }

func (j *jugs) Moves() []string {
	return []string{"fill a", "fill b", "empty a", "empty b", "a to b", "b to a"}
}

func (j *jugs) Do(m int) error {
	switch m {
	case 0:
		j.a = 3
	case 1:
		j.b = 5
	case 2:
		j.a = 0
	case 3:
		j.b = 0
	case 4:
		n := min(j.a, 5-j.b)
		j.a, j.b = j.a-n, j.b+n
	case 5:
		n := min(j.b, 3-j.a)
		j.a, j.b = j.a+n, j.b-n
	}
	if j.b == 4 {
		return errors.New("4 litres")
	}
	return nil
}

func (j *jugs) Key() string { return fmt.Sprint(j.a, j.b) }

type cloned struct{ jugs }

func (c *cloned) Clone() System { next := *c; return &next }

func TestExploreFindsShortestTrace(t *testing.T) {
	for name, start := range map[string]func() System{"replayed": func() System { return &jugs{} }, "cloned": func() System { return &cloned{} }} {
		res := Explore(start, Bounds{Depth: 20, States: 1000})
		if res.Err == nil || len(res.Trace) != 6 {
			t.Errorf("%s: %v", name, res)
		}
		if res := Explore(start, Bounds{Depth: 5, States: 1000}); res.Err != nil || !res.Complete {
			t.Errorf("%s, five moves: %v", name, res)
		}
		if res := Explore(start, Bounds{Depth: 5, States: 4}); res.Complete || res.States != 4 {
			t.Errorf("%s, four states: %v", name, res)
		}
		if res := Walk(start, 1, 1000, 50); res.Err == nil || len(res.Trace) > 10 {
			t.Errorf("%s, walks: %v", name, res)
		}
	}
}
