package store

import (
	"fmt"
	"path/filepath"
)

// SetAside moves the content of a damaged folder into a subfolder, so that the
// replica can start with an empty one and an operator can examine the files.
// The identity goes last: until then Open reports the damage again.
func SetAside(dir, subfolder string, files Files) error {
	names, err := files.List(dir)
	if err != nil {
		return fmt.Errorf("list folder: %w", err)
	}
	target := filepath.Join(dir, subfolder)
	if err := files.Mkdir(target); err != nil {
		return fmt.Errorf("create folder: %w", err)
	}
	identity := false
	for _, name := range names {
		if name == identityFile {
			identity = true
			continue
		}
		if err := files.Rename(filepath.Join(dir, name), filepath.Join(target, name)); err != nil {
			return fmt.Errorf("set aside %s: %w", name, err)
		}
	}
	if err := files.SyncDir(dir); err != nil {
		return fmt.Errorf("sync folder: %w", err)
	}
	if !identity {
		return nil
	}
	if err := files.Rename(filepath.Join(dir, identityFile), filepath.Join(target, identityFile)); err != nil {
		return fmt.Errorf("set aside the identity: %w", err)
	}
	return files.SyncDir(dir)
}
