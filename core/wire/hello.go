package wire

import (
	"net/netip"
	"time"
)

// Role is the function of an instance in the fleet.
type Role string

// The roles.
const (
	RoleEntry   Role = "entry"
	RoleControl Role = "control"
)

// Use is the purpose of a link. From it, the accepting side determines whether the
// link belongs to the gossip overlay.
type Use string

// The uses of links.
const (
	UseOverlay Use = "overlay" // gossip between neighbours
	UseControl Use = "control" // from an entry to a control replica
	UseReplica Use = "replica" // from a control replica to another one
	UseOwner   Use = "owner"   // from an entry to the owner of a target
)

// Hello is the first message of each side of a link and describes its instance.
type Hello struct {
	Version     int            `cbor:"version"`
	Fleet       string         `cbor:"fleet"` // must be the same on both sides
	Instance    string         `cbor:"instance"`
	Role        Role           `cbor:"role"`
	Use         Use            `cbor:"use,omitempty"`
	Region      string         `cbor:"region"`
	DataCentre  string         `cbor:"datacentre"`
	PeerAddress netip.AddrPort `cbor:"peer"`  // address of its peer listener
	Start       time.Time      `cbor:"start"` // incarnation
	Replica     uint64         `cbor:"replica,omitempty"`
	// Ping is the ping interval that the sender can keep on links to control, 0 if it does
	// not state one. The longer one of both sides applies.
	Ping time.Duration `cbor:"ping,omitempty"`
}
