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
	w, _ := Word{}.TakeOut("a", 5*time.Second)
	same, _ := w.TakeOut("a", 7*time.Second)
	if same.Version != w.Version || same.Out["a"] != 5*time.Second {
		t.Errorf("twice: %+v", same)
	}
	for _, tc := range []struct {
		word Word
		in   balancer.Server
		want balancer.Server
	}{
		{w, balancer.Server{State: balancer.Ready}, balancer.Server{State: balancer.Draining}},
		{w, balancer.Server{State: balancer.Gone}, balancer.Server{State: balancer.Gone}},
		{w.CallBack("a", 9*time.Second), balancer.Server{State: balancer.Ready, Started: 1}, balancer.Server{State: balancer.Ready, Started: 9 * time.Second}},
		{w.CallBack("a", 9*time.Second), balancer.Server{State: balancer.Ready, Started: time.Minute}, balancer.Server{State: balancer.Ready, Started: time.Minute}},
		{w.CallBack("a", 9*time.Second), balancer.Server{State: balancer.Draining}, balancer.Server{State: balancer.Draining, Started: 9 * time.Second}},
	} {
		if got := tc.word.Over("a", tc.in); got != tc.want {
			t.Errorf("%+v over %+v: %+v", tc.word, tc.in, got)
		}
	}
	if got := w.CallBack("b", 1); got.Version != w.Version {
		t.Error("called back without being out")
	}
	if s := (Word{}).Stop(); s.Version != 0 || (Word{}).Start(3).Start(9).Drain != 3 {
		t.Error("a drain is ordered once")
	}
}

// Both bounds hold: one more out is an error, one more back forgets the oldest.
func TestWordIsBounded(t *testing.T) {
	w := Word{}
	var err error
	for i := range most {
		if w, err = w.TakeOut(fmt.Sprint("s", i), 1); err != nil {
			t.Fatal(err)
		}
	}
	if _, err := w.TakeOut("one more", 1); err != ErrFull {
		t.Errorf("beyond the bound: %v", err)
	}
	for i := range most + 1 {
		w, _ = w.TakeOut(fmt.Sprint("s", i), 1)
		w = w.CallBack(fmt.Sprint("s", i), time.Duration(i+1))
	}
	if _, kept := w.Back["s0"]; kept || len(w.Back) != most || len(w.Out) != 0 {
		t.Errorf("%d back, %d out", len(w.Back), len(w.Out))
	}
}

// What is kept is read as it was; anything else is an error, never half a word.
func FuzzDecode(f *testing.F) {
	w, _ := Word{}.TakeOut("a", 5*time.Second)
	w = w.CallBack("a", time.Minute)
	w, _ = w.TakeOut("b", time.Hour)
	text := Encode(w.Start(time.Second))
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
