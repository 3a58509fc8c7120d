package eject

import (
	"net/netip"
	"time"
)

// goneRetention is how long the capacity of a target that is gone still counts as
// announced. Without it, each target that ends would lower a floor given as a
// share and so allow another ejection just when capacity is lost.
const goneRetention = 60 * time.Second

// Member is one target in a budget.
type Member struct {
	Address netip.AddrPort
	Slots   int
	State   State
	Changed time.Time // time of the last change of State
	Ejected bool      // taken out of service by a lease on some entry
}

// Budget returns how many more slots may be taken out of service: the announced
// capacity minus the floor and minus the slots that are ejected, draining, gone
// or cold. A negative result is the number of slots that must return to service.
func Budget(now time.Time, floor Floor, members []Member) float64 {
	capacity, unavailable := 0, 0
	for _, m := range members {
		if m.State == Gone && now.Sub(m.Changed) >= goneRetention {
			continue
		}
		capacity += m.Slots
		if m.State != Ready || m.Ejected {
			unavailable += m.Slots
		}
	}
	return float64(capacity) - floor.inSlots(capacity) - float64(unavailable)
}
