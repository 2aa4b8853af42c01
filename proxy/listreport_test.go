package proxy

import (
	"log/slog"
	"strings"
	"testing"
	"time"

	"ryerill/balancer"
	"ryerill/discovery"
)

// Changes by a list are logged at once with its version and counted in the report. Further lists within the log interval
// yield one more line with the totals.
func TestListChangesAreLoggedAndReported(t *testing.T) {
	t.Parallel()
	c, list := newListCore(t, 20)
	log := new(strings.Builder)
	c.log = slog.New(slog.NewTextHandler(log, nil))
	withdraw := func(i int) {
		entry := list.Endpoints[i]
		entry.Status = discovery.Terminating
		c.applyListLocked(balancer.ListChanges, discovery.EndpointList{Index: uint64(2 + i), Endpoints: []discovery.Endpoint{entry}})
	}
	c.listObserver.loggedAt = time.Time{}
	withdraw(0)
	if !strings.Contains(log.String(), "version=2 endpoints=20 added=0 withdrawn=1 returned=0 removed=0") {
		t.Errorf("got %s, want a line about version 2", log)
	}
	log.Reset()
	c.listObserver.loggedAt = time.Now().Add(time.Hour) // no interval ends in between
	for i := 1; i < 12; i++ {
		withdraw(i)
	}
	c.applyListLocked(balancer.ListChanges, discovery.EndpointList{Index: 14, Endpoints: []discovery.Endpoint{
		{Name: list.Endpoints[0].Name, Status: discovery.Gone}, list.Endpoints[1],
	}})
	if log.Len() > 0 {
		t.Errorf("got %s within the log interval, want nothing", log)
	}
	c.listObserver.delayed.Stop()
	c.logListChanges()
	for _, want := range []string{"version=14", "endpoints=19", "withdrawn=11", "returned=1", "removed=1", list.Endpoints[8].Name} {
		if !strings.Contains(log.String(), want) {
			t.Errorf("%s not found in log line %s", want, log)
		}
	}
	if strings.Count(log.String(), "\n") != 1 || strings.Contains(log.String(), list.Endpoints[9].Name) {
		t.Errorf("got %s, want one line with a limited number of names", log)
	}
	report := c.listReport()
	if report.Version != 14 || report.Endpoints != 19 || report.Ready != 9 || report.Applied != 14 {
		t.Errorf("got report %+v, want version 14, 19 endpoints, 9 ready, 14 applied", report)
	}
}
