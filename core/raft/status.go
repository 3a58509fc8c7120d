package raft

import "time"

// Status is a snapshot of a replica's state.
type Status struct {
	ID         uint64
	Leader     uint64 // zero if unknown
	Term       uint64
	Commit     uint64
	Applied    uint64
	LastIndex  uint64 // last index in the log
	Role       Role
	Confirmed  time.Time // when the leader, or on the leader a quorum, last confirmed the state; zero if never
	Transferee uint64    // replica that leadership is being transferred to, zero if none
	Backlog    uint64    // number of uncommitted entries
	Members    Members
	Peers      []Peer // the leader's view of the other members; empty on other replicas
}

// Peer is the leader's view of another member.
type Peer struct {
	ID         uint64
	LastReply  time.Time // time of the last reply
	Match      uint64    // last index known to be durable on the member
	Recovering bool
}

func (c *Core) peerStatus() []Peer {
	if c.role != RoleLeader {
		return nil
	}
	out := make([]Peer, 0, len(c.peers))
	for _, member := range c.members() {
		if p := c.peers[member.ID]; p != nil {
			out = append(out, Peer{ID: member.ID, LastReply: p.lastReply, Match: p.match, Recovering: p.recovering})
		}
	}
	return out
}

// Status returns the current status of the replica.
func (c *Core) Status() Status {
	return Status{
		ID: c.cfg.ID, Leader: c.leader, Term: c.term, Commit: c.commit, Applied: c.applied,
		LastIndex: c.log.lastIndex(), Role: c.Role(), Confirmed: c.confirmed, Transferee: c.transferee,
		Backlog: c.log.lastIndex() - c.commit, Members: c.members(), Peers: c.peerStatus(),
	}
}

// Role returns the current role of the replica.
func (c *Core) Role() Role {
	switch {
	case c.recovering:
		return RoleRecovering
	case c.role == RoleFollower && !c.members().isVoter(c.cfg.ID):
		return RoleLearner
	default:
		return c.role
	}
}
