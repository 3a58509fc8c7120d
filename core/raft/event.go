package raft

import "net/netip"

// Event is an input of the core: Tick, Receive, Propose, Persisted, Read,
// Transfer, Add, Remove or Compact.
type Event interface{ event() }

// Tick lets the core act on the time that has passed.
type Tick struct{}

// Receive is a message from another replica, already checked by Decode.
type Receive struct{ Message Message }

// Propose appends commands to the log of a leader. It is answered by Accepted
// or Refused.
type Propose struct{ Commands [][]byte }

// Persisted acknowledges all Persist actions up to Seq.
type Persisted struct{ Seq uint64 }

// Read asks for a read barrier. It is answered by ReadReady or ReadRefused.
type Read struct{ Token uint64 }

// Transfer hands leadership to the replica To, or to the most advanced one if
// To is zero.
type Transfer struct{ To uint64 }

// Add adds a replica, as a learner that is promoted when it has caught up or,
// with Learner, as one that stays a learner. For a member it changes the address
// and, if it is a learner, whether it is promoted. It is answered by Accepted or
// Refused.
type Add struct {
	ID      uint64
	Addr    netip.AddrPort
	Learner bool
}

// Remove removes a replica. It is answered by Accepted or Refused.
type Remove struct{ ID uint64 }

// Compact reports a durable snapshot of the machine; the log before it may go.
type Compact struct{ Snapshot Snapshot }

func (Tick) event()      {}
func (Receive) event()   {}
func (Propose) event()   {}
func (Persisted) event() {}
func (Read) event()      {}
func (Transfer) event()  {}
func (Add) event()       {}
func (Remove) event()    {}
func (Compact) event()   {}
