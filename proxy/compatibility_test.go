package proxy

import (
	"encoding/json"
	"testing"
)

// The published state of pools keeps its format, so that processes of different versions can read it: the recorded text
// is written again unchanged.
func TestPoolStateFormat(t *testing.T) {
	const want = `{"main":{"in_flight":3,"learnt":{"Limit":12.5,"Rate":100.25,"Usual":[0.5,0.25],"Fails":[0.125,0.0625]}}}`
	var pools map[string]poolState
	if err := json.Unmarshal([]byte(want), &pools); err != nil {
		t.Fatal(err)
	}
	text, err := json.Marshal(pools)
	if err != nil || string(text) != want {
		t.Errorf("error %v\ngot  %s\nwant %s", err, text, want)
	}
}
