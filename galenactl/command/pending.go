package command

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"io/fs"
	"os"

	"github.com/google/uuid"

	"github.com/galenalock/galenalock/core/store"
)

// pendingSubmission describes a submission that has no response yet. It is
// stored in a file, so that a resend carries the same change identifier.
type pendingSubmission struct {
	Change   string `json:"change"`
	Base     uint64 `json:"base"`
	Checksum string `json:"sum"` // SHA-256 of the service text in hexadecimal
}

func textChecksum(text []byte) string {
	sum := sha256.Sum256(text)
	return hex.EncodeToString(sum[:])
}

// readPending reads a pending submission from a file. It returns nil if the file
// doesn't exist.
func readPending(file string) (*pendingSubmission, error) {
	data, err := os.ReadFile(file)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, &InvalidError{Reason: err.Error()}
	}
	p := &pendingSubmission{}
	if err := json.Unmarshal(data, p); err != nil || p.Change == "" {
		return nil, &InvalidError{Reason: file + ": is no kept submission; remove it if no submission is open"}
	}
	return p, nil
}

// save stores the submission durably in a file, before it is sent.
func (p *pendingSubmission) save(file string) error {
	data, err := json.Marshal(p)
	if err != nil {
		return err
	}
	if err := store.ReplaceFile(store.OS(), file, data, []byte("\n")); err != nil {
		return &InvalidError{Reason: err.Error()}
	}
	return nil
}

// newChangeID returns a change identifier, a UUIDv7, which sorts by time.
func newChangeID() (string, error) {
	id, err := uuid.NewV7()
	if err != nil {
		return "", err
	}
	return id.String(), nil
}
