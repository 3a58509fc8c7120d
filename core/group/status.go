package group

import (
	"time"

	"github.com/galenalock/galenalock/core/raft"
)

// Status describes a replica at one point in time.
type Status struct {
	ID        uint64
	Leader    uint64 // zero if unknown
	Term      uint64
	Commit    uint64
	Applied   uint64
	Role      raft.Role
	Staleness time.Duration // time since the leader last confirmed the state, on the leader since a quorum did
	Members   raft.Members  // latest membership, committed or not
	Peers     []raft.Peer   // progress of the other members, known to the leader only
	Syncs     uint64        // log syncs since the store was opened
	Inbox     int           // received messages that wait to be processed
	Reads     int           // reads that wait for a quorum or for entries to be applied
}

// Status returns the state of the replica after the last processed event.
func (g *Group) Status() Status {
	view := g.view.Load()
	s := view.status
	since := view.confirmed
	if since.IsZero() {
		since = g.startTime
	}
	s.Staleness = max(0, g.clock().Sub(since))
	s.Syncs = g.disk.syncs.Load()
	s.Inbox = len(g.inbox)
	return s
}

// statusView is the published state from which Status is computed. Staleness
// depends on the time of the call and is computed by Status.
type statusView struct {
	status    Status
	confirmed time.Time
}

func (g *Group) publishStatus() {
	s := g.core.Status()
	previous := g.view.Swap(&statusView{
		status: Status{
			ID: s.ID, Leader: s.Leader, Term: s.Term, Commit: s.Commit,
			Applied: g.applied, Role: s.Role, Members: s.Members, Peers: s.Peers,
			Reads: len(g.reads) + len(g.readyReads),
		},
		confirmed: s.Confirmed,
	})
	if previous == nil || previous.status.Leader != s.Leader || previous.status.Term != s.Term {
		g.onLeaderChange()
	}
}
