package agent

import (
	"encoding/binary"
	"os"
	"path/filepath"

	"github.com/rotisserie/eris"

	"github.com/galenalock/galenalock/core/delta"
)

const (
	copyName   = "configuration"
	copyHeader = 16 // revision number and checksum
)

// readCopy reads the kept configuration.
func readCopy(dir string) (uint64, []byte, error) {
	data, err := os.ReadFile(filepath.Join(dir, copyName))
	if err != nil {
		return 0, nil, eris.Wrap(err, "kept configuration")
	}
	if len(data) < copyHeader {
		return 0, nil, eris.Errorf("kept configuration has %d bytes", len(data))
	}
	number := binary.BigEndian.Uint64(data)
	text := data[copyHeader:]
	if delta.Sum(text) != binary.BigEndian.Uint64(data[8:]) {
		return 0, nil, eris.New("kept configuration does not have its checksum")
	}
	return number, text, nil
}

// writeCopy keeps the configuration for the next start. The rename makes the
// change whole; without the syncs a crash could leave an empty file.
func writeCopy(dir string, number uint64, text []byte) error {
	data := make([]byte, copyHeader, copyHeader+len(text))
	binary.BigEndian.PutUint64(data, number)
	binary.BigEndian.PutUint64(data[8:], delta.Sum(text))
	data = append(data, text...)
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return eris.Wrap(err, "data folder")
	}
	temporary := filepath.Join(dir, copyName+".new")
	f, err := os.OpenFile(temporary, os.O_CREATE|os.O_WRONLY|os.O_TRUNC, 0o600)
	if err != nil {
		return eris.Wrap(err, "keep configuration")
	}
	_, err = f.Write(data)
	if err == nil {
		err = f.Sync()
	}
	if closed := f.Close(); err == nil {
		err = closed
	}
	if err == nil {
		err = os.Rename(temporary, filepath.Join(dir, copyName))
	}
	return eris.Wrap(err, "keep configuration")
}
