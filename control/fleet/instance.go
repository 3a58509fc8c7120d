package fleet

import (
	"net/netip"
	"time"

	"github.com/galenalock/galenalock/core/wire"
)

// Instance is the state of an instance as known to this replica.
type Instance struct {
	Name            string
	Role            wire.Role
	Region          string
	DataCentre      string
	Peer            netip.AddrPort
	Start           time.Time
	Revision        uint64 // active revision
	State           string // as reported
	Inflight        int
	ConfirmationAge time.Duration // age of its last confirmation at the time of the report
	LastSeen        time.Time     // time of the last report, or of the last link opened
	Linked          bool          // has a link to this replica
}

// applyReport updates the instance from a report and reports whether it did. A
// report of an earlier incarnation is ignored.
func (i *Instance) applyReport(r wire.Report, now time.Time) bool {
	if r.Start.Before(i.Start) {
		return false
	}
	i.Start, i.Revision, i.State = r.Start, r.Number, r.State
	i.Inflight, i.ConfirmationAge, i.LastSeen = r.Inflight, r.Confirmed, now
	return true
}
