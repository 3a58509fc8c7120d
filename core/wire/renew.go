package wire

import (
	"net/netip"
	"time"
)

// Renew is an announcement of a target, forwarded to the target's owner.
type Renew struct {
	Service     string         `cbor:"service" json:"service"`
	Address     netip.AddrPort `cbor:"address" json:"address"`
	Region      string         `cbor:"region" json:"region"`
	DataCentre  string         `cbor:"datacentre" json:"datacentre"`
	Slots       int            `cbor:"slots" json:"slots"`
	Connections int            `cbor:"connections" json:"connections"`
	Start       time.Time      `cbor:"start" json:"start"`
	Seq         uint64         `cbor:"seq" json:"seq"`
	State       string         `cbor:"state" json:"state"`
	TTL         float64        `cbor:"ttl" json:"ttl"` // seconds
	Load        int            `cbor:"load" json:"load"`
}

// Propose asks the leader to commit a command.
type Propose struct {
	Command []byte `cbor:"command"`
}

// Proposed is the answer to Propose.
type Proposed struct {
	Result []byte `cbor:"result"`
}
