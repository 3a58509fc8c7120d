package drain

// Phase is the progress of a shutdown.
type Phase int

// The phases, in order.
const (
	Serving Phase = iota // requests are accepted
	Grace                // requests are accepted, connections are closed after their response
	Waiting              // new requests are refused, those in flight may finish
	Ended                // no request is in flight, or the wait was ended
)

// String returns the name used in logs.
func (p Phase) String() string {
	return [...]string{"serving", "grace", "waiting", "ended"}[p]
}
