package balancer

// timerTable maps the tokens of pending timers to the keys whose queues they advance.
type timerTable struct {
	keys   map[uint32]uint64
	latest uint32
}

// add returns a new token for a key. The token is never pollToken.
func (t *timerTable) add(key uint64) uint32 {
	t.latest = max(t.latest+1, pollToken+1)
	t.keys[t.latest] = key
	return t.latest
}

// take removes a token and returns its key. ok is false for an unknown token.
func (t *timerTable) take(token uint32) (key uint64, ok bool) {
	key, ok = t.keys[token]
	if ok {
		delete(t.keys, token)
	}
	return key, ok
}
