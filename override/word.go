// Package override holds what the operators' staff have ordered: which providers are
// out by hand, which were called back, and whether the proxy drains. It decides
// what a listed provider counts as, and does no I/O.
package override

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"time"

	"ryerill/balancer"
)

const (
	format = "ryerill-word-1"
	most   = 1024      // providers out, and called back
	forget = time.Hour // a call back is of no account after this: any provider is warm by then
	maxID  = 256       // bytes of a provider's name
)

// ErrTooMany says that as many providers are out as the word can hold.
var ErrTooMany = errors.New("too many providers are out already: call some back first")

// Set is what has been ordered. It is a value: changes return another one, and
// one that changes nothing returns the same. Times are Unix time.
type Set struct {
	Version    uint64                   // grows with each change
	Down       map[string]time.Duration // by name: since when it is out
	Restored   map[string]time.Duration // by name: when it was called back
	DrainSince time.Duration            // since when the proxy drains; 0 is not
}

func (w Set) next() Set {
	w.Version++
	w.Down, w.Restored = maps.Clone(w.Down), maps.Clone(w.Restored)
	if w.Down == nil {
		w.Down = map[string]time.Duration{}
	}
	if w.Restored == nil {
		w.Restored = map[string]time.Duration{}
	}
	return w
}

// TakeDown takes a provider out. Out twice is out once.
func (w Set) TakeDown(name string, now time.Duration) (Set, error) {
	if _, out := w.Down[name]; out {
		return w, nil
	}
	if len(w.Down) >= most {
		return w, ErrTooMany
	}
	w = w.next()
	delete(w.Restored, name)
	w.Down[name] = now
	return w, nil
}

// Restore ends that a provider is out. What was called back longest ago is
// forgotten at the bound.
func (w Set) Restore(name string, now time.Duration) Set {
	if _, out := w.Down[name]; !out {
		return w
	}
	w = w.next()
	delete(w.Down, name)
	w.Restored[name] = now
	maps.DeleteFunc(w.Restored, func(_ string, at time.Duration) bool { return now-at > forget })
	for len(w.Restored) > most {
		oldest := name
		for other, at := range w.Restored {
			if at < w.Restored[oldest] || at == w.Restored[oldest] && other < oldest {
				oldest = other
			}
		}
		delete(w.Restored, oldest)
	}
	return w
}

// StartDrain orders a drain; one that is on goes on as it began.
func (w Set) StartDrain(now time.Duration) Set {
	if w.DrainSince == 0 {
		w = w.next()
		w.DrainSince = max(now, 1)
	}
	return w
}

// StopDrain ends a drain.
func (w Set) StopDrain() Set {
	if w.DrainSince != 0 {
		w = w.next()
		w.DrainSince = 0
	}
	return w
}

// IsDown tells whether a provider is out by hand.
func (w Set) IsDown(name string) bool {
	_, out := w.Down[name]
	return out
}

// Apply lays the word over what the directory says of a provider: out is draining,
// and one that was called back has started then at the earliest.
func (w Set) Apply(name string, s balancer.Endpoint) balancer.Endpoint {
	if w.IsDown(name) && s.State == balancer.Ready {
		s.State = balancer.Draining
	}
	s.StartedAt = max(s.StartedAt, w.Restored[name])
	return s
}

// file is the form in which a word is kept. Times are microseconds.
type file struct {
	Format  string           `json:"format"`
	Version uint64           `json:"version"`
	Out     map[string]int64 `json:"out"`
	Back    map[string]int64 `json:"back"`
	Drain   int64            `json:"drain"`
}

func to(m map[string]time.Duration) map[string]int64 {
	out := map[string]int64{}
	for name, at := range m {
		out[name] = at.Microseconds()
	}
	return out
}

func from(m map[string]int64) (map[string]time.Duration, error) {
	if len(m) > most {
		return nil, fmt.Errorf("%d providers, more than %d", len(m), most)
	}
	out := map[string]time.Duration{}
	for name, at := range m {
		if name == "" || len(name) > maxID || at < 0 || at > int64(1<<63-1)/int64(time.Microsecond) {
			return nil, fmt.Errorf("a provider %q at %d", name, at)
		}
		out[name] = time.Duration(at) * time.Microsecond
	}
	return out, nil
}

// Encode writes a word in the form in which it is kept.
func Encode(w Set) []byte {
	text, _ := json.Marshal(file{format, w.Version, to(w.Down), to(w.Restored), w.DrainSince.Microseconds()}) // of strings and numbers alone: it can't fail
	return append(text, '\n')
}

// Decode reads a word. Anything but a whole one in the form of [Encode] is an error.
func Decode(text []byte) (Set, error) {
	var f file
	if err := json.Unmarshal(text, &f); err != nil {
		return Set{}, fmt.Errorf("operators' word: %w", err)
	}
	if f.Format != format {
		return Set{}, fmt.Errorf("operators' word: form %q, not %q", f.Format, format)
	}
	w := Set{Version: f.Version, DrainSince: time.Duration(f.Drain) * time.Microsecond}
	var err error
	if w.Down, err = from(f.Out); err == nil {
		w.Restored, err = from(f.Back)
	}
	if err != nil || f.Drain < 0 || f.Drain > int64(1<<63-1)/int64(time.Microsecond) {
		return Set{}, fmt.Errorf("operators' word: impossible values: %v", err)
	}
	return w, nil
}
