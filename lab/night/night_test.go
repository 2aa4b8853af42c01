package night

import (
	"testing"
	"time"
)

func TestNights(t *testing.T) {
	for seed := range uint64(30) {
		s := Draw(6+int(seed%7), time.Minute, seed)
		f, bad := Play(s, "")
		if bad != nil {
			small := Shrink(s, func(s Schedule) bool { _, b := Play(s, ""); return b != nil && b.Rule == bad.Rule })
			_, bad = Play(small, "")
			t.Errorf("seed %d: %v\n%d steps", seed, bad, len(small.Steps))
		} else {
			t.Logf("seed %d: %+v", seed, f)
		}
	}
}
