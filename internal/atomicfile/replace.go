// Package atomicfile replaces files atomically: a reader finds the complete contents from before or after a
// replacement, even after an error, a kill or a power loss.
package atomicfile

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
)

// TemporarySuffix is appended to a file's name to name its temporary file. The name is fixed, so that the next
// replacement overwrites a temporary file left by a killed process.
const TemporarySuffix = ".tmp"

// ErrUnsynced means that the file has its new contents, but that its directory could not be synced: a power loss may
// revert the file to its previous contents. Another successful replacement fixes this.
var ErrUnsynced = errors.New("replaced, but its directory is not synced")

// Replace replaces the contents of a file, or creates it. An existing regular file keeps its permissions; a new file
// gets those of mode. After an error other than [ErrUnsynced] the file is unchanged. Concurrent replacements, in this
// or other processes, are serialized; a replacement that waits too long fails with [ErrBusy].
func (c *Calls) Replace(path string, contents []byte, mode fs.FileMode) error {
	c = c.orSystem()
	directory, err := c.Open(filepath.Dir(path), os.O_RDONLY, 0)
	if err != nil && !errors.Is(err, fs.ErrPermission) { // a directory without read permission can't be synced
		return err
	}
	if directory != nil {
		defer directory.Close()
	}
	temporary, err := c.openLocked(path+TemporarySuffix, mode)
	if err != nil {
		return err
	}
	defer temporary.Close() // the contents are synced by then; closing releases the lock
	if err := c.fill(temporary, contents, permissions(path, mode)); err != nil {
		return errors.Join(err, os.Remove(temporary.Name()))
	}
	if err := c.Rename(temporary.Name(), path); err != nil {
		return errors.Join(err, os.Remove(temporary.Name()))
	}
	if directory == nil {
		return nil
	}
	if err := c.SyncDirectory(directory); err != nil && !isSyncUnsupported(err) {
		return fmt.Errorf("%s: %w: %w", path, ErrUnsynced, err)
	}
	return nil
}

// fill writes and syncs the contents and permissions of a temporary file.
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

// permissions returns the permissions of the regular file at path, or those of mode if there is none.
func permissions(path string, mode fs.FileMode) fs.FileMode {
	if existing, err := os.Lstat(path); err == nil && existing.Mode().IsRegular() {
		return existing.Mode().Perm()
	}
	return mode.Perm()
}
