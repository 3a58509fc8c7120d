package store

import (
	"errors"
	"fmt"
	"syscall"
)

// DamageError reports a file whose content differs from what was synced.
type DamageError struct {
	File   string
	Offset int64
	Reason string
}

// Error gives the file, the offset and the reason.
func (e *DamageError) Error() string {
	return fmt.Sprintf("store: %s at offset %d: %s", e.File, e.Offset, e.Reason)
}

// IdentityError reports a directory that belongs to another replica.
type IdentityError struct {
	Dir   string
	Found uint64
	Want  uint64
}

// Error gives the directory and the IDs of both replicas.
func (e *IdentityError) Error() string {
	return fmt.Sprintf("store: %s belongs to replica %d, not %d", e.Dir, e.Found, e.Want)
}

// FullError reports a full disk. The content of the store is the same as before
// the call, and the call can be repeated.
type FullError struct{ Err error }

// Error gives the cause.
func (e *FullError) Error() string { return "store: disk full: " + e.Err.Error() }

// Unwrap returns the cause.
func (e *FullError) Unwrap() error { return e.Err }

// isFull reports whether a write failed because the disk is full or a quota
// is used up.
func isFull(err error) bool { return errors.Is(err, syscall.ENOSPC) || errors.Is(err, syscall.EDQUOT) }
