package membership

import (
	"slices"
	"time"
)

// leftRetention is how long members that left stay in the table, to reject older records
// that still arrive.
const leftRetention = 10 * time.Minute

// memberTable holds the other members. Alive and suspect members are in reachable, dead
// members in unreachable, each exactly once and at its index.
type memberTable struct {
	byName      map[string]*member
	reachable   []*member // in probe order: shuffled for each round
	nextInRound int       // index in reachable of the next member to probe
	unreachable []*member
}

func newMemberTable() memberTable {
	return memberTable{byName: map[string]*member{}}
}

// add adds a member without a status; statusChanged must follow.
func (t *memberTable) add(name string) *member {
	m := &member{lastHeard: neverHeard, index: noIndex}
	t.byName[name] = m
	return m
}

// list returns the list for members of a status, or nil if there is none.
func (t *memberTable) list(status Status) *[]*member {
	switch status {
	case Alive, Suspect:
		return &t.reachable
	case Dead:
		return &t.unreachable
	}
	return nil
}

// statusChanged moves m to the list of its status. A member that becomes reachable gets
// a random position among those still to be probed in this round.
func (t *memberTable) statusChanged(m *member, previous Status, rng *random) {
	from, to := t.list(previous), t.list(m.Status)
	if from == to {
		return
	}
	if from != nil {
		last := len(*from) - 1
		(*from)[m.index] = (*from)[last]
		(*from)[m.index].index = m.index
		*from = (*from)[:last]
	}
	m.index = noIndex
	if to == nil {
		return
	}
	m.index = len(*to)
	*to = append(*to, m)
	if to == &t.reachable && t.nextInRound < m.index {
		t.swap(m.index, t.nextInRound+rng.below(m.index-t.nextInRound+1))
	}
}

// next returns the next member to probe, or nil if none is reachable. Each round visits
// every reachable member once, in a random order that differs between replicas, which
// spreads the probes of a fleet evenly over its members.
func (t *memberTable) next(rng *random) *member {
	if len(t.reachable) == 0 {
		return nil
	}
	if t.nextInRound >= len(t.reachable) {
		t.nextInRound = 0
		for i := len(t.reachable) - 1; i > 0; i-- {
			t.swap(i, rng.below(i+1))
		}
	}
	m := t.reachable[t.nextInRound]
	t.nextInRound++
	return m
}

// swap exchanges two members of reachable.
func (t *memberTable) swap(i, j int) {
	t.reachable[i], t.reachable[j] = t.reachable[j], t.reachable[i]
	t.reachable[i].index = i
	t.reachable[j].index = j
}

// sample draws up to n distinct reachable members other than except, which may be nil.
func (t *memberTable) sample(n int, except *member, rng *random) []*member {
	const drawsPerMember = 4
	var drawn []*member
	for draws := 0; len(drawn) < n && draws < drawsPerMember*n && len(t.reachable) > 0; draws++ {
		m := t.reachable[rng.below(len(t.reachable))]
		if m != except && !slices.Contains(drawn, m) {
			drawn = append(drawn, m)
		}
	}
	return drawn
}

// forgetLeft removes the members that left at least leftRetention ago.
func (t *memberTable) forgetLeft(now time.Duration) {
	for name, m := range t.byName {
		if m.Status == Left && now-m.statusSince >= leftRetention {
			delete(t.byName, name)
		}
	}
}
