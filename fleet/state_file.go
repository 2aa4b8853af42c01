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
	maxStateFile     = 16 << 20 // bytes: a fleet at its bound, all of whose tags are as long as they may be
	stateFileMode    = 0o600
	stateFileHeading = "ryerill-fleet 1 %016x\n" // with the checksum of the rest
)

// persistedState is what a replica keeps over a restart: the members, its own epoch,
// which holds whatever the clock shows at the next start, and whether all others count
// it, so that it has its quota fraction at once.
type persistedState struct {
	Written   time.Time           `json:"written"`
	Fleet     string              `json:"fleet"`
	Name      string              `json:"name"`
	Epoch     uint64              `json:"epoch"`
	Confirmed bool                `json:"sure"`
	Left      bool                `json:"left"` // it announced that it leaves: unknown replicas may have joined since
	Members   []membership.Record `json:"members"`
	Rollout   *rollout.State      `json:"rollout,omitempty"`

	replicaSetDigest uint64 // of the members
	outdated         bool   // an operator may have declared this replica to be gone since
}

// countsMembers reports whether the members are all that may run, as others count them. Others may have joined in the
// place of a replica that left or that was declared gone.
func (s *persistedState) countsMembers() bool { return len(s.Members) > 0 && !s.Left && !s.outdated }

// stateFile is the file of a persisted state. It is safe for concurrent use.
type stateFile struct {
	path  string            // empty if nothing is persisted
	calls *atomicfile.Calls // nil outside of tests

	mu sync.Mutex // serializes writes
}

func (s *stateFile) enabled() bool { return s.path != "" }

// write replaces the file.
func (s *stateFile) write(state *persistedState) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	sealable := *state
	sealable.Members = withTagsAsText(state.Members)
	text, err := json.Marshal(&sealable)
	if err != nil {
		return err
	}
	return s.calls.Replace(s.path, seal(text), stateFileMode)
}

// read returns the state in the file. The error is fs.ErrNotExist if there is none.
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

// withTagsAsText returns records whose unknown tags, which are bytes, are a text that JSON keeps: it has a character
// for each byte.
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

// bytesOfText returns the bytes that withTagsAsText made a text of; none if it is not such a text, as earlier programs
// wrote.
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

// seal puts a line with the version and a checksum before a text.
func seal(text []byte) []byte {
	return append(fmt.Appendf(nil, stateFileHeading, xxhash.Sum64(text)), text...)
}

// unseal takes that line off. A text that is torn, changed or of another version is an
// error.
func unseal(sealed []byte) ([]byte, error) {
	var checksum uint64
	heading, text, _ := bytes.Cut(sealed, []byte("\n"))
	if _, err := fmt.Sscanf(string(heading)+"\n", stateFileHeading, &checksum); err != nil {
		return nil, errors.New("of no known version")
	}
	if xxhash.Sum64(text) != checksum {
		return nil, errors.New("its checksum does not fit")
	}
	return text, nil
}
