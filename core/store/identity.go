package store

import (
	"crypto/rand"
	"encoding/binary"
	"errors"
	"hash/crc32"
	"io/fs"

	"github.com/galenalock/galenalock/core/wire"
)

const identityFile = "identity"

// Identity identifies the replica that owns a directory.
type Identity struct {
	ID          uint64 `cbor:"id"`
	Incarnation uint64 `cbor:"incarnation"` // random and nonzero, created with the directory
	Founded     bool   `cbor:"founded"`     // the directory was created by a founder of the group
	Recovering  bool   `cbor:"recovering"`  // the group has not admitted the new directory yet
}

func newIncarnation() (uint64, error) {
	var b [8]byte
	if _, err := rand.Read(b[:]); err != nil {
		return 0, err
	}
	return binary.BigEndian.Uint64(b[:]) | 1, nil // zero means no incarnation
}

func (s *Store) readIdentity() (Identity, error) {
	var id Identity
	data, err := s.files.Read(s.path(identityFile))
	if err != nil {
		return id, err
	}
	damage := func(reason string) error {
		return &DamageError{File: s.path(identityFile), Reason: reason}
	}
	if len(data) < 4 || crc32.Checksum(data[4:], castagnoli) != binary.BigEndian.Uint32(data) {
		return id, damage("checksum mismatch")
	}
	if err := wire.Decode(data[4:], &id); err != nil {
		return id, damage(err.Error())
	}
	return id, nil
}

func (s *Store) writeIdentity(id Identity) error {
	body, err := wire.Encode(id)
	if err != nil {
		return err
	}
	data := binary.BigEndian.AppendUint32(nil, crc32.Checksum(body, castagnoli))
	return s.replaceFile(identityFile, append(data, body...))
}

// replaceFile replaces a file of the store, see ReplaceFile. If the disk is full,
// it removes the unfinished file.
func (s *Store) replaceFile(name string, parts ...[]byte) error {
	return s.removeIfFull(name+tempSuffix, ReplaceFile(s.files, s.path(name), parts...))
}

// removeIfFull removes a new file whose write failed because the disk is full,
// and returns a *FullError. Other errors are returned unchanged.
func (s *Store) removeIfFull(name string, err error) error {
	if !isFull(err) {
		return err
	}
	if removeErr := s.files.Remove(s.path(name)); removeErr != nil && !errors.Is(removeErr, fs.ErrNotExist) {
		return errors.Join(err, removeErr)
	}
	return &FullError{Err: err}
}
