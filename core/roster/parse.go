package roster

import "github.com/galenalock/galenalock/core/gossip"

// TargetOf reads the record of a target. Since is not set.
func TargetOf(r *gossip.Record) (Target, error) {
	t, _, err := unpack(r)
	return t, err
}
