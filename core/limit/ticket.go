package limit

import (
	"time"

	"github.com/galenalock/galenalock/core/refuse"
)

// Verdict is the state of a ticket.
type Verdict int

// The verdicts.
const (
	Waiting Verdict = iota
	Admitted
	Refused
)

// Ticket is one request at the gate.
type Ticket struct {
	Kind     string
	Weight   float64
	Deadline time.Time
	Wake     chan Verdict // for the caller's use

	Verdict Verdict
	Reason  refuse.Reason // of a refusal: overload or deadline

	expected time.Duration // slot-time of its kind
	finish   time.Time     // latest end: the deadline or the patience of the queue
	began    time.Time
	use      float64 // of the target's slots, as reported with the response
}

// density is the weight per slot-second.
func (t *Ticket) density() float64 { return t.Weight / max(t.expected.Seconds(), 1e-6) }
