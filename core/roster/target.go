package roster

import (
	"net/netip"
	"time"

	"github.com/galenalock/galenalock/core/gossip"
)

// Target describes a target for routing.
type Target struct {
	Name          string // identity that the target verifies; empty if it verifies none
	Service       string
	Address       netip.AddrPort
	Region        string
	DataCentre    string
	Slots         int
	Connections   int
	Start         time.Time     // incarnation, by the target's clock
	State         gossip.State  // cold, ready, draining or leaving
	Since         time.Time     // when this instance learned of the state
	ColdRemaining time.Duration // remaining time at reduced speed after its start, as of Since
	Silent        bool          // control no longer receives renewals of the target
}

// Age returns the time since the start of the target or since this instance
// learned of its state, whichever is longer. The former holds for an instance
// that has just learned of an old target; the latter does not depend on the clock
// of the target.
func (t Target) Age(now time.Time) time.Duration {
	return max(now.Sub(t.Start), now.Sub(t.Since))
}
