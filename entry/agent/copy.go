package agent

import (
	"encoding/binary"
	"os"
	"path/filepath"

	"github.com/rotisserie/eris"

	"github.com/galenalock/galenalock/core/delta"
)

const (
	storedConfigFile       = "configuration"
	storedConfigHeaderSize = 16 // revision number and checksum
)

// readStoredConfig returns the revision number and text of the stored
// configuration.
func readStoredConfig(dir string) (uint64, []byte, error) {
	data, err := os.ReadFile(filepath.Join(dir, storedConfigFile))
	if err != nil {
		return 0, nil, eris.Wrap(err, "read stored configuration")
	}
	if len(data) < storedConfigHeaderSize {
		return 0, nil, eris.Errorf("stored configuration is truncated: %d bytes", len(data))
	}
	number := binary.BigEndian.Uint64(data)
	text := data[storedConfigHeaderSize:]
	if delta.Sum(text) != binary.BigEndian.Uint64(data[8:]) {
		return 0, nil, eris.New("checksum of the stored configuration does not match")
	}
	return number, text, nil
}

// writeStoredConfig stores the configuration for the next start. The rename
// replaces the file atomically. Without the sync before it, a crash could leave
// an empty file.
func writeStoredConfig(dir string, number uint64, text []byte) error {
	data := make([]byte, storedConfigHeaderSize, storedConfigHeaderSize+len(text))
	binary.BigEndian.PutUint64(data, number)
	binary.BigEndian.PutUint64(data[8:], delta.Sum(text))
	data = append(data, text...)
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return eris.Wrap(err, "create data directory")
	}
	tempPath := filepath.Join(dir, storedConfigFile+".new")
	f, err := os.OpenFile(tempPath, os.O_CREATE|os.O_WRONLY|os.O_TRUNC, 0o600)
	if err != nil {
		return eris.Wrap(err, "store configuration")
	}
	_, err = f.Write(data)
	if err == nil {
		err = f.Sync()
	}
	if closeErr := f.Close(); err == nil {
		err = closeErr
	}
	if err == nil {
		err = os.Rename(tempPath, filepath.Join(dir, storedConfigFile))
	}
	return eris.Wrap(err, "store configuration")
}
