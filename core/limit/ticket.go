package limit

import (
	"cmp"
	"time"

	"github.com/galenalock/galenalock/core/refuse"
	"github.com/galenalock/galenalock/core/room"
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
	Rank     int // 0 is the most urgent
	Weight   float64
	Goal     time.Time // until which the answer has its full value, zero: the deadline
	Deadline time.Time
	Wake     chan Decision // for use by the caller; the gate does not access it

	Decision   Decision
	Tier       room.Tier     // of an admitted request: nearer targets are full
	Reason     refuse.Reason // of a refusal: overload or deadline
	RetryAfter time.Duration // of a refusal: when room is expected, 0 if unknown

	slotTime   time.Duration // expected for its kind
	latestEnd  time.Time     // the deadline or the maximum duration, whichever is earlier
	admittedAt time.Time
	queueRank  int     // Rank if the targets queue requests, else 0
	held       bool    // waited because the targets queue requests
	targetUse  float64 // utilization of the target, as reported in the response
}

// density returns the weight per expected slot-second.
func (t *Ticket) density() float64 { return t.Weight / max(t.slotTime.Seconds(), 1e-6) }

// compare orders waiting tickets by rank, if the targets queue requests, then by the
// time by which they must end.
func (t *Ticket) compare(o *Ticket) int {
	return cmp.Or(cmp.Compare(t.queueRank, o.queueRank), t.latestEnd.Compare(o.latestEnd))
}

// workMargin and queueMargin cover requests that take longer, and targets that have
// longer queues, than the mean. Without them, 11% of the requests that had waited at the
// entry passed their deadline at a target, 3% with them.
const (
	workMargin  = 1.25
	queueMargin = 1.5
)

// expectedTime returns the time that the request takes from its admission, including
// the queue of its target.
func (t *Ticket) expectedTime(e *room.Estimate) time.Duration {
	return time.Duration(workMargin*float64(t.slotTime) + queueMargin*float64(e.QueueDelay))
}
