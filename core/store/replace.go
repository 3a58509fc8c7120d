package store

import (
	"bytes"
	"fmt"
	"path/filepath"
)

// ReplaceFile replaces a file durably and atomically: a crash leaves either the
// old or the new content, and the new one once ReplaceFile has returned nil. It
// writes to a temporary file in the same directory.
func ReplaceFile(files Files, name string, parts ...[]byte) error {
	base := filepath.Base(name)
	h, err := files.Create(name + tempSuffix)
	if err != nil {
		return fmt.Errorf("create %s: %w", base, err)
	}
	if err := h.Write(bytes.Join(parts, nil)); err != nil {
		_ = h.Close() // the first error is reported
		return fmt.Errorf("write %s: %w", base, err)
	}
	if err := h.Sync(); err != nil {
		_ = h.Close() // the first error is reported
		return fmt.Errorf("sync %s: %w", base, err)
	}
	if err := h.Close(); err != nil {
		return fmt.Errorf("close %s: %w", base, err)
	}
	if err := files.Rename(name+tempSuffix, name); err != nil {
		return fmt.Errorf("rename %s: %w", base, err)
	}
	if err := files.SyncDir(filepath.Dir(name)); err != nil {
		return fmt.Errorf("sync directory: %w", err)
	}
	return nil
}
