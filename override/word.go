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

// ErrFull says that as many providers are out as the word can hold.
var ErrFull = errors.New("too many providers are out already: call some back first")

// Word is what has been ordered. It is a value: changes return another one, and
// one that changes nothing returns the same. Times are Unix time.
type Word struct {
	Version uint64                   // grows with each change
	Out     map[string]time.Duration // by name: since when it is out
	Back    map[string]time.Duration // by name: when it was called back
	Drain   time.Duration            // since when the proxy drains; 0 is not
}

func (w Word) next() Word {
	w.Version++
	w.Out, w.Back = maps.Clone(w.Out), maps.Clone(w.Back)
	if w.Out == nil {
		w.Out = map[string]time.Duration{}
	}
	if w.Back == nil {
		w.Back = map[string]time.Duration{}
	}
	return w
}

// TakeOut takes a provider out. Out twice is out once.
func (w Word) TakeOut(name string, now time.Duration) (Word, error) {
	if _, out := w.Out[name]; out {
		return w, nil
	}
	if len(w.Out) >= most {
		return w, ErrFull
	}
	w = w.next()
	delete(w.Back, name)
	w.Out[name] = now
	return w, nil
}

// CallBack ends that a provider is out. What was called back longest ago is
// forgotten at the bound.
func (w Word) CallBack(name string, now time.Duration) Word {
	if _, out := w.Out[name]; !out {
		return w
	}
	w = w.next()
	delete(w.Out, name)
	w.Back[name] = now
	maps.DeleteFunc(w.Back, func(_ string, at time.Duration) bool { return now-at > forget })
	for len(w.Back) > most {
		oldest := name
		for other, at := range w.Back {
			if at < w.Back[oldest] || at == w.Back[oldest] && other < oldest {
				oldest = other
			}
		}
		delete(w.Back, oldest)
	}
	return w
}

// Start orders a drain; one that is on goes on as it began.
func (w Word) Start(now time.Duration) Word {
	if w.Drain == 0 {
		w = w.next()
		w.Drain = max(now, 1)
	}
	return w
}

// Stop ends a drain.
func (w Word) Stop() Word {
	if w.Drain != 0 {
		w = w.next()
		w.Drain = 0
	}
	return w
}

// IsOut tells whether a provider is out by hand.
func (w Word) IsOut(name string) bool {
	_, out := w.Out[name]
	return out
}

// Over lays the word over what the directory says of a provider: out is draining,
// and one that was called back has started then at the earliest.
func (w Word) Over(name string, s balancer.Server) balancer.Server {
	if w.IsOut(name) && s.State == balancer.Ready {
		s.State = balancer.Draining
	}
	s.Started = max(s.Started, w.Back[name])
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
func Encode(w Word) []byte {
	text, _ := json.Marshal(file{format, w.Version, to(w.Out), to(w.Back), w.Drain.Microseconds()}) // of strings and numbers alone: it can't fail
	return append(text, '\n')
}

// Decode reads a word. Anything but a whole one in the form of [Encode] is an error.
func Decode(text []byte) (Word, error) {
	var f file
	if err := json.Unmarshal(text, &f); err != nil {
		return Word{}, fmt.Errorf("operators' word: %w", err)
	}
	if f.Format != format {
		return Word{}, fmt.Errorf("operators' word: form %q, not %q", f.Format, format)
	}
	w := Word{Version: f.Version, Drain: time.Duration(f.Drain) * time.Microsecond}
	var err error
	if w.Out, err = from(f.Out); err == nil {
		w.Back, err = from(f.Back)
	}
	if err != nil || f.Drain < 0 || f.Drain > int64(1<<63-1)/int64(time.Microsecond) {
		return Word{}, fmt.Errorf("operators' word: impossible values: %v", err)
	}
	return w, nil
}
