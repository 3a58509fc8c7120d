package auth

// Role is the set of operations that a token permits.
type Role string

// The roles. Operate includes Read.
const (
	Read    Role = "read"
	Operate Role = "operate"
)

// Allows reports whether the role includes another.
func (r Role) Allows(other Role) bool { return r == Operate || r == other }
