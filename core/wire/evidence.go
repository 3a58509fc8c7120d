package wire

import (
	"net/netip"
	"time"
)

// Evidence is what one entry has seen of suspects and watched targets since
// its last message.
type Evidence struct {
	Instance   string    `cbor:"instance"`
	Region     string    `cbor:"region"`
	DataCentre string    `cbor:"datacentre"`
	Sightings  []Sighted `cbor:"sightings"`
}

// Sighted is the evidence about one target.
// A row is an array on the wire, since names of fields would be most of it.
type Sighted struct {
	_       struct{}       `cbor:",toarray"`
	Service string         `cbor:"service"`
	Target  netip.AddrPort `cbor:"target"`
	Start   time.Time      `cbor:"start"` // incarnation of the target
	Score   float64        `cbor:"score"` // log-likelihood ratio since the last message
	Good    int            `cbor:"good"`
	Slow    int            `cbor:"slow"`
	Failed  int            `cbor:"failed"`
}

// Orders is what control wants of the entries: whom to watch, who is out.
type Orders struct {
	Index  uint64    `cbor:"index"` // log index; a lower one is ignored
	Watch  []Watched `cbor:"watch,omitempty"`
	Grants []Grant   `cbor:"grants,omitempty"`
	Drains []string  `cbor:"drains,omitempty"` // instance names and target addresses drained by operators
}

// Watched is a target that every entry reports about.
type Watched struct {
	_       struct{}       `cbor:",toarray"`
	Service string         `cbor:"service"`
	Target  netip.AddrPort `cbor:"target"`
}

// Grant is a lease that takes a target out of service. Left is relative, so
// that clocks of different instances need not agree; a receiver counts it from
// the moment of arrival.
type Grant struct {
	_       struct{}       `cbor:",toarray"`
	Service string         `cbor:"service"`
	Target  netip.AddrPort `cbor:"target"`
	Start   time.Time      `cbor:"start"`
	Left    time.Duration  `cbor:"left"`
	Score   float64        `cbor:"score"`
}
