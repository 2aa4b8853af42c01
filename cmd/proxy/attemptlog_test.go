package main

import (
	"encoding/json"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"ryerill/lab/repeater"
)

// An operator can see which connection carried which request, and what endpoints have sent unasked.
func TestAttemptsAndUnsolicitedBytesAreLogged(t *testing.T) {
	endpoints, ledger := startRepeaters(t, repeater.Behavior{Fault: late(1, ms, ms)}, 1)
	p := launch(t, build(t), repeaterConfiguration(t, endpoints), t.TempDir())
	_, address, _ := strings.Cut(p.says(t, "msg=serving"), "address=")
	if err := p.Process.Signal(syscall.SIGUSR1); err != nil {
		t.Fatal(err)
	}
	p.says(t, `msg="attempts logged" on=true`)
	load := repeater.Load{Address: address, Clients: 1, Pause: 200 * ms, Length: time.Second}
	load.Play(ledger)
	line := p.says(t, `msg="attempt ended"`)
	for _, attribute := range []string{"request=", "endpoint=s0", "connection=", "uses=", "rest=", "outcome=ok"} {
		if !strings.Contains(line, attribute) {
			t.Errorf("%q is not in %s", attribute, line)
		}
	}
	if line := p.says(t, `msg="unsolicited bytes from an endpoint"`); !strings.Contains(line, `kind="a repeated response"`) {
		t.Error(line)
	}
	if found := unsolicited(t, p); found.Total == 0 || found.ByEndpoint["s0"] != found.Total {
		t.Errorf("%+v, but %d times something was sent unasked", found, ledger.Unsolicited())
	}
}

// unsolicitedReport is what the management endpoint tells of unsolicited bytes.
type unsolicitedReport struct {
	Total      int            `json:"total"`
	Doubtful   int            `json:"responses_in_doubt"`
	ByEndpoint map[string]int `json:"by_endpoint"`
}

func unsolicited(t *testing.T, p *process) unsolicitedReport {
	t.Helper()
	status, text := p.call(t, "GET", "faults", "")
	var report struct {
		Pools map[string]struct {
			Unsolicited unsolicitedReport `json:"unsolicited_bytes"`
		} `json:"pools"`
	}
	if err := json.Unmarshal([]byte(text), &report); err != nil || status != http.StatusOK {
		t.Fatalf("%d, %v: %s", status, err, text)
	}
	return report.Pools["main"].Unsolicited
}
