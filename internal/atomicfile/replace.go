// Package atomicfile replaces a file as a whole: whoever reads it, also after an error, a kill or a loss of power,
// finds the contents before or after a replacement and never a part of them.
package atomicfile

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
)

// TemporarySuffix is appended to a file's name for what is written beside it. The name is fixed: what a kill leaves
// behind is overwritten by the next replacement.
const TemporarySuffix = ".tmp"

// ErrUnsynced means that the file has its new contents, but that its directory could not be synced: after a loss of
// power the contents before may be back. Another replacement makes up for it.
var ErrUnsynced = errors.New("replaced, but its directory is not synced")

// Replace replaces the contents of a file, or creates it. A regular file that is replaced keeps its permissions; a new
// one has those of mode. After an error other than [ErrUnsynced] the file is as it was. Concurrent replacements, by
// other processes too, follow one another; where one holds up others for too long they fail with [ErrBusy].
func (c *Calls) Replace(path string, contents []byte, mode fs.FileMode) error {
	c = c.orSystem()
	directory, err := c.Open(filepath.Dir(path), os.O_RDONLY, 0)
	if err != nil && !errors.Is(err, fs.ErrPermission) { // one that may be written to and not read can't be synced
		return err
	}
	if directory != nil {
		defer directory.Close()
	}
	temporary, err := c.openLocked(path+TemporarySuffix, mode)
	if err != nil {
		return err
	}
	defer temporary.Close() // it is synced by then; this ends the lock
	if err := c.fill(temporary, contents, permissions(path, mode)); err != nil {
		return errors.Join(err, os.Remove(temporary.Name()))
	}
	if err := c.Rename(temporary.Name(), path); err != nil {
		return errors.Join(err, os.Remove(temporary.Name()))
	}
	if directory == nil {
		return nil
	}
	if err := c.SyncDirectory(directory); err != nil && !refusesSync(err) {
		return fmt.Errorf("%s: %w: %w", path, ErrUnsynced, err)
	}
	return nil
}

// fill gives a temporary file its contents and has them written to the disk.
func (c *Calls) fill(temporary *os.File, contents []byte, mode fs.FileMode) error {
	if err := temporary.Truncate(0); err != nil {
		return err
	}
	if err := temporary.Chmod(mode); err != nil {
		return err
	}
	if _, err := c.Write(temporary, contents); err != nil {
		return err
	}
	return c.Sync(temporary)
}

// permissions returns those of the regular file at path, or else of mode.
func permissions(path string, mode fs.FileMode) fs.FileMode {
	if existing, err := os.Lstat(path); err == nil && existing.Mode().IsRegular() {
		return existing.Mode().Perm()
	}
	return mode.Perm()
}
