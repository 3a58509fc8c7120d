package eject

import (
	"time"

	"github.com/galenalock/galenalock/core/chart"
)

// record is a target as the leader sees it.
type record struct {
	Target
	machine *chart.Machine
	changed time.Time // of the announced state
	entered time.Time // of the state of the life cycle
	pool    pool

	watched bool
	granted bool          // wanted in the set
	applied bool          // in the set that was applied last
	leased  time.Time     // when that set was proposed
	score   float64       // at the conviction
	until   time.Time     // when the last lease sent for it has expired everywhere
	hold    time.Duration // of the present or next ejection
	cleared time.Time     // when it last returned to service
}

func (r *record) is(state string) bool { return r.machine.State() == state }

func (r *record) member(now time.Time) Member {
	return Member{
		Address: r.Address, Slots: r.Slots, State: r.State, Changed: r.changed,
		Ejected: r.granted || now.Before(r.until),
	}
}
