package fleet

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/renameio/v2"

	"ryerill/fleet/membership"
	"ryerill/fleet/rollout"
)

const (
	maxStateFile     = 4 << 20 // bytes
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
}

// stateFile is the file of a persisted state. It is safe for concurrent use.
type stateFile struct {
	path string // empty if nothing is persisted

	mu sync.Mutex // serializes writes
}

func (s *stateFile) enabled() bool { return s.path != "" }

// write replaces the file.
func (s *stateFile) write(state *persistedState) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	text, err := json.Marshal(state)
	if err != nil {
		return err
	}
	return renameio.WriteFile(s.path, seal(text), stateFileMode)
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
	sealed, err := os.ReadFile(s.path)
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
	return state, nil
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
