package limit

import (
	"time"

	"github.com/galenalock/galenalock/core/refuse"
)

// Decision is the state of a request at the gate.
type Decision int

// Decisions of a Gate.
const (
	Waiting Decision = iota
	Admitted
	Refused
)

// Ticket is one request at the gate.
type Ticket struct {
	Kind     string
	Weight   float64
	Deadline time.Time
	Wake     chan Decision // for use by the caller; the gate does not access it

	Decision Decision
	Reason   refuse.Reason // of a refusal: overload or deadline

	slotTime   time.Duration // expected for its kind
	latestEnd  time.Time     // the deadline or the maximum duration, whichever is earlier
	admittedAt time.Time
	targetUse  float64 // utilization of the target, as reported in the response
}

// density returns the weight per expected slot-second.
func (t *Ticket) density() float64 { return t.Weight / max(t.slotTime.Seconds(), 1e-6) }
