package discovery

import (
	"fmt"
	"io"
	"net"
	"testing"
)

// Failed calls are counted by the stage at which they failed.
func TestFailedCallsAreCountedByStage(t *testing.T) {
	text := fullListOf(t, 1)
	for name, tc := range map[string]struct {
		answer string
		stage  CallStage
	}{
		"none":         {"", StageFirstByte},
		"other":        {"HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n", StageRejected},
		"cut off":      {fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(text), text[:50]), StageBody},
		"not a list":   {"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}", StageContent},
		"unknown base": {"HTTP/1.1 200 OK\r\nContent-Length: 27\r\n\r\n" + `{"index":9,"endpoints":[ ]}`, StageContent},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			notified := make(recorder, 8)
			called := make(chan net.Conn, 8)
			client := startClientOf(t, false, notified, called)
			go func() {
				for conn := range called {
					io.WriteString(conn, tc.answer)
					conn.Close()
				}
			}()
			if got := <-notified; got != "failed" {
				t.Fatalf("got notification %q, want \"failed\"", got)
			}
			counts := client.Counts()
			if counts.Watches != 1 || counts.WatchesLost != 1 {
				t.Errorf("got %d watches, %d lost, want 1 and 1", counts.Watches, counts.WatchesLost)
			}
			if counts.Failed[tc.stage] == 0 || len(counts.Failed) != 1 || counts.Answered != 0 {
				t.Errorf("got counts %+v, want only failures at stage %q", counts, tc.stage)
			}
		})
	}
}
