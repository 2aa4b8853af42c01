package override

import (
	"encoding/json"
	"fmt"
	"math"
	"time"
)

const format = "ryerill-word-1"

// maxMicroseconds is the latest time, in microseconds, that a [time.Duration] can hold.
const maxMicroseconds = math.MaxInt64 / int64(time.Microsecond)

// file is the encoded form of a set. Times are in microseconds.
type file struct {
	Format  string           `json:"format"`
	Version uint64           `json:"version"`
	Out     map[string]int64 `json:"out"`
	Back    map[string]int64 `json:"back"`
	Drain   int64            `json:"drain"`
}

func toMicroseconds(times map[string]time.Duration) map[string]int64 {
	encoded := make(map[string]int64, len(times))
	for name, at := range times {
		encoded[name] = at.Microseconds()
	}
	return encoded
}

func fromMicroseconds(encoded map[string]int64) (map[string]time.Duration, error) {
	if len(encoded) > maxEntries {
		return nil, fmt.Errorf("got %d endpoints, limit %d", len(encoded), maxEntries)
	}
	times := make(map[string]time.Duration, len(encoded))
	for name, at := range encoded {
		if name == "" || len(name) > maxNameBytes || !validTime(at) {
			return nil, fmt.Errorf("endpoint %q: unexpected name or time %d", name, at)
		}
		times[name] = time.Duration(at) * time.Microsecond
	}
	return times, nil
}

func validTime(microseconds int64) bool {
	return microseconds >= 0 && microseconds <= maxMicroseconds
}

// Encode returns the stored form of a set: JSON, on one line.
func Encode(s Set) []byte {
	text, _ := json.Marshal(file{ // strings and numbers only: it can't fail
		Format:  format,
		Version: s.Version,
		Out:     toMicroseconds(s.Down),
		Back:    toMicroseconds(s.Restored),
		Drain:   s.DrainSince.Microseconds(),
	})
	return append(text, '\n')
}

// Decode decodes the output of [Encode]. Incomplete or invalid input is an error.
func Decode(text []byte) (Set, error) {
	var f file
	if err := json.Unmarshal(text, &f); err != nil {
		return Set{}, fmt.Errorf("overrides: %w", err)
	}
	if f.Format != format {
		return Set{}, fmt.Errorf("overrides: unexpected format %q, want %q", f.Format, format)
	}
	down, err := fromMicroseconds(f.Out)
	if err != nil {
		return Set{}, fmt.Errorf("overrides: out: %w", err)
	}
	restored, err := fromMicroseconds(f.Back)
	if err != nil {
		return Set{}, fmt.Errorf("overrides: back: %w", err)
	}
	if !validTime(f.Drain) {
		return Set{}, fmt.Errorf("overrides: drain: unexpected time %d", f.Drain)
	}
	return Set{
		Version:    f.Version,
		Down:       down,
		Restored:   restored,
		DrainSince: time.Duration(f.Drain) * time.Microsecond,
	}, nil
}
