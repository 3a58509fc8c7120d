package wire

import (
	"net/netip"
	"time"
)

// Renew is a target's announcement, passed on to an owner.
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

// Propose is a command forwarded to the leader.
type Propose struct {
	Command []byte `cbor:"command"`
}

// Proposed answers Propose.
type Proposed struct {
	Result []byte `cbor:"result"`
}
