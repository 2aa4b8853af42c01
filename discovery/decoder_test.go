package discovery

import (
	"bytes"
	"strings"
	"testing"
)

// Guards against a proxy that applies a list of thousands of endpoints late because it applies withdrawals a few at a
// time: withdrawals that are available at once are reported in at most as many parts as the list takes reads.
func TestAvailableWithdrawalsAreReportedTogether(t *testing.T) {
	text := []byte(strings.ReplaceAll(string(fullListOf(t, 3200)), Ready, Terminating))
	parts, withdrawn := 0, 0
	_, err := decodeList(bytes.NewReader(text), func(w Withdrawals) {
		parts++
		withdrawn += len(w.Endpoints)
	})
	if most := len(text)/readSize + 2; err != nil || withdrawn != 3200 || parts > most {
		t.Errorf("got %d withdrawn in %d parts, want 3200 in at most %d: %v", withdrawn, parts, most, err)
	}
}
