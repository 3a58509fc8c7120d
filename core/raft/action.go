package raft

// Action is an output of the core: Persist, Send, Apply, Restore, Accepted,
// Refused, ReadReady or ReadRefused.
type Action interface{ action() }

// Persist makes state durable. Several Persist actions may share one sync. An
// entry whose index is already stored replaces it and everything after it.
type Persist struct {
	Seq      uint64
	Snapshot *Snapshot // received from the leader; the stored log before it is void
	Entries  []Entry
	Hard     *HardState
	// Recovering changes the mark of the data folder if it is not nil: set
	// before the other parts are saved, removed after them.
	Recovering *bool
}

// Send passes a message to another replica.
type Send struct{ Message Message }

// Apply passes committed entries to the machine.
type Apply struct{ Entries []Entry }

// Restore replaces the machine's state.
type Restore struct{ Snapshot Snapshot }

// Accepted says that Count commands were appended from Index on. They are
// committed when Apply shows them with the same term.
type Accepted struct {
	Index uint64
	Term  uint64
	Count int
}

// Refused says that a proposal or a membership change was not appended.
type Refused struct {
	Leader uint64 // the leader, zero if unknown
	Reason string // empty if the replica is not the leader
}

// ReadReady says that a read is linearizable once Index is applied.
type ReadReady struct {
	Token uint64
	Index uint64
}

// ReadRefused says that the replica is not or no longer the leader.
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
