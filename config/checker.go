package config

import (
	"fmt"
	"net/netip"
	"strings"

	"ryerill/internal/yamlfile"
)

// checker collects the problems of a configuration file.
type checker struct{ yamlfile.Checker }

// address requires an IP address with a port.
func (c *checker) address(key, value string) {
	if _, err := netip.ParseAddrPort(value); err != nil {
		c.Bad(key, value, "an IP address and a port, as in 127.0.0.1:7070")
	}
}

// uniqueName requires a name of printable characters that no earlier item of the list has. indexes maps the earlier
// names to their indexes.
func (c *checker) uniqueName(key, name string, indexes map[string]int, index int) {
	unprintable := func(r rune) bool { return r <= ' ' || r > '~' }
	if name == "" || strings.ContainsFunc(name, unprintable) {
		c.Bad(key, name, "a name without spaces")
		return
	}
	if first, taken := indexes[name]; taken {
		c.Bad(key, name, fmt.Sprintf("a name that stands once: number %d has it already", first))
		return
	}
	indexes[name] = index
}
