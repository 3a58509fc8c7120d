package eject

import "github.com/galenalock/galenalock/core/wire"

// GrantSet is the set of grants to propose for a service.
type GrantSet struct {
	Service string
	Grants  []wire.Grant
}
