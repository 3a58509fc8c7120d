package roster

import "github.com/galenalock/galenalock/core/gossip"

// ParseTarget decodes the record of a target. It does not set Since.
func ParseTarget(r *gossip.Record) (Target, error) {
	t, _, err := parseRecord(r)
	return t, err
}
