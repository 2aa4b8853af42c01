package config

import (
	"fmt"
	"net/netip"
	"slices"
	"strings"
	"time"

	"ryerill/internal/yamlfile"
)

// Problem is one fault of a configuration file.
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

// checker collects the problems of a file, so that all of them are reported at once.
type checker struct{ problems []Problem }

// bad records a fault.
func (c *checker) bad(key string, value any, want string) {
	c.problems = append(c.problems, Problem{Key: key, Value: value, Want: want})
}

// warn records what is likely a mistake, but no reason to reject the file.
func (c *checker) warn(key string, value any, want string) {
	c.problems = append(c.problems, Problem{Key: key, Value: value, Want: want, Warn: true})
}

// number requires a value between two bounds; NaN is never between them.
func (c *checker) number(key string, value, lowest, highest float64) {
	if value >= lowest && value <= highest {
		return
	}
	c.bad(key, value, fmt.Sprintf("a number from %g to %g", lowest, highest))
}

// duration requires a time between two bounds.
func (c *checker) duration(key string, value, lowest, highest time.Duration) {
	if value < lowest || value > highest {
		c.bad(key, value, fmt.Sprintf("a time from %v to %v, as in 250ms or 2s", lowest, highest))
	}
}

// oneOf requires one of a few enumerated values, and suggests the closest.
func (c *checker) oneOf(key, value string, words ...string) {
	if !slices.Contains(words, value) {
		c.bad(key, value, "one of "+strings.Join(words, ", ")+yamlfile.Suggest(value, words))
	}
}

// address requires an IP address with a port.
func (c *checker) address(key, value string) {
	if _, err := netip.ParseAddrPort(value); err != nil {
		c.bad(key, value, "an IP address and a port, as in 127.0.0.1:7070")
	}
}

// uniqueName requires a printable name that no earlier item of its list has. indexes holds the index of each name so
// far.
func (c *checker) uniqueName(key, name string, indexes map[string]int, index int) {
	unprintable := func(r rune) bool { return r <= ' ' || r > '~' }
	if name == "" || strings.ContainsFunc(name, unprintable) {
		c.bad(key, name, "a name without spaces")
		return
	}
	if first, taken := indexes[name]; taken {
		c.bad(key, name, fmt.Sprintf("a name that stands once: number %d has it already", first))
		return
	}
	indexes[name] = index
}
