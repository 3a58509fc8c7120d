package state

import (
	"net/netip"
	"time"

	"github.com/galenalock/galenalock/core/enrol"
	"github.com/galenalock/galenalock/core/wire"
)

// Command is one entry of the replicated log. Exactly one of the pointers is
// set.
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

// Submit proposes a service text. A submission with a known change identifier
// is a resend and gets the answer that was given first.
type Submit struct {
	Base   uint64 `cbor:"base"`   // revision that the text was edited from
	Change string `cbor:"change"` // identifier of the change
	Text   []byte `cbor:"text"`
	// Rank orders texts whose order an external source defines; 0 means none. A
	// ranked text is accepted if its rank is higher than that of the newest
	// revision; its Base and Change are not checked.
	Rank uint64 `cbor:"rank,omitempty"`
}

// Target is one incarnation of a target.
type Target struct {
	Address netip.AddrPort `cbor:"address"`
	Start   time.Time      `cbor:"start"`
	Score   float64        `cbor:"score"`
}

// Grant replaces the set of ejected targets of a service and renews their
// leases.
type Grant struct {
	Service string        `cbor:"service"`
	Set     uint64        `cbor:"set"` // number of the set on which the decision was based
	Targets []Target      `cbor:"targets"`
	Lease   time.Duration `cbor:"lease"`
}

// Withdraw removes targets from the set of ejected targets of a service. Their
// leases count until they expire, because an entry may not know of the
// withdrawal yet.
type Withdraw struct {
	Service string           `cbor:"service"`
	Targets []netip.AddrPort `cbor:"targets"`
}

// Drain sets or clears an operator's drain of an instance or a target.
type Drain struct {
	Name string `cbor:"name"` // name of an instance or address of a target
	On   bool   `cbor:"on"`
}

// Silence marks targets from which no replica receives announcements any more.
type Silence struct {
	Targets []enrol.Incarnation `cbor:"targets"`
}

// Tick only advances the machine's clock, so that leases and claims expire.
type Tick struct{}

// Kind returns the name of the command, "none" if none is set.
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
