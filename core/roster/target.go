package roster

import (
	"net/netip"
	"time"

	"github.com/galenalock/galenalock/core/gossip"
)

// Target is a live target as the routing code sees it.
type Target struct {
	Name        string // identity that the target checks, empty: none
	Service     string
	Address     netip.AddrPort
	Region      string
	DataCentre  string
	Slots       int
	Connections int
	Start       time.Time     // incarnation, by the target's clock
	State       gossip.State  // cold, ready, draining or leaving
	Since       time.Time     // when this instance learned of the state
	Cold        time.Duration // how much longer the target is slow, as of Since
	Silent      bool          // control does not hear the target any more
}

// Age is the time since the start. An instance that has just learned of an old
// target goes by the target's clock; one that has known the target for long
// does not depend on it.
func (t Target) Age(now time.Time) time.Duration {
	return max(now.Sub(t.Start), now.Sub(t.Since))
}
