package proxy

// send makes an invoker call and books its end. It runs beside the core.
func (c *core) send(k *call) {
	outcome, response := c.pool.Do(&k.Call)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.book(k, outcome, response)
}
