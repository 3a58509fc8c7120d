package roster

import (
	"net/netip"

	"github.com/galenalock/galenalock/core/gossip"
	"github.com/galenalock/galenalock/core/wire"
)

// ActionType selects what the caller does for an Action.
type ActionType uint8

// Types of actions.
const (
	Publish ActionType = iota + 1 // pass Record to Put of the gossip core
	Forward                       // send Renew to the instance To at Address, which calls Roster.Renew
	Ask                           // call the instance To with Renew; its NewestRenewal answers, HandleAnswer takes the answer
)

// Action is a side effect that the caller of Roster carries out.
type Action struct {
	Type    ActionType
	Record  *gossip.Record
	To      string
	Address netip.AddrPort
	Renew   wire.Renew
}
