package group

import (
	"time"

	"github.com/galenalock/galenalock/core/raft"
)

// Status is a view of the replica.
type Status struct {
	ID      uint64
	Leader  uint64 // zero if unknown
	Term    uint64
	Commit  uint64
	Applied uint64
	Role    raft.Role
	Age     time.Duration // since the leader, or as leader a quorum, last confirmed the state
	Members raft.Members  // in force, even if the change is not committed yet
	Peers   []raft.Peer   // what a leader knows of the other members
	Syncs   uint64        // syncs of the log since the start
}

// Status returns a view of the replica as of the last event.
func (g *Group) Status() Status {
	view := g.view.Load()
	s := view.status
	since := view.confirmed
	if since.IsZero() {
		since = g.started
	}
	s.Age = max(0, g.clock().Sub(since))
	s.Syncs = g.disk.syncs.Load()
	return s
}

// view is what Status needs; Age is computed when it is asked for.
type view struct {
	status    Status
	confirmed time.Time
}

func (g *Group) publish() {
	s := g.core.Status()
	g.view.Store(&view{
		status: Status{
			ID: s.ID, Leader: s.Leader, Term: s.Term, Commit: s.Commit,
			Applied: g.applied, Role: s.Role, Members: s.Members, Peers: s.Peers,
		},
		confirmed: s.Confirmed,
	})
}
