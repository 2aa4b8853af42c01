package rollout

import "slices"

// repeatLostCommand repeats an operator's abort or rollback that the superseded state contains and the new state lacks:
// the command was given in a minority partition, and the majority continued without it. It needs only the superseded
// state, so the command survives a restart if there is a state file.
func (p *Participant) repeatLostCommand(superseded *State) {
	command := p.state.lostCommand(superseded)
	switch {
	case command == "":
	case p.state.Phase.Ended():
		p.env.log("plan " + p.state.Plan.ID + ": " + command + " not repeated, plan ended: " + p.state.Phase.String())
	default:
		p.env.log("plan " + p.state.Plan.ID + ": " + command + " was lost in a partition and is repeated")
		_ = p.Command(p.env.now, command) // the plan is under way and the command is known: it can't fail
	}
}

// lostCommand returns the command by which an operator ended the plan in a superseded state, if s lacks it and isn't
// rolling back anyway; otherwise "". A plan that was started again is not the one that the operator ended.
func (s *State) lostCommand(superseded *State) string {
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

// continues reports whether two states belong to the same start of a plan. Older programs don't number starts.
func (s *State) continues(other *State) bool {
	if s.Plan.ID != other.Plan.ID || len(s.History) == 0 || len(other.History) == 0 {
		return false
	}
	return s.History[0] == other.History[0] && attemptNumber(s.History[0]) != 0
}

// endingCommand returns the operator's command that a history entry records if it ends the plan; otherwise "".
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
