package eject

import (
	"net/netip"
	"time"
)

// remember is how long the capacity of a target that is gone still counts as
// announced. Without it each death would lower a floor given as a share, and
// so allow a further ejection just when capacity is lost.
const remember = 60 * time.Second

// Member is one target in a budget.
type Member struct {
	Address netip.AddrPort
	Slots   int
	State   State
	Changed time.Time // of the state
	Ejected bool      // held out by a lease somewhere
}

// Budget returns how many more slots may be taken out of service: capacity
// minus floor minus what is ejected, draining, gone or cold. It is negative
// when more must return.
func Budget(now time.Time, floor Floor, members []Member) float64 {
	capacity, missing := 0, 0
	for _, m := range members {
		if m.State == Gone && now.Sub(m.Changed) >= remember {
			continue
		}
		capacity += m.Slots
		if m.State != Ready || m.Ejected {
			missing += m.Slots
		}
	}
	return float64(capacity) - floor.of(capacity) - float64(missing)
}
