package main

import (
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"net/http"
	"os"
	"slices"
	"strconv"
	"sync"
	"time"
)

// entry is an entry of the list, in discovery's form.
type entry struct {
	Name    string  `json:"name"`
	Address string  `json:"address"`
	Zone    string  `json:"zone"`
	Type    string  `json:"type"`
	Group   int     `json:"group"`
	Status  string  `json:"status"`
	Weight  float64 `json:"weight"`
	SinceMS int64   `json:"since_ms"`
}

type list struct {
	Index     uint64  `json:"index"`
	Snapshot  bool    `json:"snapshot"`
	Endpoints []entry `json:"endpoints"`
}

// directory is a discovery service that is asked. It answers at once, or when a watched version has changed.
type directory struct {
	rec *record

	mu      sync.Mutex
	list    list
	changed map[string]uint64 // version of each entry's last change
	watched bool              // a watch has begun since the last change
	gone    []entry           // entries that left the list
	notify  chan struct{}     // closed at the next change
}

func runDirectory(args []string) error {
	flags := flag.NewFlagSet("directory", flag.ExitOnError)
	listen := flags.String("listen", "", "loopback address")
	control := flags.String("control", "", "loopback address at which the case changes the list")
	file := flags.String("list", "", "file with the first list")
	path := flags.String("record", "", "record file")
	_ = flags.Parse(args)
	rec, err := openRecord(*path, "directory")
	if err != nil {
		return err
	}
	text, err := os.ReadFile(*file)
	if err != nil {
		return err
	}
	d := &directory{rec: rec, changed: map[string]uint64{}, notify: make(chan struct{})}
	if err := json.Unmarshal(text, &d.list); err != nil {
		return err
	}
	go func() { fmt.Fprintln(os.Stderr, http.ListenAndServe(*control, http.HandlerFunc(d.control))) }()
	mux := http.NewServeMux()
	mux.HandleFunc("/v1/endpoints", d.serve)
	rec.event("listens", "address", *listen)
	if err := http.ListenAndServe(*listen, mux); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// control changes the status of an entry: /NAME/STATUS.
func (d *directory) control(w http.ResponseWriter, r *http.Request) {
	name, status := r.URL.Query().Get("name"), r.URL.Query().Get("status")
	d.mu.Lock()
	defer d.mu.Unlock()
	i := slices.IndexFunc(d.list.Endpoints, func(e entry) bool { return e.Name == name })
	if i < 0 {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	d.list.Index++
	d.changed[name] = d.list.Index
	d.list.Endpoints[i].Status = status
	if status == "Gone" {
		d.gone = append(d.gone, d.list.Endpoints[i])
		d.list.Endpoints = slices.Delete(d.list.Endpoints, i, i+1)
	}
	d.rec.event("changes", "name", name, "status", status, "index", d.list.Index)
	d.watched = false
	close(d.notify)
	d.notify = make(chan struct{})
}

func (d *directory) serve(w http.ResponseWriter, r *http.Request) {
	since, watches := r.URL.Query()["since"]
	var answer list
	d.mu.Lock()
	if watches {
		version, _ := strconv.ParseUint(since[0], 10, 64)
		wait, _ := strconv.Atoi(r.URL.Query().Get("timeout_ms"))
		timeout := time.After(time.Duration(min(wait, 60_000)) * time.Millisecond)
		if d.list.Index <= version && !d.watched {
			d.watched = true
			d.rec.event("watched", "since", version)
		}
		for waiting := true; waiting && d.list.Index <= version; {
			notify := d.notify
			d.mu.Unlock()
			select {
			case <-notify:
			case <-timeout:
				waiting = false
			case <-r.Context().Done():
				waiting = false
			}
			d.mu.Lock()
		}
		answer = d.since(version)
	} else {
		answer = d.list
		answer.Snapshot = true
	}
	text, _ := json.Marshal(answer)
	index, entries := answer.Index, len(answer.Endpoints)
	d.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	if _, err := w.Write(text); err == nil && entries > 0 {
		d.rec.event("tells", "index", index, "snapshot", answer.Snapshot, "entries", entries, "to", r.RemoteAddr)
	}
}

// since returns the changes after a version. Callers must hold d.mu.
func (d *directory) since(version uint64) list {
	answer := list{Index: d.list.Index, Endpoints: []entry{}}
	for _, e := range append(slices.Clone(d.list.Endpoints), d.gone...) {
		if d.changed[e.Name] > version {
			answer.Endpoints = append(answer.Endpoints, e)
		}
	}
	return answer
}
