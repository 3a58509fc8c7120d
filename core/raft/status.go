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
	Peers        []Peer // what a leader knows of the other members
}

// Peer is what a leader knows of another member.
type Peer struct {
	ID         uint64
	Heard      time.Time // last reply
	Match      uint64    // last index known to be durable there
	Recovering bool
}

func (c *Core) peerStatus() []Peer {
	if c.role != RoleLeader {
		return nil
	}
	out := make([]Peer, 0, len(c.peers))
	for _, member := range c.members() {
		if p := c.peers[member.ID]; p != nil {
			out = append(out, Peer{ID: member.ID, Heard: p.heard, Match: p.match, Recovering: p.recovering})
		}
	}
	return out
}

// Status returns a view of the replica.
func (c *Core) Status() Status {
	return Status{
		ID: c.cfg.ID, Leader: c.leader, Term: c.term, Commit: c.commit, Applied: c.applied,
		Last: c.log.last(), Role: c.Role(), Confirmed: c.confirmed, Transferring: c.transfer,
		Backlog: c.log.last() - c.commit, Members: c.members(), Peers: c.peerStatus(),
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
