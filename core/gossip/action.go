package gossip

import "net/netip"

// ActionType selects what the caller does for an Action.
type ActionType uint8

// Types of actions.
const (
	Send   ActionType = iota + 1 // send Message to the linked instance To
	Dial                         // open a link to Address; To is empty if the name is unknown
	Drop                         // close the link to To, which is no longer required
	Change                       // Record was stored as the newest version of its key
	Pull                         // To holds a newer service text, given by RevisionNumber and Checksum
)

// Action is a side effect that the caller of Core carries out, or a change that
// it is notified of.
type Action struct {
	Type           ActionType
	To             string
	Address        netip.AddrPort
	Message        *Message // shared among actions, must not be modified
	Record         *Record
	RevisionNumber uint64
	Checksum       uint64
}
