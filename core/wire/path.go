package wire

import "net/netip"

// States of an entry in a Report.
const (
	StateStarting = "starting"
	StateReady    = "ready"
	StateDraining = "draining"
	StateNoPath   = "nopath" // ready, but it reaches no target
)

// Helpers lists entries that reach targets, the nearest to the asking one first.
type Helpers struct {
	List    []Helper `cbor:"list"`
	Near    int      `cbor:"near"`    // length of the first part of List, which can help all entries that need it
	Entries int      `cbor:"entries"` // live entries in the data centre of the asking one
	Lost    int      `cbor:"lost"`    // of these, entries that reach no target
}

// Helper is an entry that passes requests on for others.
type Helper struct {
	_          struct{} `cbor:",toarray"`
	Instance   string
	Address    netip.AddrPort // of its peer listener
	Region     string
	DataCentre string
}

// Reach asks an entry to open connections to targets.
type Reach struct {
	Targets []netip.AddrPort `cbor:"targets"`
}

// Reached tells whether the entry could open a connection to one of the targets.
type Reached struct {
	Reached bool `cbor:"reached"`
}
