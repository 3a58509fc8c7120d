package retry

// Reason names in one word why a further attempt is wanted.
type Reason string

// The reasons. Each has a counter attribute of the same name.
const (
	Connect Reason = "connect" // no connection
	Broken  Reason = "broken"  // the target failed while it handled the request
	Shed    Reason = "shed"    // the target shed the request before running it
	Silent  Reason = "silent"  // the connection was silent
	Hedging Reason = "hedge"   // no answer within the 95th percentile
	Full    Reason = "full"    // the service as a whole is full: never retried
)

// Verdict names in one word what became of a wanted attempt.
type Verdict string

// The verdicts.
const (
	Allowed   Verdict = "allowed"
	Exhausted Verdict = "exhausted" // no token left
	Late      Verdict = "late"      // it could not end by the deadline
	Useless   Verdict = "useless"   // another attempt would add to an overload
	Enough    Verdict = "enough"    // the request has used its attempts
)
