// Package consumer stands at the consumers' side: it listens, reads
// invocations from connections and writes their answers.
package consumer

import (
	"time"

	"ryerill"
)

// Names are the words of the settings that headers carry, by index.
type Names struct {
	Classes   []string
	Deadlines []time.Duration // by class: where an invocation states none
	Effects   []ryerill.Effect
	Tenants   []string
}
