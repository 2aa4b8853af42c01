package proxy

import (
	"encoding/json"
	"testing"
)

// What a process of another version publishes of its pools is read whole, and written to the letter.
func TestPoolStateFormat(t *testing.T) {
	const want = `{"main":{"in_flight":3,"learnt":{"Limit":12.5,"Rate":100.25,"Usual":[0.5,0.25],"Fails":[0.125,0.0625]}}}`
	var pools map[string]poolState
	if err := json.Unmarshal([]byte(want), &pools); err != nil {
		t.Fatal(err)
	}
	text, err := json.Marshal(pools)
	if err != nil || string(text) != want {
		t.Errorf("%v\nwritten %s\nwas     %s", err, text, want)
	}
}
