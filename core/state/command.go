package state

import (
	"net/netip"
	"time"

	"github.com/galenalock/galenalock/core/enrol"
	"github.com/galenalock/galenalock/core/wire"
)

// Command is one entry of the log. Exactly one of the pointers is set.
type Command struct {
	Time     time.Time   `cbor:"time"` // when it was proposed
	Submit   *Submit     `cbor:"submit,omitempty"`
	Claim    *wire.Claim `cbor:"claim,omitempty"`
	Close    *wire.Close `cbor:"close,omitempty"`
	Grant    *Grant      `cbor:"grant,omitempty"`
	Withdraw *Withdraw   `cbor:"withdraw,omitempty"`
	Drain    *Drain      `cbor:"drain,omitempty"`
	Tick     *Tick       `cbor:"tick,omitempty"`

	Announce *enrol.Announcement `cbor:"announce,omitempty"`
	Silence  *Silence            `cbor:"silence,omitempty"`
}

// Submit proposes a service text. The same change identifier is the same
// question asked again.
type Submit struct {
	Base   uint64 `cbor:"base"`   // revision that the text was made from
	Change string `cbor:"change"` // identifier of the change
	Text   []byte `cbor:"text"`
	// Rank orders texts whose order is given from outside, 0: none. The text of
	// the highest rank is in force; Base and Change do not matter for it.
	Rank uint64 `cbor:"rank,omitempty"`
}

// Target is one incarnation of a target.
type Target struct {
	Address netip.AddrPort `cbor:"address"`
	Start   time.Time      `cbor:"start"`
	Score   float64        `cbor:"score"`
}

// Grant replaces the set of ejected targets of a service and starts their
// leases anew.
type Grant struct {
	Service string        `cbor:"service"`
	Set     uint64        `cbor:"set"` // number of the set that the decision was made from
	Targets []Target      `cbor:"targets"`
	Lease   time.Duration `cbor:"lease"`
}

// Withdraw takes targets out of the set of a service. Their leases count until
// they expire, because an entry may not have heard of it.
type Withdraw struct {
	Service string           `cbor:"service"`
	Targets []netip.AddrPort `cbor:"targets"`
}

// Drain marks an instance or a target as drained by an operator, or no longer.
type Drain struct {
	Name string `cbor:"name"` // name of an instance or address of a target
	On   bool   `cbor:"on"`
}

// Silence marks targets that no replica hears any more.
type Silence struct {
	Targets []enrol.Incarnation `cbor:"targets"`
}

// Tick lets time pass, so that leases and claims expire.
type Tick struct{}

// Kind names what the command does.
func (c *Command) Kind() string {
	switch {
	case c.Submit != nil:
		return "submit"
	case c.Claim != nil:
		return "claim"
	case c.Close != nil:
		return "close"
	case c.Grant != nil:
		return "grant"
	case c.Withdraw != nil:
		return "withdraw"
	case c.Drain != nil:
		return "drain"
	case c.Tick != nil:
		return "tick"
	case c.Announce != nil:
		return "announce"
	case c.Silence != nil:
		return "silence"
	}
	return "none"
}

func (c *Command) parts() int {
	n := 0
	for _, set := range []bool{
		c.Submit != nil, c.Claim != nil, c.Close != nil, c.Grant != nil,
		c.Withdraw != nil, c.Drain != nil, c.Tick != nil,
		c.Announce != nil, c.Silence != nil,
	} {
		if set {
			n++
		}
	}
	return n
}
