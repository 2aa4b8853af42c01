package fleet

import (
	"net"
	"time"

	"github.com/fxamacker/cbor/v2"

	"ryerill/fleet/membership"
	"ryerill/fleet/rollout"
)

// fetchIfNewer fetches a replica's rollout state if the announced version is newer than this
// replica's. Callers must hold mu.
func (f *Fleet) fetchIfNewer(replica string, announced *rollout.State) {
	h := f.rollouts
	own := h.participant.State()
	if announced == nil || !announced.Newer(&own) || h.fetching || time.Since(h.fetchFailedAt) <= fetchRetry {
		return
	}
	known, _ := f.list.Find(replica)
	address := f.transport.override(replica, known.Tags.Address)
	h.fetching = true
	f.goroutines.Go(func() { f.fetchRolloutState(address) })
}

// fetchRolloutState fetches another replica's rollout state and passes it to the participant.
func (f *Fleet) fetchRolloutState(address string) {
	state, text, err := f.requestRolloutState(address)
	f.mu.Lock()
	defer f.mu.Unlock()
	h := f.rollouts
	h.fetching = false
	if err != nil {
		h.fetchFailedAt = time.Now()
		f.log.warnThrottled("fleet rollout state not fetched", "address", address, "err", err)
		return
	}
	h.fetchFailedAt = time.Time{}
	h.fetched = text
	h.fetchedAt = versionOf(state)
	f.executeRollout(h.participant.Handle(f.now(), rollout.Message{
		Kind:         rollout.StateUpdate,
		From:         state.Leader,
		FencingToken: state.FencingToken,
		State:        state,
	}, nil))
}

// requestRolloutState returns the rollout state of the replica at address, decoded and encoded.
func (f *Fleet) requestRolloutState(address string) (*rollout.State, []byte, error) {
	conn, err := dial(address)
	if err != nil {
		return nil, nil, err
	}
	defer conn.Close()
	request := &membership.Message{Kind: membership.RolloutFetch, From: f.self()}
	if err := f.transport.write(conn, request); err != nil {
		return nil, nil, err
	}
	response, err := f.transport.read(conn, membership.RolloutState)
	if err != nil {
		return nil, nil, err
	}
	state := new(rollout.State)
	err = cbor.Unmarshal(response.Payload, state)
	return state, response.Payload, err
}

// serveRolloutState sends this replica's rollout state.
func (f *Fleet) serveRolloutState(conn net.Conn) {
	payload, err := f.encodedRolloutState()
	if err != nil || payload == nil {
		return
	}
	// After a failure the other replica fetches the state again.
	_ = f.transport.write(conn, &membership.Message{Kind: membership.RolloutState, From: f.self(), Payload: payload})
}

// encodedRolloutState returns nil if this replica takes no part in rollouts.
func (f *Fleet) encodedRolloutState() ([]byte, error) {
	f.mu.Lock()
	h := f.rollouts
	if h == nil {
		f.mu.Unlock()
		return nil, nil
	}
	state := h.participant.State()
	fetched := h.fetched
	fetchedAt := h.fetchedAt
	f.mu.Unlock()
	if fetched != nil && fetchedAt == versionOf(&state) {
		return fetched, nil
	}
	return cbor.Marshal(state)
}

// self returns this replica's membership state.
func (f *Fleet) self() membership.State {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.list.Self().State
}
