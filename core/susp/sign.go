package susp

// Observation is the class of what an entry observed of a target.
type Observation uint8

// The observations. Their numbers are part of the protocol between processes.
const (
	Failed      Observation = iota + 1 // a complete response that reports a failure
	Broken                             // the connection ended, or the response was malformed or incomplete
	Overdue                            // no answer for much longer than usual
	Unreachable                        // no connection could be opened
	Shed                               // the target declared that it did not run a request
	Misdirected                        // another target answered at the address
	Answered                           // a complete answer in the usual time
	Tested                             // a request was sent although the target is avoided
	numObservations
)

// ownRatio is the likelihood ratio of an observation of this entry, that of a
// failing target to that of a healthy one. A failing target fails most requests
// and answers the others; a healthy one fails about one request in a hundred.
var ownRatio = [numObservations]float64{
	Failed: 60, Broken: 60, Overdue: 30, Unreachable: 60, Shed: 6, Misdirected: 1e4, Answered: 0.25, Tested: 1,
}

// remoteRatio is the likelihood ratio of an observation of another entry: smaller
// where a fault of the network path explains the observation as well, and 1 where
// the path is the likely cause.
var remoteRatio = [numObservations]float64{
	Failed: 60, Broken: 5, Overdue: 5, Unreachable: 1, Shed: 1, Misdirected: 1e4, Answered: 0.25, Tested: 1,
}

// observationNames are the names used in logs.
var observationNames = [numObservations]string{"none", "failed", "broken", "overdue", "unreachable", "shed", "misdirected", "answered", "tested"}

// String returns the name used in logs.
func (o Observation) String() string {
	if o >= numObservations {
		return "unknown"
	}
	return observationNames[o]
}

// valid reports whether this version of the program defines the observation.
func (o Observation) valid() bool { return o > 0 && o < numObservations }

// IsOfPath reports whether a fault of the path to the target explains the
// observation as well.
func (o Observation) IsOfPath() bool { return o == Broken || o == Overdue || o == Unreachable }

// ShouldShare reports whether other entries are to be sent the observation, given
// the probability of the failing state before it. An answer is sent only when
// that probability was at least suspectProbability.
func (o Observation) ShouldShare(before float64) bool {
	switch o {
	case Answered:
		return before >= suspectProbability
	case Tested:
		return true
	}
	return o.valid() && remoteRatio[o] > 1
}
