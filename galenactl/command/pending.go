package command

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"io/fs"
	"os"

	"github.com/google/uuid"
)

// pending is a submission whose answer has not arrived. It is kept in a file,
// so that a resend carries the same identifier.
type pending struct {
	Change string `json:"change"`
	Base   uint64 `json:"base"`
	Sum    string `json:"sum"` // SHA-256 of the text
}

func textSum(text []byte) string {
	sum := sha256.Sum256(text)
	return hex.EncodeToString(sum[:])
}

// readPending returns the submission kept in a file, or nil.
func readPending(file string) (*pending, error) {
	data, err := os.ReadFile(file)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, &InvalidError{Reason: err.Error()}
	}
	p := &pending{}
	if err := json.Unmarshal(data, p); err != nil || p.Change == "" {
		return nil, &InvalidError{Reason: file + ": is no kept submission; remove it if no submission is open"}
	}
	return p, nil
}

// write keeps the submission durably before it is sent.
func (p *pending) write(file string) error {
	data, err := json.Marshal(p)
	if err != nil {
		return err
	}
	f, err := os.OpenFile(file, os.O_WRONLY|os.O_CREATE|os.O_TRUNC, 0o644)
	if err != nil {
		return &InvalidError{Reason: err.Error()}
	}
	defer f.Close()
	if _, err := f.Write(append(data, '\n')); err != nil {
		return &InvalidError{Reason: err.Error()}
	}
	return f.Sync()
}

// newChange makes an identifier that sorts by time.
func newChange() (string, error) {
	id, err := uuid.NewV7()
	if err != nil {
		return "", err
	}
	return id.String(), nil
}
