package wire

import (
	"net/netip"
	"time"
)

// List is the body of a message that carries several notices.
type List[N any] struct {
	List []N `cbor:"list"`
}

// Limit is the request rate that a target accepts from the whole fleet.
type Limit struct {
	_       struct{} `cbor:",toarray"`
	Service string
	Target  netip.AddrPort
	Start   int64 // Unix milliseconds, the incarnation
	Limited bool  // false: the target no longer names a limit
	Rate    float64
	Age     time.Duration // time since the response of the target
}

// Aged returns the notice after some more time.
func (l Limit) Aged(d time.Duration) Limit {
	l.Age += d
	return l
}

// Demand is the demand of an entry for a service of which a target is limited.
type Demand struct {
	_       struct{} `cbor:",toarray"`
	Service string
	Entry   uint64
	Region  string
	Rate    float64       // requests a second
	Age     time.Duration // time since the measurement
}

// Aged returns the notice after some more time.
func (d Demand) Aged(by time.Duration) Demand {
	d.Age += by
	return d
}

// Crash is a crash of a target while it ran a request, or an answer to a request
// that had been running at targets when they crashed.
type Crash struct {
	_        struct{} `cbor:",toarray"`
	Print    [16]byte // identifies the request
	Target   netip.AddrPort
	Start    int64 // Unix milliseconds, the incarnation
	Answered bool  // the request was answered; without target
	Age      time.Duration
}

// Aged returns the notice after some more time.
func (c Crash) Aged(d time.Duration) Crash {
	c.Age += d
	return c
}
