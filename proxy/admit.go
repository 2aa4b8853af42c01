package proxy

import (
	"time"

	"ryerill/balancer"
)

// admit asks the Balancer what becomes of an invocation.
func (c *core) admit(e *entry) {
	c.booked.arrived(e.inv.Class, e.inv.Tenant)
	c.happen(balancer.Event{Kind: balancer.RequestArrived, Request: e.id, Class: e.inv.Class, Tenant: e.inv.Tenant,
		Key: e.inv.Key, Remaining: max(time.Until(e.until), 0), ClientRetry: e.inv.ClientRetry, Write: e.inv.Write})
}
