package store

import (
	"errors"
	"fmt"
	"syscall"
)

// DamageError is a file whose content is not what was synced.
type DamageError struct {
	File   string
	Offset int64
	Reason string
}

// Error names the place and the reason.
func (e *DamageError) Error() string {
	return fmt.Sprintf("store: %s at offset %d: %s", e.File, e.Offset, e.Reason)
}

// IdentityError is a folder that belongs to another replica.
type IdentityError struct {
	Dir   string
	Found uint64
	Want  uint64
}

// Error names the folder and both replicas.
func (e *IdentityError) Error() string {
	return fmt.Sprintf("store: %s belongs to replica %d, not %d", e.Dir, e.Found, e.Want)
}

// FullError is a disk without room. The store holds what it held before the
// call, and takes the same call again.
type FullError struct{ Err error }

// Error names the cause.
func (e *FullError) Error() string { return "store: disk full: " + e.Err.Error() }

// Unwrap returns the cause.
func (e *FullError) Unwrap() error { return e.Err }

// full reports whether a write failed for want of room.
func full(err error) bool { return errors.Is(err, syscall.ENOSPC) || errors.Is(err, syscall.EDQUOT) }
