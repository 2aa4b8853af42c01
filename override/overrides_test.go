package override

import (
	"errors"
	"fmt"
	"reflect"
	"testing"
	"time"

	"ryerill/balancer"
)

// Down twice is down once, and a restored endpoint counts as started then.
func TestOverridesAreASet(t *testing.T) {
	set, _ := Set{}.TakeDown("a", 5*time.Second)
	same, _ := set.TakeDown("a", 7*time.Second)
	if same.Version != set.Version || same.Down["a"] != 5*time.Second {
		t.Errorf("twice: %+v", same)
	}
	restored := set.Restore("a", 9*time.Second)
	for _, tc := range []struct {
		name string
		set  Set
		in   balancer.Endpoint
		want balancer.Endpoint
	}{
		{"down", set, balancer.Endpoint{State: balancer.Ready}, balancer.Endpoint{State: balancer.Draining}},
		{"down and gone", set, balancer.Endpoint{State: balancer.Gone}, balancer.Endpoint{State: balancer.Gone}},
		{"restored", restored, balancer.Endpoint{State: balancer.Ready, StartedAt: 1},
			balancer.Endpoint{State: balancer.Ready, StartedAt: 9 * time.Second}},
		{"restarted since", restored, balancer.Endpoint{State: balancer.Ready, StartedAt: time.Minute},
			balancer.Endpoint{State: balancer.Ready, StartedAt: time.Minute}},
		{"restored, draining by the list", restored, balancer.Endpoint{State: balancer.Draining},
			balancer.Endpoint{State: balancer.Draining, StartedAt: 9 * time.Second}},
	} {
		if got := tc.set.Apply("a", tc.in); got != tc.want {
			t.Errorf("%s: %+v over %+v: %+v", tc.name, tc.set, tc.in, got)
		}
	}
	if got := set.Restore("b", 1); got.Version != set.Version {
		t.Error("restored without being down")
	}
	if s := (Set{}).StopDrain(); s.Version != 0 || (Set{}).StartDrain(3).StartDrain(9).DrainSince != 3 {
		t.Error("a drain starts once")
	}
}

// Both bounds hold: one more down is an error, one more restored drops the oldest.
func TestOverridesAreBounded(t *testing.T) {
	set := Set{}
	var err error
	for i := range maxEntries {
		if set, err = set.TakeDown(fmt.Sprint("s", i), 1); err != nil {
			t.Fatal(err)
		}
	}
	if _, err := set.TakeDown("one more", 1); !errors.Is(err, ErrTooMany) {
		t.Errorf("beyond the bound: %v", err)
	}
	for i := range maxEntries + 1 {
		set, _ = set.TakeDown(fmt.Sprint("s", i), 1)
		set = set.Restore(fmt.Sprint("s", i), time.Duration(i+1))
	}
	if _, kept := set.Restored["s0"]; kept || len(set.Restored) != maxEntries || len(set.Down) != 0 {
		t.Errorf("%d restored, %d down", len(set.Restored), len(set.Down))
	}
}

// What is encoded decodes as it was; anything else is an error, never half a set.
func FuzzDecode(f *testing.F) {
	set, _ := Set{}.TakeDown("a", 5*time.Second)
	set = set.Restore("a", time.Minute)
	set, _ = set.TakeDown("b", time.Hour)
	text := Encode(set.StartDrain(time.Second))
	for i := range text[:len(text)-2] {
		if _, err := Decode(text[:i]); err == nil {
			f.Errorf("torn after %d bytes: no error", i)
		}
	}
	f.Add(text)
	f.Add([]byte(`{"format":"ryerill-word-1","out":{"":1}}`))
	f.Add([]byte(`{"format":"ryerill-word-1","drain":-1}`))
	f.Fuzz(func(t *testing.T, text []byte) {
		set, err := Decode(text)
		if err != nil {
			return
		}
		if again, err := Decode(Encode(set)); err != nil || !reflect.DeepEqual(again, set) {
			t.Errorf("%+v became %+v, %v", set, again, err)
		}
	})
}
