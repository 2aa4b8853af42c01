package syscallfault

import (
	"encoding/json"
	"io"
	"time"
)

// Injection is one call that was disturbed.
type Injection struct {
	Time       time.Time     `json:"time"`
	Elapsed    time.Duration `json:"elapsed"` // since the start of the program, in nanoseconds
	Call       string        `json:"call"`
	Descriptor int           `json:"descriptor"`
	Kind       Kind          `json:"kind"`
	Target     string        `json:"target"` // path or address, where it is known
	Error      string        `json:"error,omitempty"`
	Bytes      int           `json:"bytes,omitempty"`
	Delay      time.Duration `json:"delay,omitempty"` // in nanoseconds
}

// recorder writes injections, a line of JSON each.
type recorder struct{ encoder *json.Encoder }

func newRecorder(w io.Writer) recorder { return recorder{json.NewEncoder(w)} }

func (r recorder) record(now time.Time, c call, rule *Rule) error {
	return r.encoder.Encode(Injection{
		Time:       now,
		Elapsed:    c.elapsed,
		Call:       c.name,
		Descriptor: c.descriptor,
		Kind:       c.target.kind,
		Target:     c.target.name,
		Error:      rule.Error,
		Bytes:      rule.Bytes,
		Delay:      rule.Delay,
	})
}

// ReadInjections reads what was recorded.
func ReadInjections(r io.Reader) (all []Injection, err error) {
	for decoder := json.NewDecoder(r); decoder.More(); {
		var injection Injection
		if err := decoder.Decode(&injection); err != nil {
			return all, err
		}
		all = append(all, injection)
	}
	return all, nil
}
