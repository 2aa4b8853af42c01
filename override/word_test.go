package override

import (
	"fmt"
	"reflect"
	"testing"
	"time"

	"ryerill/balancer"
)

// The word is a set: out twice needs one call back; back is started then.
func TestWordIsASet(t *testing.T) {
	w, _ := Set{}.TakeDown("a", 5*time.Second)
	same, _ := w.TakeDown("a", 7*time.Second)
	if same.Version != w.Version || same.Down["a"] != 5*time.Second {
		t.Errorf("twice: %+v", same)
	}
	for _, tc := range []struct {
		word Set
		in   balancer.Endpoint
		want balancer.Endpoint
	}{
		{w, balancer.Endpoint{State: balancer.Ready}, balancer.Endpoint{State: balancer.Draining}},
		{w, balancer.Endpoint{State: balancer.Gone}, balancer.Endpoint{State: balancer.Gone}},
		{w.Restore("a", 9*time.Second), balancer.Endpoint{State: balancer.Ready, StartedAt: 1}, balancer.Endpoint{State: balancer.Ready, StartedAt: 9 * time.Second}},
		{w.Restore("a", 9*time.Second), balancer.Endpoint{State: balancer.Ready, StartedAt: time.Minute}, balancer.Endpoint{State: balancer.Ready, StartedAt: time.Minute}},
		{w.Restore("a", 9*time.Second), balancer.Endpoint{State: balancer.Draining}, balancer.Endpoint{State: balancer.Draining, StartedAt: 9 * time.Second}},
	} {
		if got := tc.word.Apply("a", tc.in); got != tc.want {
			t.Errorf("%+v over %+v: %+v", tc.word, tc.in, got)
		}
	}
	if got := w.Restore("b", 1); got.Version != w.Version {
		t.Error("called back without being out")
	}
	if s := (Set{}).StopDrain(); s.Version != 0 || (Set{}).StartDrain(3).StartDrain(9).DrainSince != 3 {
		t.Error("a drain is ordered once")
	}
}

// Both bounds hold: one more out is an error, one more back forgets the oldest.
func TestWordIsBounded(t *testing.T) {
	w := Set{}
	var err error
	for i := range most {
		if w, err = w.TakeDown(fmt.Sprint("s", i), 1); err != nil {
			t.Fatal(err)
		}
	}
	if _, err := w.TakeDown("one more", 1); err != ErrTooMany {
		t.Errorf("beyond the bound: %v", err)
	}
	for i := range most + 1 {
		w, _ = w.TakeDown(fmt.Sprint("s", i), 1)
		w = w.Restore(fmt.Sprint("s", i), time.Duration(i+1))
	}
	if _, kept := w.Restored["s0"]; kept || len(w.Restored) != most || len(w.Down) != 0 {
		t.Errorf("%d back, %d out", len(w.Restored), len(w.Down))
	}
}

// What is kept is read as it was; anything else is an error, never half a word.
func FuzzDecode(f *testing.F) {
	w, _ := Set{}.TakeDown("a", 5*time.Second)
	w = w.Restore("a", time.Minute)
	w, _ = w.TakeDown("b", time.Hour)
	text := Encode(w.StartDrain(time.Second))
	for i := range text[:len(text)-2] {
		if _, err := Decode(text[:i]); err == nil {
			f.Errorf("torn after %d bytes: no error", i)
		}
	}
	f.Add(text)
	f.Add([]byte(`{"format":"ryerill-word-1","out":{"":1}}`))
	f.Add([]byte(`{"format":"ryerill-word-1","drain":-1}`))
	f.Fuzz(func(t *testing.T, text []byte) {
		w, err := Decode(text)
		if err != nil {
			return
		}
		if again, err := Decode(Encode(w)); err != nil || !reflect.DeepEqual(again, w) {
			t.Errorf("%+v became %+v, %v", w, again, err)
		}
	})
}
