package fleet

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/renameio/v2"

	"ryerill/fleet/membership"
	"ryerill/fleet/rollout"
)

// memory is what a copy keeps over a restart: who may be there, which start of its
// own was the last, whatever the clock says at the next, and whether all others
// count it, so that it has its part at once.
type memory struct {
	Written time.Time           `json:"written"`
	Fleet   string              `json:"fleet"`
	Name    string              `json:"name"`
	Epoch   uint64              `json:"epoch"`
	Sure    bool                `json:"sure"`
	Left    bool                `json:"left"` // it said so: since then others may have come whom it does not know
	Members []membership.Record `json:"members"`
	Rollout *rollout.State      `json:"rollout,omitempty"`

	counted uint64
}

const (
	mostMemory = 4 << 20   // bytes of the file
	young      = time.Hour // a part that was told longer ago may have been given to others by a person's word
	memoryHead = "ryerill-fleet 1 %016x\n"
)

// pack puts a line with a version and a checksum before what is kept, and unpack takes it
// off: what is torn, changed or of another version is an error.
func pack(text []byte) []byte {
	return append(fmt.Appendf(nil, memoryHead, xxhash.Sum64(text)), text...)
}

func unpack(text []byte) ([]byte, error) {
	var sum uint64
	head, rest, _ := bytes.Cut(text, []byte("\n"))
	if _, err := fmt.Sscanf(string(head)+"\n", memoryHead, &sum); err != nil {
		return nil, errors.New("of no known version")
	}
	if xxhash.Sum64(rest) != sum {
		return nil, errors.New("its checksum does not fit")
	}
	return rest, nil
}

// remembered reads what was kept. What can't be used is logged and passed over.
func (f *Fleet) remembered() (m memory) {
	if f.cfg.StateFile == "" {
		return m
	}
	info, err := os.Stat(f.cfg.StateFile)
	if err == nil && info.Size() > mostMemory {
		err = errors.New("too large")
	}
	if err == nil {
		var text []byte
		if text, err = os.ReadFile(f.cfg.StateFile); err == nil {
			if text, err = unpack(text); err == nil {
				err = json.Unmarshal(text, &m)
			}
		}
	}
	switch {
	case errors.Is(err, fs.ErrNotExist):
	case err != nil:
		f.log.Warn("fleet: what was remembered can't be used", "file", f.cfg.StateFile, "error", err)
	case m.Fleet != f.cfg.Fleet || m.Name != f.cfg.Name:
		f.log.Warn("fleet: what was remembered is of another copy", "file", f.cfg.StateFile, "fleet", m.Fleet, "name", m.Name)
	default:
		if age := time.Since(m.Written); m.Sure && (age > young || age < -young) {
			m.Sure = false
			f.log.Warn("fleet: what was remembered is old: this copy has no part until it has met all others", "file", f.cfg.StateFile, "age", age.Round(time.Second))
		}
		return m
	}
	return memory{}
}

// what is to be kept now. A copy that leaves is not counted any more. The mutex is
// not held.
func (f *Fleet) what(stays bool) memory {
	f.mu.Lock()
	defer f.mu.Unlock()
	left := !stays && !f.abandoned
	m := memory{Written: time.Now(), Fleet: f.cfg.Fleet, Name: f.cfg.Name, Epoch: f.member.Self().Epoch, Sure: f.view.Confirmed() && !left, Left: left, counted: f.view.ReplicaSetDigest()}
	if f.roller != nil {
		if s := f.roller.State(); s.FencingToken > 0 {
			m.Rollout = &s
		}
	}
	for _, s := range f.member.Members() {
		if !s.Self && s.Status != membership.Left {
			m.Members = append(m.Members, s.Record)
		}
	}
	return m
}

// keep writes what has changed to the disk, however long that takes, and only then
// has others hear whom this copy counts. The mutex is held.
func (f *Fleet) keep() {
	if f.cfg.StateFile == "" {
		f.kept, f.keptSure = f.view.ReplicaSetDigest(), f.view.Confirmed()
		f.member.SetReplicaSetDigest(f.kept)
		return
	}
	if f.keeping || f.phases {
		return
	}
	f.keeping = true
	f.all.Add(1)
	go func() {
		defer f.all.Done()
		m := f.what(true)
		err := f.remember(m)
		f.mu.Lock()
		defer f.mu.Unlock()
		if f.keeping = false; err == nil {
			f.kept, f.keptSure = m.counted, m.Sure
			f.member.SetReplicaSetDigest(m.counted)
		}
	}()
}

// remember writes the file. A disk that can't is no reason to stop.
func (f *Fleet) remember(m memory) error {
	if f.cfg.StateFile == "" {
		return nil
	}
	f.writing.Lock()
	defer f.writing.Unlock()
	text, err := json.Marshal(m)
	if err == nil {
		err = renameio.WriteFile(f.cfg.StateFile, pack(text), 0o600)
	}
	if err != nil {
		f.mu.Lock()
		f.complain("the members can't be remembered", "file", f.cfg.StateFile, "error", err)
		f.mu.Unlock()
	}
	return err
}
