package cli

import (
	"strings"
	"testing"
	"time"

	"ryerill/lab/realtime"
)

// Each row shows what happened since the one before it; an update that comes too soon makes none.
func TestProgressTable(t *testing.T) {
	moments := []realtime.Progress{
		{At: time.Second, Sent: 100, Served: 90, P50: 12 * time.Millisecond},
		{At: 1500 * time.Millisecond, Sent: 120, Served: 100},
		{At: 1600 * time.Millisecond, Event: "providers slow"},
		{At: 3 * time.Second, Sent: 300, Served: 190, Failed: 10},
		{At: 4 * time.Second, Sent: 400, Served: 290, Failed: 10},
	}
	for _, tc := range []struct {
		name       string
		overwrites bool
		want       []string
	}{
		{"file", false, []string{
			"  1.0s      100       90        0        0      12ms        0s       0\n",
			"  1.6s -- providers slow\n",
			"  3.0s      100       50        0       10        0s        0s       0\n",
			"  4.0s      100      100        0        0        0s        0s       0\n",
		}},
		{"terminal", true, []string{
			"\r\x1b[K  1.0s      100       90        0        0      12ms        0s       0",
			"\r\x1b[K  1.6s -- providers slow\n",
			"\r\x1b[K  3.0s      100       50        0       10        0s        0s       0",
			"\r\x1b[K  4.0s      100      100        0        0        0s        0s       0\n", // the third stays
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var out strings.Builder
			table := progressTable{out: &out, overwrites: tc.overwrites}
			for _, moment := range moments {
				table.update(moment)
			}
			if want := strings.Join(tc.want, ""); out.String() != want {
				t.Errorf("got\n%q\nwant\n%q", out.String(), want)
			}
		})
	}
}
