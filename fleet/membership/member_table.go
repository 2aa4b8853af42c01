package membership

import (
	"slices"
	"time"
)

// leftRetention is how long a member that left is kept: older records of it may
// still arrive.
const leftRetention = 10 * time.Minute

// memberTable holds the other members. Each one that is alive or suspect is in
// reachable, each dead one in unreachable, once, at its index.
type memberTable struct {
	byName      map[string]*member
	reachable   []*member // in probe order: shuffled for each round
	nextInRound int       // index in reachable of the member to be probed next
	unreachable []*member
}

func newMemberTable() memberTable {
	return memberTable{byName: map[string]*member{}}
}

// add adds a member whose status is not known yet.
func (t *memberTable) add(name string) *member {
	m := &member{lastHeard: neverHeard, index: noIndex}
	t.byName[name] = m
	return m
}

// list returns the list that members of a status are on; nil if there is none.
func (t *memberTable) list(status Status) *[]*member {
	switch status {
	case Alive, Suspect:
		return &t.reachable
	case Dead:
		return &t.unreachable
	}
	return nil
}

// statusChanged moves m to the list of its status. One that becomes reachable gets a
// random place among those still to be probed in this round.
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

// next returns the member to be probed next, nil if there is none. In a round each
// member is probed once, in an order of this table's own, so that all members
// together probe each member evenly.
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

// sample draws up to n different reachable members other than except, which may be nil.
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

// forgetLeft removes the members that left long ago.
func (t *memberTable) forgetLeft(now time.Duration) {
	for name, m := range t.byName {
		if m.Status == Left && now-m.statusSince >= leftRetention {
			delete(t.byName, name)
		}
	}
}
