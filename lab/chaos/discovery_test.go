package chaos

import (
	"context"
	"io"
	"net/http"
	"testing"
	"time"

	"ryerill/config"
	"ryerill/discovery"
)

// The stand-in lists what a pool names, late or not at all as long as a fault says so, and once all faults have ended
// without delay.
func TestTheDiscoveryServiceIsLateAndSilent(t *testing.T) {
	service, err := startDiscovery()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(service.close)
	pool := &config.PoolFile{Endpoints: []config.EndpointFile{{Name: "p1", Address: "127.0.0.1:9001", Zone: "a"}}}
	service.configure(pool)
	get := func(query string, within time.Duration) (list discovery.EndpointList, took time.Duration, err error) {
		ctx, cancel := context.WithTimeout(t.Context(), within)
		defer cancel()
		request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+pool.Discovery+"/v1/endpoints"+query, nil)
		if err != nil {
			t.Fatal(err)
		}
		began := time.Now()
		response, err := http.DefaultClient.Do(request)
		if err != nil {
			return list, time.Since(began), err
		}
		defer response.Body.Close()
		text, err := io.ReadAll(response.Body)
		if err != nil {
			return list, time.Since(began), err
		}
		list, err = discovery.Parse(text)
		return list, time.Since(began), err
	}
	const patience = 10 * time.Second
	list, _, err := get("", patience)
	if err != nil || !list.Snapshot || len(list.Endpoints) != 1 || list.Endpoints[0].Address != "127.0.0.1:9001" {
		t.Errorf("%v: %+v", err, list)
	}
	if list, took, err := get("?since=1&timeout_ms=200", patience); err != nil || list.Snapshot || len(list.Endpoints) > 0 || took < 200*time.Millisecond {
		t.Errorf("a watch: %v after %v: %+v", err, took, list)
	}
	if list, _, err := get("?since=9&timeout_ms=200", patience); err != nil || !list.Snapshot || len(list.Endpoints) != 1 {
		t.Errorf("a watch of an unknown version: %v: %+v", err, list)
	}
	service.setDelay(300 * time.Millisecond)
	if _, took, err := get("", patience); err != nil || took < 300*time.Millisecond {
		t.Errorf("late: %v after %v", err, took)
	}
	service.setSilent(true)
	service.setSilent(true) // two faults overlap
	service.setSilent(false)
	if _, _, err := get("", 600*time.Millisecond); err == nil {
		t.Error("it answers although it is silent")
	}
	service.setSilent(true)
	service.heal()
	if list, _, err := get("", patience); err != nil || len(list.Endpoints) != 1 || service.delay != 0 {
		t.Errorf("healed: %v, late by %v: %+v", err, service.delay, list)
	}
}
