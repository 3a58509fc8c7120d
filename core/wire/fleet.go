package wire

import (
	"net/netip"
	"time"
)

// Join asks to become a learner of the control group.
type Join struct {
	Replica uint64         `cbor:"replica"`
	Address netip.AddrPort `cbor:"address"`
	Passed  bool           `cbor:"passed,omitempty"` // by a replica that does not lead
}

// Follow tells a control replica what an entry wants of it.
type Follow struct {
	Primary bool   `cbor:"primary"` // push whole changes; the other replicas send digests
	Have    uint64 `cbor:"have"`    // index up to which the entry knows the targets
}

// Replicas lists the control replicas that an entry may link to.
type Replicas struct {
	List []Replica `cbor:"list"`
}

// Replica is the place of a control replica.
type Replica struct {
	_          struct{} `cbor:",toarray"`
	Address    netip.AddrPort
	Region     string
	DataCentre string
}

// Entries counts the live entries by region.
type Entries struct {
	Regions map[string]int `cbor:"regions"`
}

// Heard lists the targets that a control replica has heard of since its last
// message.
type Heard struct {
	Targets []HeardTarget `cbor:"targets"`
}

// HeardTarget is the last announcement of one target.
type HeardTarget struct {
	_     struct{} `cbor:",toarray"`
	Name  string
	Start int64 // Unix milliseconds, the incarnation
	Seq   uint64
}

// Suspects carries what entries of one region have seen of failing targets.
type Suspects struct {
	Region string    `cbor:"region"` // of the entries that have seen them
	List   []Suspect `cbor:"list"`
}

// Suspect is one bad sign of a target.
type Suspect struct {
	_       struct{} `cbor:",toarray"`
	Service string
	Target  netip.AddrPort
	Start   int64         // Unix milliseconds, the incarnation
	Sign    uint8         // what was seen, as numbered by package susp
	Age     time.Duration // since it was seen
}
