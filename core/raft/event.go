package raft

import "net/netip"

// Event is an input of the core: Tick, Receive, Propose, Persisted, Read,
// Transfer, Add, Remove or Compact.
type Event interface{ event() }

// Tick lets the core handle timeouts.
type Tick struct{}

// Receive is a message from another replica, already validated by Decode.
type Receive struct{ Message Message }

// Propose appends commands to the log of a leader. It is answered by Accepted
// or Refused.
type Propose struct{ Commands [][]byte }

// Persisted acknowledges all Persist actions up to Seq.
type Persisted struct{ Seq uint64 }

// Read requests a read barrier. It is answered by ReadReady or ReadRefused.
type Read struct{ Token uint64 }

// Transfer transfers leadership to the replica To, or to the most up-to-date
// voter if To is zero.
type Transfer struct{ To uint64 }

// Add adds a replica as a learner. It is promoted to a voter once it has caught
// up, unless Learner is set. For an existing member Add changes the address and,
// if the member is a learner, whether it is promoted. It is answered by Accepted
// or Refused.
type Add struct {
	ID      uint64
	Addr    netip.AddrPort
	Learner bool
}

// Remove removes a replica. It is answered by Accepted or Refused.
type Remove struct{ ID uint64 }

// Compact reports a durable snapshot of the state machine, so that the log
// before it can be compacted.
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
