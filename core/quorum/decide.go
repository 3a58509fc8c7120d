package quorum

import (
	"time"

	"github.com/galenalock/galenalock/core/group"
	"github.com/galenalock/galenalock/core/raft"
)

const (
	// voterTimeout is how long a voter may be silent before a learner replaces
	// it. It is longer than a pause of a busy process and than an election
	// timeout.
	voterTimeout = 2500 * time.Millisecond
	// learnerTimeout is how long a learner may be silent before it is removed.
	learnerTimeout = 30 * time.Second
	// maxReplyAge is the age of the last reply up to which a learner may be
	// promoted and a voter counts as healthy.
	maxReplyAge = time.Second
	// maxPromoteLag is the number of committed entries that a learner may lack
	// when it is promoted.
	maxPromoteLag = 256
)

// Action is the kind of a membership change.
type Action string

// Kinds of membership changes.
const (
	None    Action = ""
	Promote Action = "promote"
	Remove  Action = "remove"
)

// Change is one change of the membership of the group.
type Change struct {
	Action Action
	Member raft.Member
	Reason string
}

// VotersFor returns the number of voters that tolerates the loss of the given
// number of disks.
func VotersFor(tolerance int) int { return 2*tolerance + 1 }

// Decide returns the next change that the leader with this status should make.
// The Action is None if there is nothing to change.
func Decide(now time.Time, s group.Status, wanted int) Change {
	peers := map[uint64]raft.Peer{}
	for _, p := range s.Peers {
		peers[p.ID] = p
	}
	var standby, lost, lagging, gone raft.Member
	for _, m := range s.Members {
		p, known := peers[m.ID]
		silent := now.Sub(p.LastReply)
		switch {
		case m.ID == s.ID || !known:
		case m.Learner && silent > learnerTimeout:
			gone = m
		case m.Learner && !m.Joining && silent < maxReplyAge && !p.Recovering && p.Match+maxPromoteLag >= s.Commit:
			standby = m
		case m.Learner:
		case silent > voterTimeout:
			lost = m
		case lagging.ID == 0 || p.Match < peers[lagging.ID].Match:
			lagging = m
		}
	}
	voters := s.Members.Voters() + countJoining(s.Members)
	switch {
	case voters > wanted && lost.ID != 0:
		return Change{Action: Remove, Member: lost, Reason: "silent, and replaced"}
	case voters > wanted && lagging.ID != 0:
		return Change{Action: Remove, Member: lagging, Reason: "more voters than wanted"}
	case voters < wanted && standby.ID != 0:
		return Change{Action: Promote, Member: standby, Reason: "fewer voters than wanted"}
	case voters == wanted && lost.ID != 0 && standby.ID != 0:
		return Change{Action: Promote, Member: standby, Reason: "a voter is silent"}
	case gone.ID != 0:
		return Change{Action: Remove, Member: gone, Reason: "a learner is gone"}
	}
	return Change{}
}

// countJoining counts the learners that are being promoted to voters.
func countJoining(members raft.Members) int {
	n := 0
	for _, m := range members {
		if m.Learner && m.Joining {
			n++
		}
	}
	return n
}
