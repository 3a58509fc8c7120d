package store

import "fmt"

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
