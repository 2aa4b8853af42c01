package rollout

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// drive takes the plan one step on. This copy leads.
func (r *Rollout) drive() {
	s, p := &r.state, &r.state.Plan
	if s.Age > p.Expires && s.Phase != Back && s.Phase != Soaking {
		r.turn(Expired, "it was not through in time")
		return
	}
	switch s.Phase {
	case Changing:
		r.change()
	case Soaking:
		r.soak()
	case Back:
		r.back()
	}
}

func (r *Rollout) find(name string) *Copy {
	if i := slices.IndexFunc(r.copies, func(c Copy) bool { return c.Name == name }); i >= 0 {
		return &r.copies[i]
	}
	return nil
}

// away counts copies that are not ready to serve, whatever the reason, and those that
// were told to change and have not yet.
func (r *Rollout) away(done func(*Copy) bool) (n int) {
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
func (r *Rollout) change() {
	s, p := &r.state, &r.state.Plan
	if len(s.Chosen) == 0 && (r.now < r.orders+p.Watch || r.now < r.orders+p.Watch+p.Unknown && !r.before.Enough(p.Guards, r.next())) {
		return // it is found how copies differ while all are alike
	}
	zones := map[string]bool{}
	all := 0
	for _, c := range r.copies {
		zones[c.Zone] = true
		all++
	}
	if want := p.Size(s.Stage, all, len(zones)); len(s.Chosen) < want {
		// A copy that is not there now is passed over, and has its turn when it is back.
		for _, c := range order(p.ID, r.copies) {
			if len(s.Chosen) < want && c.Alive && !slices.Contains(s.Chosen, c.Name) {
				s.Chosen = append(s.Chosen, c.Name)
				s.Version++
			}
		}
	}
	done := func(c *Copy) bool { return c.Holds == p.Target && c.Ready }
	left, there := 0, 0
	for _, name := range s.Chosen {
		c := r.find(name)
		if c == nil || !c.Alive {
			if at, told := r.ordered[name]; told && r.now-at > p.Wait {
				r.worse(name, "went away when it was changed and did not come back")
				return
			}
			if _, told := r.ordered[name]; told {
				left++
			}
			continue
		}
		there++
		if c.Refused != "" {
			r.worse(name, "could not take it: "+c.Refused)
			return
		}
		if done(c) {
			r.epochs[name] = c.Epoch
			delete(r.ordered, name)
			continue
		}
		left++
		if at, told := r.ordered[name]; told {
			if r.now-at > p.Wait {
				r.worse(name, fmt.Sprintf("is not ready with it after %v", p.Wait))
				return
			}
			if r.now-at > time.Second { // the order may be lost
				r.send(name, Message{Kind: Order, Fence: r.fence, Plan: p.ID, Target: p.Target})
			}
			continue
		}
		if r.away(done) < p.Away {
			r.ordered[name] = r.now
			r.order(name, p.Target, false)
		}
	}
	if left == 0 && there > 0 {
		clear(r.ordered)
		s.StageAt = s.Age
		r.judge = NewJudge(p.Guards, s.Chosen, r.before)
		r.turn(Soaking, fmt.Sprintf("stage %d: %d of %d copies hold it", s.Stage+1, len(s.Chosen), all))
	} else if left == 0 && there == 0 && s.Age > p.Expires/2 {
		r.turn(Stopped, "none of the copies of this stage is there")
	}
}

// next is the copy that is changed first.
func (r *Rollout) next() string {
	for _, c := range order(r.state.Plan.ID, r.copies) {
		if c.Alive {
			return c.Name
		}
	}
	return ""
}

// order tells one copy, which may be this one.
func (r *Rollout) order(name, target string, back bool) {
	if name == r.name {
		r.obey(r.state.Plan.ID, target, back)
		return
	}
	r.send(name, Message{Kind: Order, Fence: r.fence, Plan: r.state.Plan.ID, Target: target, Back: back})
}

// soak watches the copies that were changed.
func (r *Rollout) soak() {
	s, p := &r.state, &r.state.Plan
	if r.judge == nil { // another led: it is watched anew
		r.judge = NewJudge(p.Guards, s.Chosen, r.before)
		s.StageAt = s.Age
	}
	for _, name := range s.Chosen {
		c := r.find(name)
		if c == nil {
			continue
		}
		epoch, known := r.epochs[name]
		switch {
		case !known && c.Alive:
			r.epochs[name] = c.Epoch
		case known && c.Alive && c.Epoch != epoch && c.Holds == p.Target:
			r.worse(name, "started anew within its soak")
			return
		case known && !c.Alive && r.others() > 0 && 2*r.dead() <= len(r.copies):
			// Copies die of other things too: of those that were not changed as many would be gone.
			if r.judge.Deaths(name, r.deadUnchanged(s.Chosen), len(r.copies)-len(s.Chosen)) {
				r.worse(name, "went away within its soak")
				return
			}
		case c.Alive && c.Holds != p.Target:
			if c.Refused != "" {
				r.worse(name, "went back by itself: "+c.Refused)
				return
			}
			r.turn(Changing, name+" does not hold it any more")
			return
		}
	}
	span := s.Age - s.StageAt
	switch verdict, why := r.judge.Verdict(r.now); {
	case verdict == Bad:
		r.worse("", why)
	case span < p.Stages[min(s.Stage, len(p.Stages)-1)].Soak:
	case verdict == Good || r.unchanged() == 0: // with nobody to compare with, the stages before have to do
		if s.Stage+1 >= len(p.Stages) {
			r.turn(Done, fmt.Sprintf("%d copies hold it", len(s.Chosen)))
			return
		}
		s.Stage++
		r.judge = nil
		r.turn(Changing, fmt.Sprintf("stage %d follows: %s", s.Stage+1, why))
	case span > p.Stages[min(s.Stage, len(p.Stages)-1)].Soak+p.Unknown:
		r.turn(Stopped, "too little is known to go on: "+why)
	}
}

// unchanged is how many copies are there that were not changed.
func (r *Rollout) unchanged() (n int) {
	for _, c := range r.copies {
		if c.Alive && !slices.Contains(r.state.Chosen, c.Name) {
			n++
		}
	}
	return n
}

func (r *Rollout) others() int { return len(r.copies) - len(r.state.Chosen) }

func (r *Rollout) dead() (n int) {
	for _, c := range r.copies {
		if !c.Alive {
			n++
		}
	}
	return n
}

func (r *Rollout) deadUnchanged(chosen []string) (n int) {
	for _, c := range r.copies {
		if !c.Alive && !slices.Contains(chosen, c.Name) {
			n++
		}
	}
	return n
}

// worse ends a stage that does worse.
func (r *Rollout) worse(name, why string) {
	s := &r.state
	if name != "" {
		why = name + " " + why
		s.Failed = append(s.Failed, name)
	}
	clear(r.ordered)
	if s.Plan.Back {
		r.turn(Back, why)
	} else {
		r.turn(Stopped, why)
	}
}

// back has all that were changed hold what they held before: no more away at once than
// allowed, but before all else.
func (r *Rollout) back() {
	s, p := &r.state, &r.state.Plan
	done := func(c *Copy) bool { return c.Holds != p.Target && c.Ready }
	left := 0
	var missing []string
	for _, name := range s.Chosen {
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
		case told || len(r.ordered) < p.Away && (r.away(done) < p.Away || !c.Ready): // one that is not ready is away already, or was when it told
			if !told {
				r.ordered[name] = r.now
			}
			r.order(name, "", true)
		}
		if told && r.now-at > 4*p.Wait {
			r.turn(Stopped, name+" does not go back")
			return
		}
	}
	if left == 0 {
		why := s.Reason
		if len(missing) > 0 {
			why += "; not there, and to be looked at: " + strings.Join(missing, ", ")
		}
		r.turn(BackDone, why)
	}
}
