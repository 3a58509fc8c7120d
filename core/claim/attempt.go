package claim

import (
	"time"

	"github.com/galenalock/galenalock/core/wire"
)

type phase int

const (
	asking     phase = iota // control may or may not have granted
	waiting                 // another attempt holds the claim
	granted                 // the request may be dispatched
	dispatched              // the request was or is being sent
	recording               // the outcome is to be recorded
)

// Attempt is a snapshot of an attempt whose outcome is not recorded.
type Attempt struct {
	Number     uint64
	Service    string
	Key        string
	Dispatched bool         // the request may have run
	Outcome    wire.Outcome // empty while the request is in flight
	Since      time.Time
}

type attempt struct {
	claim    wire.Claim
	phase    phase
	opened   time.Time
	asked    time.Time // of the earliest question without an answer
	deadline time.Time
	expires  time.Time // when a claim that was committed at once ends
	polls    int
	close    wire.Close
	retries  int
	sent     bool // the request was dispatched

	contended bool // another attempt was seen running and may have run the request
}

// again doubles a delay with each repetition up to a bound.
func again(first, last time.Duration, n int) time.Duration {
	for range n {
		if first *= 2; first >= last {
			return last
		}
	}
	return first
}
