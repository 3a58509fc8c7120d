package quorum

import (
	"time"

	"github.com/galenalock/galenalock/core/group"
)

// settleAfter is how long the group may stay below its wanted size before
// changes are acknowledged all the same. Every replica of a fleet that starts
// joins within a second or two; one that has fewer replicas has to work too.
const settleAfter = 3 * time.Second

// Settle tells when the loss of the tolerated disks cannot lose what the group
// acknowledges. It is not safe for concurrent use.
type Settle struct {
	wanted int
	voters int
	since  time.Time // of the last change of the number of voters
}

// NewSettle returns a judge for a wanted number of voters.
func NewSettle(wanted int) *Settle { return &Settle{wanted: wanted} }

// Ready reports whether the group may acknowledge changes.
func (s *Settle) Ready(now time.Time, status group.Status) bool {
	voters := status.Members.Voters()
	if voters != s.voters || s.since.IsZero() {
		s.voters, s.since = voters, now
	}
	return voters >= s.wanted || now.Sub(s.since) >= settleAfter
}
