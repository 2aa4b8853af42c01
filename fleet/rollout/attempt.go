package rollout

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
)

// The history entry that begins an attempt names the replica that began it and its fencing token. The state has no
// field for the attempt because older programs would not forward it; they do forward the history.
const (
	takenPrefix      = "taken by "
	takenAgainPrefix = "taken up again by "
	tokenSeparator   = ", number "
)

// AttemptOf returns the number of the latest attempt in a plan's history. Numbers are unique in a fleet, and later
// attempts have greater numbers. The number is 0 if an older program began the plan.
func AttemptOf(history []string) uint64 {
	if i := latestAttempt(history); i >= 0 {
		return attemptNumber(history[i])
	}
	return 0
}

// latestAttempt returns the index of the entry that begins the latest attempt, or -1 if there is none.
func latestAttempt(history []string) int {
	for i, entry := range slices.Backward(history) {
		if attemptNumber(entry) != 0 {
			return i
		}
	}
	return -1
}

// attemptNumber returns the number of the attempt that an entry begins, or 0 if the entry begins none.
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

// attemptEntry returns the history entry that begins an attempt.
func attemptEntry(prefix, replica string, token uint64) string {
	return fmt.Sprintf("%s%s%s%d", prefix, replica, tokenSeparator, token)
}

// beginsAttempt reports whether s belongs to a later attempt than the state that it supersedes.
func (s *State) beginsAttempt(before *State) bool {
	if isResting(s.Phase) {
		return false
	}
	return isResting(before.Phase) || AttemptOf(s.History) > AttemptOf(before.History)
}
