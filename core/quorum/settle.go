package quorum

import (
	"time"

	"github.com/galenalock/galenalock/core/group"
)

// maxFormationWait is how long a new group waits for healthy voters before it
// acknowledges changes anyway. The replicas of a starting fleet join within two
// seconds; a fleet with fewer replicas than wanted must work too.
const maxFormationWait = 3 * time.Second

// FormationGate determines when a new group may acknowledge changes: when they
// survive the loss of the tolerated number of disks. It is not safe for
// concurrent use.
type FormationGate struct {
	wanted  int
	healthy int
	since   time.Time // when the number of healthy voters last changed
}

// NewFormationGate returns a gate for a wanted number of voters.
func NewFormationGate(wanted int) *FormationGate { return &FormationGate{wanted: wanted} }

// Ready reports whether a group that has not acknowledged any change yet may
// start to: it tolerates the losses, or its number of healthy voters has been
// stable for maxFormationWait.
func (g *FormationGate) Ready(now time.Time, status group.Status) bool {
	healthy := countHealthyVoters(now, status)
	if healthy != g.healthy || g.since.IsZero() {
		g.healthy, g.since = healthy, now
	}
	return g.tolerates(healthy, status) || now.Sub(g.since) >= maxFormationWait
}

// ToleratesLosses reports whether a majority of the voters would still be
// healthy after the tolerated number of losses.
func (g *FormationGate) ToleratesLosses(now time.Time, status group.Status) bool {
	return g.tolerates(countHealthyVoters(now, status), status)
}

func (g *FormationGate) tolerates(healthy int, status group.Status) bool {
	return healthy-(g.wanted-1)/2 > status.Members.Voters()/2
}

// countHealthyVoters counts the voters that hold a part of the log and have
// replied recently. A voter that never replied, or does not know yet whether it
// lost its disk, is not counted.
func countHealthyVoters(now time.Time, status group.Status) int {
	healthy := 0
	if m, ok := status.Members.Find(status.ID); ok && !m.Learner {
		healthy++
	}
	for _, p := range status.Peers {
		m, ok := status.Members.Find(p.ID)
		if ok && !m.Learner && !p.Recovering && p.Match > 0 && now.Sub(p.LastReply) < maxReplyAge {
			healthy++
		}
	}
	return healthy
}
