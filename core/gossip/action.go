package gossip

import "net/netip"

// Verb is what an action asks for.
type Verb uint8

// The verbs.
const (
	Send   Verb = iota + 1 // send Message to the linked instance To
	Dial                   // open a link to Address; To is empty when the name is not known
	Drop                   // close the link to To, which is no longer needed
	Change                 // Record replaced what was known
	Pull                   // To holds revision Number with checksum Sum, which is newer
)

// Action is what the shell does for the core.
type Action struct {
	Do      Verb
	To      string
	Address netip.AddrPort
	Message *Message // shared among actions, not to be changed
	Record  *Record
	Number  uint64
	Sum     uint64
}
