package wire

import (
	"fmt"
	"net/netip"
	"time"
)

// Join asks to become a learner of the control group.
type Join struct {
	Replica   uint64         `cbor:"replica"`
	Address   netip.AddrPort `cbor:"address"`
	Forwarded bool           `cbor:"passed,omitempty"` // by a replica that is not the leader
}

// Follow subscribes an entry to the target updates of a control replica.
type Follow struct {
	Primary bool   `cbor:"primary"` // push complete changes; the other replicas send only digests
	Have    uint64 `cbor:"have"`    // index up to which the entry has the targets
}

// Replicas lists the control replicas that an entry may link to.
type Replicas struct {
	List []Replica `cbor:"list"`
}

// Replica is the address and location of a control replica.
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

// MaxEntries bounds the number of live entries of a fleet.
const MaxEntries = 1 << 16

// Check returns an error of type *Error if a number is negative or their sum exceeds
// MaxEntries.
func (e Entries) Check() error {
	sum := 0
	for region, n := range e.Regions {
		if n < 0 || n > MaxEntries-sum {
			return &Error{Type: "wire.Entries", Reason: fmt.Sprintf("%d entries in region %q, of %d at most in all", n, region, MaxEntries)}
		}
		sum += n
	}
	return nil
}

// Heard lists the targets whose announcements reached a control replica since its
// last message.
type Heard struct {
	Targets []HeardTarget `cbor:"targets"`
}

// HeardTarget identifies the last announcement of one target.
type HeardTarget struct {
	_     struct{} `cbor:",toarray"`
	Name  string
	Start int64 // Unix milliseconds, the incarnation
	Seq   uint64
}

// Suspects lists observations of failing targets by entries of one region.
type Suspects struct {
	Region string    `cbor:"region"` // of the entries that made the observations
	List   []Suspect `cbor:"list"`
}

// Suspect is one observation of a failing target.
type Suspect struct {
	_           struct{} `cbor:",toarray"`
	Service     string
	Target      netip.AddrPort
	Start       int64         // Unix milliseconds, the incarnation
	Observation uint8         // kind of observation, as numbered by package susp
	Age         time.Duration // time since the observation
}

// Aged returns the notice after some more time.
func (s Suspect) Aged(d time.Duration) Suspect {
	s.Age += d
	return s
}
