package main

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
)

// The management endpoint says why requests and attempts have ended, and why further attempts were made.
func TestReasonsAreCounted(t *testing.T) {
	sound := httptest.NewServer(&countingEndpoint{executions: map[string]int{}})
	defer sound.Close()
	broken, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer broken.Close()
	go func() { // it closes each connection over its request
		for {
			conn, err := broken.Accept()
			if err != nil {
				return
			}
			conn.Close()
		}
	}()
	settings := outageConfiguration(t, []string{sound.Listener.Addr().String(), broken.Addr().String()}, outageDeadline)
	p := launch(t, build(t), settings, t.TempDir())
	_, address, _ := strings.Cut(p.says(t, "msg=serving"), "address=")
	const requests = 40
	for range requests {
		conn, reader, err := connect(t, address)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := io.WriteString(conn, ask()); err != nil {
			t.Fatal(err)
		}
		if response, err := http.ReadResponse(reader, nil); err != nil || response.StatusCode != http.StatusOK {
			t.Errorf("%v, %v", response, err)
		}
		conn.Close()
	}
	status, text := p.call(t, "GET", "faults", "")
	var report struct {
		Pools map[string]struct {
			Requests map[string]int `json:"request_ends"`
			Attempts map[string]int `json:"attempt_ends"`
			Retries  map[string]int `json:"retries"`
		} `json:"pools"`
	}
	if err := json.Unmarshal([]byte(text), &report); err != nil || status != http.StatusOK {
		t.Fatalf("%d, %v: %s", status, err, text)
	}
	main := report.Pools["main"]
	attempts, retries := 0, 0
	for _, count := range main.Attempts {
		attempts += count
	}
	for _, count := range main.Retries {
		retries += count
	}
	if main.Requests["served"] != requests || main.Attempts["ok"] != requests {
		t.Errorf("%d requests were served: %s", requests, text)
	}
	if retries == 0 || attempts != requests+retries {
		t.Errorf("%d attempts, %d of them retries, for %d requests: %s", attempts, retries, requests, text)
	}
}
