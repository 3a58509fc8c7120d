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

// Use is what a link is for. The accepting side needs it to know whether the
// overlay of instances runs over the link.
type Use string

// The uses of links.
const (
	UseOverlay Use = "overlay" // gossip among neighbours
	UseControl Use = "control" // an entry to a control replica
	UseReplica Use = "replica" // a control replica to another one
	UseOwner   Use = "owner"   // an entry to the owner of a target
)

// Hello introduces an instance at the start of a link.
type Hello struct {
	Version    int            `cbor:"version"`
	Fleet      string         `cbor:"fleet"` // both sides must name the same fleet
	Instance   string         `cbor:"instance"`
	Role       Role           `cbor:"role"`
	Use        Use            `cbor:"use,omitempty"`
	Region     string         `cbor:"region"`
	DataCentre string         `cbor:"datacentre"`
	Peer       netip.AddrPort `cbor:"peer"`  // address of its peer listener
	Start      time.Time      `cbor:"start"` // incarnation
	Replica    uint64         `cbor:"replica,omitempty"`
}
