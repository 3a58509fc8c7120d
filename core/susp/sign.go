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
	signs
)

// weight is what a sign adds to the score. A target that sheds is busy for a
// moment; an address that belongs to another target stays so until the registry
// knows.
var weight = [signs]float64{
	Failed: 1, Broken: 1, Overdue: 1, Unreachable: 1, Shed: 0.6, Misdirected: 8,
}

// heard is what the sign of another entry adds. Signs that a fault of the path
// explains as well need a second witness; one of which the path is the likely
// cause does not count.
var heard = [signs]float64{
	Failed: 1, Broken: 0.4, Overdue: 0.4, Misdirected: 8,
}

// Shared reports whether other entries are told of a sign.
func (s Sign) Shared() bool { return s < signs && heard[s] > 0 }

// String returns the name used in logs.
func (s Sign) String() string {
	names := [signs]string{"none", "failed", "broken", "overdue", "unreachable", "shed", "misdirected"}
	if s >= signs {
		return "unknown"
	}
	return names[s]
}
