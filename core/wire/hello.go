package wire

import (
	"net/netip"
	"time"
)

// Role is the part that an instance plays.
type Role string

// The roles.
const (
	RoleEntry   Role = "entry"
	RoleControl Role = "control"
)

// Hello introduces an instance at the start of a link.
type Hello struct {
	Version    int            `cbor:"version"`
	Fleet      string         `cbor:"fleet"` // both sides must name the same fleet
	Instance   string         `cbor:"instance"`
	Role       Role           `cbor:"role"`
	Region     string         `cbor:"region"`
	DataCentre string         `cbor:"datacentre"`
	Peer       netip.AddrPort `cbor:"peer"`  // address of its peer listener
	Start      time.Time      `cbor:"start"` // incarnation
	Replica    uint64         `cbor:"replica,omitempty"`
}
