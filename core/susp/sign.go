package susp

// Sign is what was seen of a target.
type Sign uint8

// The signs. Their numbers are part of the protocol between processes.
const (
	Failed      Sign = iota + 1 // a complete response that tells of a failure
	Broken                      // the connection ended, or the response was malformed or incomplete
	Overdue                     // no answer for much longer than usual
	Unreachable                 // no connection could be opened
	Shed                        // the target declared that it did not run a request
	Misdirected                 // another target answered at the address
	Answered                    // a complete answer in the usual time
	signs
)

// ratio is how much more likely a sign is at a failing target than at a sound
// one. A failing target fails most requests and answers the others; of a sound
// one about one request in a hundred fails.
var ratio = [signs]float64{
	Failed: 60, Broken: 60, Overdue: 30, Unreachable: 60, Shed: 6, Misdirected: 1e4, Answered: 0.25,
}

// heard is the same for the sign of another entry: less where a fault of the
// path explains it as well, and nothing where the path is the likely cause.
var heard = [signs]float64{
	Failed: 60, Broken: 5, Overdue: 5, Unreachable: 1, Shed: 1, Misdirected: 1e4, Answered: 0.25,
}

// names are used in logs.
var names = [signs]string{"none", "failed", "broken", "overdue", "unreachable", "shed", "misdirected", "answered"}

// String returns the name used in logs.
func (s Sign) String() string {
	if s >= signs {
		return "unknown"
	}
	return names[s]
}

// known reports whether the sign is one of the present version.
func (s Sign) known() bool { return s > 0 && s < signs }

// Shared reports whether other entries are told of a sign of a target that was
// in a failing state with a probability. An answer is news only of a doubtful
// target.
func (s Sign) Shared(before float64) bool {
	if s == Answered {
		return before >= doubtful
	}
	return s.known() && heard[s] > 1
}
