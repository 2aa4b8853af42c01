package override

import (
	"errors"
	"fmt"
	"reflect"
	"testing"
	"time"

	"ryerill/balancer"
)

// Taking down an endpoint that is down changes nothing, and a restored endpoint counts as started at its restore.
func TestOverridesAreIdempotent(t *testing.T) {
	set, _ := Set{}.TakeDown("a", 5*time.Second)
	same, _ := set.TakeDown("a", 7*time.Second)
	if same.Version != set.Version || same.Down["a"] != 5*time.Second {
		t.Errorf("taken down twice: got %+v, want an unchanged set", same)
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
			t.Errorf("%s: set %+v applied to %+v: got %+v", tc.name, tc.set, tc.in, got)
		}
	}
	if got := set.Restore("b", 1); got.Version != set.Version {
		t.Error("restoring an endpoint that is not down changed the set")
	}
	if s := (Set{}).StopDrain(); s.Version != 0 || (Set{}).StartDrain(3).StartDrain(9).DrainSince != 3 {
		t.Error("StopDrain without a drain, or a second StartDrain, changed the set")
	}
}

// One endpoint too many to take down is an error; one restore too many drops the oldest.
func TestOverridesAreBounded(t *testing.T) {
	set := Set{}
	var err error
	for i := range maxEntries {
		if set, err = set.TakeDown(fmt.Sprint("s", i), 1); err != nil {
			t.Fatal(err)
		}
	}
	if _, err := set.TakeDown("one more", 1); !errors.Is(err, ErrTooMany) {
		t.Errorf("one endpoint too many: got error %v, want ErrTooMany", err)
	}
	for i := range maxEntries + 1 {
		set, _ = set.TakeDown(fmt.Sprint("s", i), 1)
		set = set.Restore(fmt.Sprint("s", i), time.Duration(i+1))
	}
	if _, kept := set.Restored["s0"]; kept || len(set.Restored) != maxEntries || len(set.Down) != 0 {
		t.Errorf("got %d restored and %d down endpoints, want the newest maxEntries restored and none down", len(set.Restored), len(set.Down))
	}
}

// An encoded set decodes to the same set. Any other input is an error or a set that survives encoding; a truncated one
// is an error.
func FuzzDecode(f *testing.F) {
	set, _ := Set{}.TakeDown("a", 5*time.Second)
	set = set.Restore("a", time.Minute)
	set, _ = set.TakeDown("b", time.Hour)
	text := Encode(set.StartDrain(time.Second))
	for i := range text[:len(text)-2] {
		if _, err := Decode(text[:i]); err == nil {
			f.Errorf("truncated after %d bytes: got no error", i)
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
			t.Errorf("set %+v decoded from its encoding as %+v, error %v", set, again, err)
		}
	})
}
