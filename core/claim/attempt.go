package claim

import (
	"time"

	"github.com/galenalock/galenalock/core/wire"
)

type phase int

const (
	claiming   phase = iota // the claim was sent; control may or may not have granted it
	waiting                 // another attempt holds the claim
	granted                 // the request may be dispatched
	dispatched              // the request was or is being sent
	recording               // the outcome is to be recorded
)

// Attempt describes an attempt whose outcome is not recorded yet.
type Attempt struct {
	Number     uint64
	Service    string
	Key        string
	Dispatched bool         // the request may have run
	Outcome    wire.Outcome // empty while the request is in flight
	Since      time.Time
}

type attempt struct {
	claim         wire.Claim
	phase         phase
	openedAt      time.Time
	firstSent     time.Time // when the earliest unanswered claim message was sent
	deadline      time.Time
	claimExpires  time.Time // expiry of a claim that was committed as soon as it was sent
	polls         int
	record        wire.Close
	retries       int
	wasDispatched bool

	contended bool // another attempt was seen running and may have run the request
}

// backoff returns the delay before repetition n: first, doubled n times, but at
// most last.
func backoff(first, last time.Duration, n int) time.Duration {
	for range n {
		if first *= 2; first >= last {
			return last
		}
	}
	return first
}
