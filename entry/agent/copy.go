package agent

import (
	"encoding/binary"
	"os"
	"path/filepath"

	"github.com/rotisserie/eris"

	"github.com/galenalock/galenalock/core/delta"
	"github.com/galenalock/galenalock/core/store"
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

// writeStoredConfig stores the configuration for the next start.
func writeStoredConfig(dir string, number uint64, text []byte) error {
	header := make([]byte, storedConfigHeaderSize)
	binary.BigEndian.PutUint64(header, number)
	binary.BigEndian.PutUint64(header[8:], delta.Sum(text))
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return eris.Wrap(err, "create data directory")
	}
	return eris.Wrap(store.ReplaceFile(store.OS(), filepath.Join(dir, storedConfigFile), header, text), "store configuration")
}
