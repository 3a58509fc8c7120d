package roster

import (
	"net/netip"

	"github.com/galenalock/galenalock/core/gossip"
	"github.com/galenalock/galenalock/core/wire"
)

// Verb is what an action asks for.
type Verb uint8

// The verbs.
const (
	Publish Verb = iota + 1 // put Record into the gossip core
	Forward                 // send Renew to the instance To at its peer address; it calls Renew
	Ask                     // call the instance To with Renew; it answers with Asked, the answer goes to Answered
)

// Action is what the shell does for the roster.
type Action struct {
	Do      Verb
	Record  *gossip.Record
	To      string
	Address netip.AddrPort
	Renew   wire.Renew
}
