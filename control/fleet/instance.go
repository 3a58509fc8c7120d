package fleet

import (
	"net/netip"
	"time"

	"github.com/galenalock/galenalock/core/wire"
)

// Instance is what this replica knows of an instance.
type Instance struct {
	Name       string
	Role       wire.Role
	Region     string
	DataCentre string
	Peer       netip.AddrPort
	Start      time.Time
	Number     uint64 // revision in force
	State      string // as reported
	Inflight   int
	Confirmed  time.Duration // age of its last confirmation when it reported
	Heard      time.Time     // of the last report
	Linked     bool          // to this replica
}

// merge takes over a report. A report of an earlier incarnation is ignored.
func (i *Instance) merge(r wire.Report, now time.Time) bool {
	if r.Start.Before(i.Start) {
		return false
	}
	i.Start, i.Number, i.State = r.Start, r.Number, r.State
	i.Inflight, i.Confirmed, i.Heard = r.Inflight, r.Confirmed, now
	return true
}
