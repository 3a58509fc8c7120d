package retry

// Reason is the reason for an extra attempt.
type Reason string

// Reasons for an extra attempt. The values are attributes of a counter.
const (
	ConnectFailed    Reason = "connect" // no connection could be opened
	TargetFailed     Reason = "broken"  // the target failed while handling the request
	Shed             Reason = "shed"    // the target shed the request before running it
	ConnectionSilent Reason = "silent"  // nothing was received on the connection
	Hedging          Reason = "hedge"   // no answer within the 95th percentile
	ServiceFull      Reason = "full"    // the whole service is at capacity: never retried
)

// Decision is the decision about an extra attempt.
type Decision string

// Decisions of a Budget. The values are attributes of a counter.
const (
	Allowed      Decision = "allowed"
	Exhausted    Decision = "exhausted" // no token left
	PastDeadline Decision = "late"      // the attempt could not end before the deadline
	AddsLoad     Decision = "useless"   // the attempt would add to an overload
	AttemptLimit Decision = "enough"    // the request has reached its maximum number of attempts
)
