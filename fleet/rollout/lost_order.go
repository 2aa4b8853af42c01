package rollout

import "slices"

// giveLostOrderAgain executes an abort or a rollback that an operator ordered in a superseded state and that the state
// in its place does not know: the order was given in a minority, and the majority went on without it. The superseded
// state is all that has to be kept for that, so the order outlasts a restart where there is a state file.
func (p *Participant) giveLostOrderAgain(superseded *State) {
	command := p.state.lostOrder(superseded)
	switch {
	case command == "":
	case p.state.Phase.Ended():
		p.env.log("plan " + p.state.Plan.ID + ": " + command + " came too late: " + p.state.Phase.String())
	default:
		p.env.log("plan " + p.state.Plan.ID + ": " + command + " was not known to the others and is given again")
		_ = p.Command(p.env.now, command) // the plan is under way and the command is known: it can't fail
	}
}

// lostOrder returns the command by which an operator ended a plan in a superseded state, if s does not know of it and
// does not go back anyhow; empty if there is none. A plan that was handed over again is not the one that was ended.
func (s *State) lostOrder(superseded *State) string {
	if s.Phase == RollingBack || s.Phase == RolledBack || !s.continues(superseded) {
		return ""
	}
	for _, entry := range slices.Backward(superseded.History) {
		if command := endingCommand(entry); command != "" && !slices.Contains(s.History, entry) {
			return command
		}
	}
	return ""
}

// continues reports whether two states are of one plan that was handed over once. Older programs don't number that.
func (s *State) continues(other *State) bool {
	if s.Plan.ID != other.Plan.ID || len(s.History) == 0 || len(other.History) == 0 {
		return false
	}
	return s.History[0] == other.History[0] && attemptNumber(s.History[0]) != 0
}

// endingCommand returns the command of an operator that an entry of the history is of, if it ends the plan.
func endingCommand(entry string) string {
	switch entry {
	case historyEntry(RollingBack, abortByOperator), historyEntry(Aborted, abortByOperator):
		return commandAbort
	case historyEntry(RollingBack, byOperator):
		return commandBack
	default:
		return ""
	}
}
