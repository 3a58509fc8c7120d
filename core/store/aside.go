package store

import (
	"fmt"
	"path/filepath"
)

// SetAside moves the files of a damaged directory into a subdirectory, so that
// the replica can start with an empty directory and an operator can examine the
// files. The identity is moved last: after an interrupted call Open reports the
// damage again.
func SetAside(dir, subdirectory string, files Files) error {
	names, err := files.List(dir)
	if err != nil {
		return fmt.Errorf("list directory: %w", err)
	}
	target := filepath.Join(dir, subdirectory)
	if err := files.Mkdir(target); err != nil {
		return fmt.Errorf("create directory: %w", err)
	}
	identity := false
	for _, name := range names {
		if name == identityFile {
			identity = true
			continue
		}
		if err := files.Rename(filepath.Join(dir, name), filepath.Join(target, name)); err != nil {
			return fmt.Errorf("move %s aside: %w", name, err)
		}
	}
	if err := files.SyncDir(dir); err != nil {
		return fmt.Errorf("sync directory: %w", err)
	}
	if !identity {
		return nil
	}
	if err := files.Rename(filepath.Join(dir, identityFile), filepath.Join(target, identityFile)); err != nil {
		return fmt.Errorf("move identity aside: %w", err)
	}
	return files.SyncDir(dir)
}
