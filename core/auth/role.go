package auth

// Role is what a token allows.
type Role string

// The roles. Operate includes read.
const (
	Read    Role = "read"
	Operate Role = "operate"
)

// Allows reports whether the role includes another.
func (r Role) Allows(other Role) bool { return r == Operate || r == other }
