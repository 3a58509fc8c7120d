package eject

import (
	"net/netip"
	"time"
)

// Standing is a target that an entry holds out of service.
type Standing struct {
	Target netip.AddrPort
	Start  time.Time
	Until  time.Time // expiry of the lease on the entry's clock
	Probe  bool      // in probation: a few repeatable requests
	Score  float64
}
