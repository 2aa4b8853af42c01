package rollout

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// drive takes the plan one step on. This copy leads.
func (r *Participant) drive() {
	s, p := &r.state, &r.state.Plan
	if s.Age > p.ExpiresAfter && s.Phase != RollingBack && s.Phase != Observing {
		r.turn(Expired, "it was not through in time")
		return
	}
	switch s.Phase {
	case Changing:
		r.change()
	case Observing:
		r.soak()
	case RollingBack:
		r.back()
	}
}

func (r *Participant) find(name string) *Replica {
	if i := slices.IndexFunc(r.copies, func(c Replica) bool { return c.Name == name }); i >= 0 {
		return &r.copies[i]
	}
	return nil
}

// away counts copies that are not ready to serve, whatever the reason, and those that
// were told to change and have not yet.
func (r *Participant) away(done func(*Replica) bool) (n int) {
	for i := range r.copies {
		c := &r.copies[i]
		_, told := r.ordered[c.Name]
		if !c.Alive || !c.Ready || told && !done(c) {
			n++
		}
	}
	return n
}

// change has the copies of the present stage change, no more of them away at once
// than the plan allows.
func (r *Participant) change() {
	s, p := &r.state, &r.state.Plan
	if len(s.Selected) == 0 && (r.now < r.orders+p.Baseline || r.now < r.orders+p.Baseline+p.ExtraObservation && !r.before.Sufficient(p.Guardrails, r.next())) {
		return // it is found how copies differ while all are alike
	}
	zones := map[string]bool{}
	all := 0
	for _, c := range r.copies {
		zones[c.Zone] = true
		all++
	}
	if want := p.Size(s.Stage, all, len(zones)); len(s.Selected) < want {
		// A copy that is not there now is passed over, and has its turn when it is back.
		for _, c := range order(p.ID, r.copies) {
			if len(s.Selected) < want && c.Alive && !slices.Contains(s.Selected, c.Name) {
				s.Selected = append(s.Selected, c.Name)
				s.Version++
			}
		}
	}
	done := func(c *Replica) bool { return c.Version == p.Target && c.Ready }
	left, there := 0, 0
	for _, name := range s.Selected {
		c := r.find(name)
		if c == nil || !c.Alive {
			if at, told := r.ordered[name]; told && r.now-at > p.ReadyTimeout {
				r.worse(name, "went away when it was changed and did not come back")
				return
			}
			if _, told := r.ordered[name]; told {
				left++
			}
			continue
		}
		there++
		if c.RefusedReason != "" {
			r.worse(name, "could not take it: "+c.RefusedReason)
			return
		}
		if done(c) {
			r.epochs[name] = c.Epoch
			delete(r.ordered, name)
			continue
		}
		left++
		if at, told := r.ordered[name]; told {
			if r.now-at > p.ReadyTimeout {
				r.worse(name, fmt.Sprintf("is not ready with it after %v", p.ReadyTimeout))
				return
			}
			if r.now-at > time.Second { // the order may be lost
				r.send(name, Message{Kind: ChangeOrder, FencingToken: r.fence, Plan: p.ID, Target: p.Target})
			}
			continue
		}
		if r.away(done) < p.MaxUnavailable {
			r.ordered[name] = r.now
			r.order(name, p.Target, false)
		}
	}
	if left == 0 && there > 0 {
		clear(r.ordered)
		s.ObservationStart = s.Age
		r.judge = NewEvaluator(p.Guardrails, s.Selected, r.before)
		r.turn(Observing, fmt.Sprintf("stage %d: %d of %d copies hold it", s.Stage+1, len(s.Selected), all))
	} else if left == 0 && there == 0 && s.Age > p.ExpiresAfter/2 {
		r.turn(Stopped, "none of the copies of this stage is there")
	}
}

// next is the copy that is changed first.
func (r *Participant) next() string {
	for _, c := range order(r.state.Plan.ID, r.copies) {
		if c.Alive {
			return c.Name
		}
	}
	return ""
}

// order tells one copy, which may be this one.
func (r *Participant) order(name, target string, back bool) {
	if name == r.name {
		r.obey(r.state.Plan.ID, target, back)
		return
	}
	r.send(name, Message{Kind: ChangeOrder, FencingToken: r.fence, Plan: r.state.Plan.ID, Target: target, RollBack: back})
}

// soak watches the copies that were changed.
func (r *Participant) soak() {
	s, p := &r.state, &r.state.Plan
	if r.judge == nil { // another led: it is watched anew
		r.judge = NewEvaluator(p.Guardrails, s.Selected, r.before)
		s.ObservationStart = s.Age
	}
	for _, name := range s.Selected {
		c := r.find(name)
		if c == nil {
			continue
		}
		epoch, known := r.epochs[name]
		switch {
		case !known && c.Alive:
			r.epochs[name] = c.Epoch
		case known && c.Alive && c.Epoch != epoch && c.Version == p.Target:
			r.worse(name, "started anew within its soak")
			return
		case known && !c.Alive && r.others() > 0 && 2*r.dead() <= len(r.copies):
			// Copies die of other things too: of those that were not changed as many would be gone.
			if r.judge.DeathsExceedChance(name, r.deadUnchanged(s.Selected), len(r.copies)-len(s.Selected)) {
				r.worse(name, "went away within its soak")
				return
			}
		case c.Alive && c.Version != p.Target:
			if c.RefusedReason != "" {
				r.worse(name, "went back by itself: "+c.RefusedReason)
				return
			}
			r.turn(Changing, name+" does not hold it any more")
			return
		}
	}
	span := s.Age - s.ObservationStart
	switch verdict, why := r.judge.Assess(r.now); {
	case verdict == Regressed:
		r.worse("", why)
	case span < p.Stages[min(s.Stage, len(p.Stages)-1)].Observation:
	case verdict == Passed || r.unchanged() == 0: // with nobody to compare with, the stages before have to do
		if s.Stage+1 >= len(p.Stages) {
			r.turn(Done, fmt.Sprintf("%d copies hold it", len(s.Selected)))
			return
		}
		s.Stage++
		r.judge = nil
		r.turn(Changing, fmt.Sprintf("stage %d follows: %s", s.Stage+1, why))
	case span > p.Stages[min(s.Stage, len(p.Stages)-1)].Observation+p.ExtraObservation:
		r.turn(Stopped, "too little is known to go on: "+why)
	}
}

// unchanged is how many copies are there that were not changed.
func (r *Participant) unchanged() (n int) {
	for _, c := range r.copies {
		if c.Alive && !slices.Contains(r.state.Selected, c.Name) {
			n++
		}
	}
	return n
}

func (r *Participant) others() int { return len(r.copies) - len(r.state.Selected) }

func (r *Participant) dead() (n int) {
	for _, c := range r.copies {
		if !c.Alive {
			n++
		}
	}
	return n
}

func (r *Participant) deadUnchanged(chosen []string) (n int) {
	for _, c := range r.copies {
		if !c.Alive && !slices.Contains(chosen, c.Name) {
			n++
		}
	}
	return n
}

// worse ends a stage that does worse.
func (r *Participant) worse(name, why string) {
	s := &r.state
	if name != "" {
		why = name + " " + why
		s.Failed = append(s.Failed, name)
	}
	clear(r.ordered)
	if s.Plan.RollBack {
		r.turn(RollingBack, why)
	} else {
		r.turn(Stopped, why)
	}
}

// back has all that were changed hold what they held before: no more away at once than
// allowed, but before all else.
func (r *Participant) back() {
	s, p := &r.state, &r.state.Plan
	done := func(c *Replica) bool { return c.Version != p.Target && c.Ready }
	left := 0
	var missing []string
	for _, name := range s.Selected {
		c := r.find(name)
		if c == nil || !c.Alive {
			missing = append(missing, name)
			continue
		}
		if done(c) {
			delete(r.ordered, name)
			continue
		}
		left++
		at, told := r.ordered[name]
		switch {
		case told && r.now-at <= time.Second:
		case told || len(r.ordered) < p.MaxUnavailable && (r.away(done) < p.MaxUnavailable || !c.Ready): // one that is not ready is away already, or was when it told
			if !told {
				r.ordered[name] = r.now
			}
			r.order(name, "", true)
		}
		if told && r.now-at > 4*p.ReadyTimeout {
			r.turn(Stopped, name+" does not go back")
			return
		}
	}
	if left == 0 {
		why := s.Reason
		if len(missing) > 0 {
			why += "; not there, and to be looked at: " + strings.Join(missing, ", ")
		}
		r.turn(RolledBack, why)
	}
}
