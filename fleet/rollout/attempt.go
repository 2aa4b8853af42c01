package rollout

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
)

// What the history notes where an attempt begins: who began it, and the fencing token under which that was. The state
// has no field for it, as older programs would not forward one; they do forward the history.
const (
	takenPrefix      = "taken by "
	takenAgainPrefix = "taken up again by "
	tokenSeparator   = ", number "
)

// AttemptOf returns the number of the latest attempt at a plan, by the plan's history. Each attempt of a fleet has a
// number of its own, and later ones have greater numbers; it is 0 where an older program began the plan.
func AttemptOf(history []string) uint64 {
	if i := latestAttempt(history); i >= 0 {
		return attemptNumber(history[i])
	}
	return 0
}

// latestAttempt returns the index of the entry with which the latest attempt begins; negative if there is none.
func latestAttempt(history []string) int {
	for i, entry := range slices.Backward(history) {
		if attemptNumber(entry) != 0 {
			return i
		}
	}
	return -1
}

// attemptNumber returns the number of the attempt that begins with an entry; 0 if none does.
func attemptNumber(entry string) uint64 {
	if !strings.HasPrefix(entry, takenPrefix) && !strings.HasPrefix(entry, takenAgainPrefix) {
		return 0
	}
	_, text, found := strings.Cut(entry, tokenSeparator)
	number, err := strconv.ParseUint(text, 10, 64)
	if !found || err != nil {
		return 0
	}
	return number
}

// attemptEntry is the entry with which an attempt begins.
func attemptEntry(prefix, replica string, token uint64) string {
	return fmt.Sprintf("%s%s%s%d", prefix, replica, tokenSeparator, token)
}

// beginsAttempt reports whether a state begins another attempt than the one that it supersedes.
func (s *State) beginsAttempt(before *State) bool {
	if isResting(s.Phase) {
		return false
	}
	return isResting(before.Phase) || AttemptOf(s.History) > AttemptOf(before.History)
}
