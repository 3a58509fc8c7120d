package wire

import (
	"net/netip"
	"time"
)

// Evidence holds what one entry has observed of suspected and watched targets
// since its last message.
type Evidence struct {
	Instance   string           `cbor:"instance"`
	Region     string           `cbor:"region"`
	DataCentre string           `cbor:"datacentre"`
	Targets    []TargetEvidence `cbor:"sightings"`
}

// TargetEvidence is the evidence about one target. It is encoded as an array,
// since field names would take most of the message.
type TargetEvidence struct {
	_       struct{}       `cbor:",toarray"`
	Service string         `cbor:"service"`
	Target  netip.AddrPort `cbor:"target"`
	Start   time.Time      `cbor:"start"` // incarnation of the target
	Score   float64        `cbor:"score"` // log-likelihood ratio accumulated since the last message
	Good    int            `cbor:"good"`
	Slow    int            `cbor:"slow"`
	Failed  int            `cbor:"failed"`
}

// Orders tells the entries which targets to report about and which are out of
// service.
type Orders struct {
	Index  uint64    `cbor:"index"` // log index; Orders with a lower one than before are ignored
	Watch  []Watched `cbor:"watch,omitempty"`
	Grants []Grant   `cbor:"grants,omitempty"`
	Drains []string  `cbor:"drains,omitempty"` // instance names and target addresses drained by operators
}

// Watched is a target about which every entry reports evidence.
type Watched struct {
	_       struct{}       `cbor:",toarray"`
	Service string         `cbor:"service"`
	Target  netip.AddrPort `cbor:"target"`
}

// Grant is a lease that takes a target out of service. Remaining is relative to
// the arrival of the message, so the clocks of different instances need not agree.
type Grant struct {
	_         struct{}       `cbor:",toarray"`
	Service   string         `cbor:"service"`
	Target    netip.AddrPort `cbor:"target"`
	Start     time.Time      `cbor:"start"`
	Remaining time.Duration  `cbor:"left"`
	Score     float64        `cbor:"score"`
}
