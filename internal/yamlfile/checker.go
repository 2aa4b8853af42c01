package yamlfile

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// Problem is one fault of a file.
type Problem struct {
	Key   string // path of the setting, as in pools[0].classes[1].aim
	Value any    // value that the file states
	Want  string // what is expected instead
	Warn  bool   // only a warning: the file is accepted all the same
}

// Error names the key, its value and the remedy.
func (p Problem) Error() string {
	return fmt.Sprintf("%s: unexpected value %q, want %s", p.Key, fmt.Sprint(p.Value), p.Want)
}

// Checker collects the problems of a file, so that all of them are reported at once. Its zero value is ready.
type Checker struct{ Problems []Problem }

// Bad records a fault.
func (c *Checker) Bad(key string, value any, want string) {
	c.Problems = append(c.Problems, Problem{Key: key, Value: value, Want: want})
}

// Warn records what is likely a mistake, but no reason to reject the file.
func (c *Checker) Warn(key string, value any, want string) {
	c.Problems = append(c.Problems, Problem{Key: key, Value: value, Want: want, Warn: true})
}

// Number requires a value between two bounds; NaN is never between them.
func (c *Checker) Number(key string, value, lowest, highest float64) {
	if value >= lowest && value <= highest {
		return
	}
	c.Bad(key, value, fmt.Sprintf("a number from %g to %g", lowest, highest))
}

// Duration requires a time between two bounds.
func (c *Checker) Duration(key string, value, lowest, highest time.Duration) {
	if value < lowest || value > highest {
		c.Bad(key, value, fmt.Sprintf("a time from %v to %v, as in 250ms or 2s", lowest, highest))
	}
}

// OneOf requires one of a few enumerated values, and suggests the closest.
func (c *Checker) OneOf(key, value string, words ...string) {
	if !slices.Contains(words, value) {
		c.Bad(key, value, "one of "+strings.Join(words, ", ")+Suggest(value, words))
	}
}
