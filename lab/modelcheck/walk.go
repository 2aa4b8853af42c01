package modelcheck

import (
	"math/rand/v2"
	"slices"
)

// Walk makes random walks of a length, beyond what can be visited whole. The first thing that must not be ends it; its
// trace is then shortened to moves without which it does not come about.
func Walk(start func() System, seed uint64, walks, length int) Result {
	var result Result
	rng := rand.New(rand.NewPCG(seed, 1))
	for range walks {
		names, err := walk(start(), rng, length)
		result.Moves += len(names)
		if err != nil {
			result.Err = err
			result.Trace = shrink(start, names)
			return result
		}
		result.States++
		result.Depth = max(result.Depth, len(names))
	}
	return result
}

// walk makes random moves until one fails, and returns their names.
func walk(system System, rng *rand.Rand, length int) ([]string, error) {
	var names []string
	for range length {
		moves := system.Moves()
		if len(moves) == 0 {
			break
		}
		move := rng.IntN(len(moves))
		names = append(names, moves[move])
		if err := system.Do(move); err != nil {
			return names, err
		}
	}
	return names, nil
}

// shrink leaves out moves, by their names, as long as the walk still fails.
func shrink(start func() System, names []string) []string {
	for size := len(names) / 2; size > 0; size /= 2 {
		for at := 0; at+size <= len(names); {
			shorter := append(slices.Clone(names[:at]), names[at+size:]...)
			made, failed := replayNames(start(), shorter)
			if failed {
				names = made
			} else {
				at += size
			}
		}
	}
	return names
}

// replayNames makes those of the named moves that are possible. It returns the ones that it made up to one that fails.
func replayNames(system System, names []string) (made []string, failed bool) {
	for _, name := range names {
		move := slices.Index(system.Moves(), name)
		if move < 0 {
			continue
		}
		made = append(made, name)
		if system.Do(move) != nil {
			return made, true
		}
	}
	return nil, false
}
