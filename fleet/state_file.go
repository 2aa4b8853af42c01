package fleet

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"os"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"ryerill/fleet/membership"
	"ryerill/fleet/rollout"
	"ryerill/internal/atomicfile"
)

const (
	maxStateFile     = 16 << 20 // bytes: fits a fleet of the maximum size whose tags all have the maximum length
	stateFileMode    = 0o600
	stateFileHeading = "ryerill-fleet 1 %016x\n" // format version and checksum of the contents
)

// persistedState is the state of a replica that survives a restart: the members; its epoch, so
// that the next one is higher whatever the clock shows; and whether all others count this
// replica, so that it has its quota fraction immediately.
type persistedState struct {
	Written   time.Time           `json:"written"`
	Fleet     string              `json:"fleet"`
	Name      string              `json:"name"`
	Epoch     uint64              `json:"epoch"`
	Confirmed bool                `json:"sure"`
	Left      bool                `json:"left"` // it announced its departure: unknown replicas may have joined since
	Members   []membership.Record `json:"members"`
	Rollout   *rollout.State      `json:"rollout,omitempty"`

	replicaSetDigest uint64 // digest of the members
	outdated         bool   // so old that an operator may have had this replica forgotten since
}

// membersComplete reports whether the members include all replicas that may be running. They may not if this replica
// left or was forgotten, because others may have joined in its place.
func (s *persistedState) membersComplete() bool { return len(s.Members) > 0 && !s.Left && !s.outdated }

// stateFile reads and writes a persisted state. It is safe for concurrent use.
type stateFile struct {
	path  string            // empty disables persistence
	calls *atomicfile.Calls // nil outside of tests

	mu sync.Mutex // serializes writes
}

func (s *stateFile) enabled() bool { return s.path != "" }

// write replaces the file.
func (s *stateFile) write(state *persistedState) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	encodable := *state
	encodable.Members = withTagsAsText(state.Members)
	text, err := json.Marshal(&encodable)
	if err != nil {
		return err
	}
	return s.calls.Replace(s.path, seal(text), stateFileMode)
}

// read returns the state in the file. The error is fs.ErrNotExist if there is no file.
func (s *stateFile) read() (persistedState, error) {
	info, err := os.Stat(s.path)
	if err != nil {
		return persistedState{}, err
	}
	if info.Size() > maxStateFile {
		return persistedState{}, errors.New("too large")
	}
	sealed, err := atomicfile.Read(s.path)
	if err != nil {
		return persistedState{}, err
	}
	text, err := unseal(sealed)
	if err != nil {
		return persistedState{}, err
	}
	var state persistedState
	if err := json.Unmarshal(text, &state); err != nil {
		return persistedState{}, err
	}
	for _, record := range state.Members {
		if record.Tags != nil {
			record.Tags.Unknown = bytesOfText(record.Tags.Unknown)
		}
	}
	return state, nil
}

// withTagsAsText returns the records with their unknown tags, which are arbitrary bytes, converted to text with one
// character per byte. JSON would not preserve bytes that are invalid UTF-8.
func withTagsAsText(records []membership.Record) []membership.Record {
	converted := slices.Clone(records)
	for i := range converted {
		if converted[i].Tags == nil || converted[i].Tags.Unknown == "" {
			continue
		}
		tags := *converted[i].Tags
		text := make([]rune, len(tags.Unknown))
		for at := range text {
			text[at] = rune(tags.Unknown[at])
		}
		tags.Unknown = string(text)
		converted[i].Tags = &tags
	}
	return converted
}

// bytesOfText reverses the conversion by withTagsAsText. It returns an empty string for text that withTagsAsText cannot
// have written; earlier programs wrote such text.
func bytesOfText(text string) string {
	unknown := make([]byte, 0, len(text))
	for _, character := range text {
		if character > math.MaxUint8 {
			return ""
		}
		unknown = append(unknown, byte(character))
	}
	return string(unknown)
}

// seal prepends a heading with the format version and a checksum to the text.
func seal(text []byte) []byte {
	return append(fmt.Appendf(nil, stateFileHeading, xxhash.Sum64(text)), text...)
}

// unseal verifies and removes the heading. It returns an error if the text is truncated,
// corrupted or of another format version.
func unseal(sealed []byte) ([]byte, error) {
	var checksum uint64
	heading, text, _ := bytes.Cut(sealed, []byte("\n"))
	if _, err := fmt.Sscanf(string(heading)+"\n", stateFileHeading, &checksum); err != nil {
		return nil, errors.New("missing or unsupported format version")
	}
	if xxhash.Sum64(text) != checksum {
		return nil, errors.New("checksum mismatch")
	}
	return text, nil
}
