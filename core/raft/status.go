package raft

import "time"

// Status is a view of a replica.
type Status struct {
	ID           uint64
	Leader       uint64 // zero if unknown
	Term         uint64
	Commit       uint64
	Applied      uint64
	Last         uint64 // last index in the log
	Role         Role
	Confirmed    time.Time // when a leader, or as leader a quorum, last confirmed the state; zero if never
	Transferring uint64    // receiver of the leadership, zero if none
	Backlog      uint64    // entries that are not committed yet
	Members      Members
}

// Status returns a view of the replica.
func (c *Core) Status() Status {
	return Status{
		ID: c.cfg.ID, Leader: c.leader, Term: c.term, Commit: c.commit, Applied: c.applied,
		Last: c.log.last(), Role: c.Role(), Confirmed: c.confirmed, Transferring: c.transfer,
		Backlog: c.log.last() - c.commit, Members: c.members(),
	}
}

// Role returns the part the replica plays now.
func (c *Core) Role() Role {
	switch {
	case c.recovering:
		return RoleRecovering
	case c.role == RoleFollower && !c.members().voter(c.cfg.ID):
		return RoleLearner
	default:
		return c.role
	}
}
