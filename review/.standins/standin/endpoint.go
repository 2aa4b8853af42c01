package main

import (
	"errors"
	"flag"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// runEndpoint serves requests as a sound endpoint: it runs a request when its last byte has come, and answers 200 with a
// body that names the request and itself. A request that does not come whole does not run.
func runEndpoint(args []string) error {
	flags := flag.NewFlagSet("endpoint", flag.ExitOnError)
	name := flags.String("name", "", "name in the list")
	listen := flags.String("listen", "", "loopback address")
	path := flags.String("record", "", "record file")
	work := flags.Duration("work", 20*time.Millisecond, "time that a request takes")
	_ = flags.Parse(args)
	rec, err := openRecord(*path, *name)
	if err != nil {
		return err
	}
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		id := r.Header.Get("Req-Id")
		if id == "" {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		rec.event("head", "id", id, "method", r.Method, "length", r.ContentLength)
		received, err := io.Copy(io.Discard, r.Body)
		if err != nil {
			rec.event("broken", "id", id, "bytes", received)
			return
		}
		rec.event("run", "id", id, "bytes", received)
		time.Sleep(*work)
		answer := fmt.Sprintf("%s by %s\n", id, *name)
		size, _ := strconv.Atoi(r.URL.Query().Get("size"))
		pace, _ := strconv.Atoi(r.URL.Query().Get("pace"))
		if size > 0 && pace > 0 {
			err = giveLong(w, answer, size, pace)
		} else {
			_, err = io.WriteString(w, answer)
		}
		if err != nil {
			rec.event("cut-off", "id", id, "err", fmt.Sprintf("%q", err))
			return
		}
		rec.event("answered", "id", id)
	})
	server := &http.Server{Addr: *listen, Handler: handler, IdleTimeout: 5 * time.Second}
	rec.event("listens", "address", *listen)
	if err := server.ListenAndServe(); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// giveLong gives an answer of at least size bytes, which repeats a line, in small pieces at a pace in bytes a second.
func giveLong(w http.ResponseWriter, line string, size, pace int) error {
	whole := strings.Repeat(line, size/len(line)+1)
	w.Header().Set("Content-Length", strconv.Itoa(len(whole)))
	const piece = 8 << 10
	began := time.Now()
	for given := 0; given < len(whole); {
		n, err := io.WriteString(w, whole[given:min(given+piece, len(whole))])
		if err != nil {
			return err
		}
		if err := http.NewResponseController(w).Flush(); err != nil {
			return err
		}
		given += n
		time.Sleep(time.Until(began.Add(time.Duration(float64(given) / float64(pace) * float64(time.Second)))))
	}
	return nil
}
