package store

import (
	"bytes"
	"crypto/rand"
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"io/fs"

	"github.com/galenalock/galenalock/core/wire"
)

const identityFile = "identity"

// Identity is the replica that a folder belongs to.
type Identity struct {
	ID          uint64 `cbor:"id"`
	Incarnation uint64 `cbor:"incarnation"` // random, new with each new folder
	Founded     bool   `cbor:"founded"`     // the folder founded a group
	Recovering  bool   `cbor:"recovering"`  // the folder is new and the group has not admitted it yet
}

func newIncarnation() (uint64, error) {
	var b [8]byte
	if _, err := rand.Read(b[:]); err != nil {
		return 0, err
	}
	return binary.BigEndian.Uint64(b[:]) | 1, nil // zero means none
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
	return s.replace(identityFile, append(data, body...))
}

// replace writes a file so that a crash leaves the old or the new content.
func (s *Store) replace(name string, parts ...[]byte) error {
	h, err := s.files.Create(s.path(name + temporary))
	if err != nil {
		return s.discard(name+temporary, fmt.Errorf("create %s: %w", name, err))
	}
	if err := h.Write(bytes.Join(parts, nil)); err != nil {
		_ = h.Close() // the first error is reported
		return s.discard(name+temporary, fmt.Errorf("write %s: %w", name, err))
	}
	if err := h.Sync(); err != nil {
		_ = h.Close() // the first error is reported
		return fmt.Errorf("sync %s: %w", name, err)
	}
	if err := h.Close(); err != nil {
		return fmt.Errorf("close %s: %w", name, err)
	}
	if err := s.files.Rename(s.path(name+temporary), s.path(name)); err != nil {
		return fmt.Errorf("rename %s: %w", name, err)
	}
	if err := s.files.SyncDir(s.dir); err != nil {
		return fmt.Errorf("sync folder: %w", err)
	}
	return nil
}

// discard removes a new file that a full disk did not take.
func (s *Store) discard(name string, err error) error {
	if !full(err) {
		return err
	}
	if gone := s.files.Remove(s.path(name)); gone != nil && !errors.Is(gone, fs.ErrNotExist) {
		return errors.Join(err, gone)
	}
	return &FullError{Err: err}
}
