package quorum

import (
	"time"

	"github.com/galenalock/galenalock/core/group"
	"github.com/galenalock/galenalock/core/raft"
)

const (
	// lostAfter is how long a voter is silent before a learner replaces it. A
	// pause of a busy process is shorter, an election timeout as well.
	lostAfter = 2500 * time.Millisecond
	// forgetAfter is how long a learner is silent before it is removed.
	forgetAfter = 30 * time.Second
	// freshFor is the age of the last reply of a learner that may be promoted.
	freshFor = time.Second
	// promoteLag is how many entries a learner may lack when it is promoted.
	promoteLag = 256
)

// Step is what to do.
type Step string

// The steps.
const (
	None    Step = ""
	Promote Step = "promote"
	Remove  Step = "remove"
)

// Change is one change of the membership.
type Change struct {
	Step   Step
	Member raft.Member
	Reason string
}

// Wanted returns the number of voters that bears the loss of as many disks.
func Wanted(tolerance int) int { return 2*tolerance + 1 }

// Decide returns the next change that the leader with this status should make.
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
		case m.Learner && silent > forgetAfter:
			gone = m
		case m.Learner && !m.Joining && silent < freshFor && !p.Recovering && p.Match+promoteLag >= s.Commit:
			standby = m
		case m.Learner:
		case silent > lostAfter:
			lost = m
		case lagging.ID == 0 || p.Match < peers[lagging.ID].Match:
			lagging = m
		}
	}
	voters := s.Members.Voters() + joining(s.Members)
	switch {
	case voters > wanted && lost.ID != 0:
		return Change{Step: Remove, Member: lost, Reason: "silent, and replaced"}
	case voters > wanted && lagging.ID != 0:
		return Change{Step: Remove, Member: lagging, Reason: "more voters than wanted"}
	case voters < wanted && standby.ID != 0:
		return Change{Step: Promote, Member: standby, Reason: "fewer voters than wanted"}
	case voters == wanted && lost.ID != 0 && standby.ID != 0:
		return Change{Step: Promote, Member: standby, Reason: "a voter is silent"}
	case gone.ID != 0:
		return Change{Step: Remove, Member: gone, Reason: "a learner is gone"}
	}
	return Change{}
}

// joining counts the learners that are on their way to a vote.
func joining(members raft.Members) int {
	n := 0
	for _, m := range members {
		if m.Learner && m.Joining {
			n++
		}
	}
	return n
}
