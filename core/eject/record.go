package eject

import (
	"time"

	"github.com/galenalock/galenalock/core/chart"
)

// record is the state that the leader keeps of one incarnation of a target.
type record struct {
	Target
	machine   *chart.Machine
	changedAt time.Time // last change of the announced state
	enteredAt time.Time // last change of the life cycle state
	evidence  pooledEvidence

	watched     bool
	granted     bool          // to be in the set
	applied     bool          // in the set that was applied last
	leasedAt    time.Time     // when that set was proposed
	score       float64       // at the ejection
	leasedUntil time.Time     // when the last lease sent for it has expired everywhere
	holdDown    time.Duration // of the current or next ejection
	returnedAt  time.Time     // when it last returned to service
}

func (r *record) inState(state string) bool { return r.machine.State() == state }

func (r *record) member(now time.Time) Member {
	return Member{
		Address: r.Address, Slots: r.Slots, State: r.State, Changed: r.changedAt,
		Ejected: r.granted || now.Before(r.leasedUntil),
	}
}
