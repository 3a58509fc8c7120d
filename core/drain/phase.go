package drain

// Phase is how far a shutdown has come.
type Phase int

// The phases, in their order.
const (
	Serving Phase = iota // requests are accepted
	Grace                // requests are accepted, connections are closed after their response
	Waiting              // requests are refused, those in flight may end
	Ended                // nothing is in flight, or the wait was ended
)

// String returns the name used in logs.
func (p Phase) String() string {
	return [...]string{"serving", "grace", "waiting", "ended"}[p]
}
