package quorum

import (
	"time"

	"github.com/galenalock/galenalock/core/group"
)

// settleAfter is how long the group may stay below its wanted size before
// changes are acknowledged all the same. Every replica of a fleet that starts
// joins within a second or two; one that has fewer replicas has to work too.
const settleAfter = 3 * time.Second

// Settle tells when the loss of the tolerated disks cannot lose what a new group
// acknowledges. It is not safe for concurrent use.
type Settle struct {
	wanted int
	sound  int
	since  time.Time // of the last change of the number of sound voters
}

// NewSettle returns a judge for a wanted number of voters.
func NewSettle(wanted int) *Settle { return &Settle{wanted: wanted} }

// Ready reports whether a group that has not acknowledged anything may begin.
func (s *Settle) Ready(now time.Time, status group.Status) bool {
	sound := soundVoters(now, status)
	if sound != s.sound || s.since.IsZero() {
		s.sound, s.since = sound, now
	}
	return s.bears(sound, status) || now.Sub(s.since) >= settleAfter
}

// Bears reports whether a majority of the voters is sound after the tolerated
// losses.
func (s *Settle) Bears(now time.Time, status group.Status) bool {
	return s.bears(soundVoters(now, status), status)
}

func (s *Settle) bears(sound int, status group.Status) bool {
	return sound-(s.wanted-1)/2 > status.Members.Voters()/2
}

// soundVoters counts the voters that hold a part of the log. One that has never
// been heard, or cannot tell yet whether it lost its disk, does not.
func soundVoters(now time.Time, status group.Status) int {
	sound := 0
	if m, ok := status.Members.Find(status.ID); ok && !m.Learner {
		sound++
	}
	for _, p := range status.Peers {
		m, ok := status.Members.Find(p.ID)
		if ok && !m.Learner && !p.Recovering && p.Match > 0 && now.Sub(p.LastReply) < freshFor {
			sound++
		}
	}
	return sound
}
