package raft

// Action is an output of the core: Persist, Send, Apply, Restore, Accepted,
// Refused, ReadReady or ReadRefused.
type Action interface{ action() }

// Persist makes state durable. Several Persist actions may share one sync. An
// entry whose index is already stored replaces it and everything after it.
type Persist struct {
	Seq      uint64
	Snapshot *Snapshot // received from the leader; replaces the stored log
	Entries  []Entry
	Hard     *HardState
	// Recovering, if not nil, sets or clears the recovering flag of the data
	// directory. The flag is set before the other fields are stored and cleared
	// after them.
	Recovering *bool
}

// Send passes a message to another replica.
type Send struct{ Message Message }

// Apply passes committed entries to the state machine.
type Apply struct{ Entries []Entry }

// Restore replaces the state of the state machine.
type Restore struct{ Snapshot Snapshot }

// Accepted reports that Count entries were appended, starting at Index. They
// are committed once Apply returns entries with the same indexes and term.
type Accepted struct {
	Index uint64
	Term  uint64
	Count int
}

// Refused reports that a proposal or a membership change was not appended.
type Refused struct {
	Leader uint64 // current leader, zero if unknown
	Reason string // empty if the replica is not the leader or is transferring leadership
}

// ReadReady reports that a read is linearizable once Index is applied.
type ReadReady struct {
	Token uint64
	Index uint64
}

// ReadRefused reports that the replica is not, or is no longer, the leader.
type ReadRefused struct {
	Token  uint64
	Leader uint64
}

func (Persist) action()     {}
func (Send) action()        {}
func (Apply) action()       {}
func (Restore) action()     {}
func (Accepted) action()    {}
func (Refused) action()     {}
func (ReadReady) action()   {}
func (ReadRefused) action() {}
