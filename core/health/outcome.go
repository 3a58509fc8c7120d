package health

// Outcome is how an attempt ended.
type Outcome int

// The outcomes.
const (
	OK        Outcome = iota // answered
	Failed                   // error, or malformed or incomplete response
	Cancelled                // cancelled or shed: no evidence beyond what was counted while pending
	Discarded                // the connection was silent: what was counted while pending is subtracted
)
