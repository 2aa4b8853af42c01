package faultnet

import (
	"math"
	"testing"
	"time"
)

const ms = time.Millisecond

// Each fault of a link occurs to the fraction of datagrams that it states, and is counted.
func TestFaultsOccurAsOftenAsStated(t *testing.T) {
	const sent = 20_000
	n := New(Link{Drop: 0.2, Duplicate: 0.1, Corrupt: 0.05, Reorder: 0.3, Delay: 10 * ms, Jitter: 5 * ms}, 1)
	arrived, late := 0, 0
	for range sent {
		for i, d := range n.Send(time.Second, "a", "b", 100) {
			arrived++
			delay := d.At - time.Second
			switch {
			case delay < 10*ms || delay > 31*ms:
				t.Fatalf("it takes %v", delay)
			case delay > 15*ms && i == 0:
				late++
			}
		}
	}
	for what, fraction := range map[string][2]float64{
		"dropped":    {float64(n.Total.Dropped) / sent, 0.2},
		"duplicated": {float64(n.Total.Duplicated) / sent, 0.8 * 0.1},
		"corrupted":  {float64(n.Total.Corrupted) / sent, 0.8 * 0.05},
		"reordered":  {float64(late) / sent, 0.8 * 0.3},
		"arrived":    {float64(arrived) / sent, 0.8 * 1.1},
	} {
		if math.Abs(fraction[0]-fraction[1]) > 0.01 {
			t.Errorf("%s: %.3f, want %.3f", what, fraction[0], fraction[1])
		}
	}
	if n.Total.Frames != sent || n.Total.Bytes != sent*100 || n.Total.Partitioned != 0 {
		t.Errorf("%+v", n.Total)
	}
}

// Equal seeds give equal faults to equal calls.
func TestEqualSeedsGiveEqualFaults(t *testing.T) {
	link := Link{Drop: 0.3, Duplicate: 0.3, Corrupt: 0.3, Reorder: 0.3, Jitter: 50 * ms}
	a, b, other := New(link, 7), New(link, 7), New(link, 8)
	differs := false
	for range 200 {
		x, y, z := a.Send(0, "a", "b", 1), b.Send(0, "a", "b", 1), other.Send(0, "a", "b", 1)
		if len(x) != len(y) || len(x) > 0 && x[0] != y[0] {
			t.Fatalf("%v and %v", x, y)
		}
		differs = differs || len(x) != len(z)
	}
	if !differs {
		t.Error("another seed gives the same")
	}
}

// A partition holds in the directions and between the groups that it states, for datagrams and for streams, until it is
// healed.
func TestPartitions(t *testing.T) {
	for name, tc := range map[string]struct {
		cut  func(n *Network)
		open map[string]bool // by path; all others are closed
	}{
		"one path":          {func(n *Network) { n.Set("a", "b", Link{Partitioned: true}) }, paths("ba ac ca bc cb")},
		"what one sends":    {func(n *Network) { n.Isolate("a", true) }, paths("ba ca bc cb")},
		"one":               {func(n *Network) { n.Isolate("a", false) }, paths("bc cb")},
		"two groups":        {func(n *Network) { n.Split([]string{"a"}, []string{"b", "c"}) }, paths("bc cb")},
		"three groups":      {func(n *Network) { n.Split([]string{"a"}, []string{"b"}, []string{"c"}) }, paths("")},
		"one and the rest":  {func(n *Network) { n.Split([]string{"b"}) }, paths("ac ca")},
		"a path in a group": {func(n *Network) { n.Split([]string{"b"}); n.Set("a", "b", Link{}) }, paths("ac ca")},
		"an isolated one":   {func(n *Network) { n.Isolate("a", false); n.Set("b", "a", Link{Delay: ms}) }, paths("bc cb")},
		"another split":     {func(n *Network) { n.Split([]string{"a"}); n.Split([]string{"c"}) }, paths("ab ba")},
		"nothing any longer": {func(n *Network) {
			n.Split([]string{"a"})
			n.Isolate("b", false)
			n.Heal()
		}, paths("ab ba ac ca bc cb")},
	} {
		t.Run(name, func(t *testing.T) {
			n := New(Link{Delay: ms}, 1)
			tc.cut(n)
			for path := range paths("ab ba ac ca bc cb") {
				from, to := path[:1], path[1:]
				_, streams := n.Stream(0, from, to, 1)
				if arrives := len(n.Send(0, from, to, 1)) > 0; arrives != tc.open[path] || streams != tc.open[path] {
					t.Errorf("%s to %s: datagrams %v, streams %v, want %v", from, to, arrives, streams, tc.open[path])
				}
			}
			if closed := uint64(6 - len(tc.open)); n.Total.Partitioned != closed {
				t.Errorf("%d are counted, want %d", n.Total.Partitioned, closed)
			}
		})
	}
}

// paths returns the paths of a text such as "ab ba".
func paths(text string) map[string]bool {
	all := map[string]bool{}
	for i := 0; i+1 < len(text); i += 3 {
		all[text[i:i+2]] = true
	}
	return all
}

// A throttled path takes one thing after the other; other paths do not wait for it.
func TestThrottledPath(t *testing.T) {
	n := New(Link{Delay: ms}, 1)
	n.Set("a", "b", Link{BytesPerS: 1000})
	for i, want := range []time.Duration{100 * ms, 200 * ms, 300 * ms} {
		if got := n.Send(0, "a", "b", 100); len(got) != 1 || got[0].At != want {
			t.Errorf("datagram %d arrives at %v, want %v", i, got, want)
		}
	}
	if at, ok := n.Stream(0, "a", "b", 200); !ok || at != 500*ms {
		t.Errorf("a piece of a stream arrives at %v, %v", at, ok)
	}
	if got := n.Send(0, "b", "a", 100); got[0].At != ms {
		t.Errorf("the other direction: %v", got)
	}
	if got := n.Send(time.Second, "a", "b", 100); got[0].At != 1100*ms {
		t.Errorf("once it is idle: %v", got)
	}
}

func TestImpossibleLinksAreRefused(t *testing.T) {
	for name, link := range map[string]Link{
		"more than all": {Drop: 1.1},
		"less than 0":   {Duplicate: -0.1},
		"no number":     {Corrupt: math.NaN()},
		"infinite":      {Reorder: math.Inf(1)},
		"a delay":       {Delay: -1},
		"a jitter":      {Jitter: -1},
		"a throughput":  {BytesPerS: -1},
	} {
		if link.Check() == nil {
			t.Errorf("%s: accepted", name)
		}
	}
	if err := (Link{Drop: 1, Duplicate: 1, Delay: time.Hour, BytesPerS: 1}).Check(); err != nil {
		t.Error(err)
	}
}
