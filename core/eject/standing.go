package eject

import (
	"net/netip"
	"time"
)

// Ejection is a target that is out of service on an entry.
type Ejection struct {
	Target netip.AddrPort
	Start  time.Time
	Until  time.Time // expiry of the lease on the entry's clock
	Probe  bool      // in probation: gets a few repeatable requests
	Score  float64
}
