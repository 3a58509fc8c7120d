package serve

import "time"

// Limits bounds what one server accepts.
type Limits struct {
	Body        int64         // bytes of a request body, 0: no limit
	Header      int           // bytes of the request header
	HeaderTime  time.Duration // until the header has arrived
	Idle        time.Duration // of a kept connection
	Connections int           // open at once; more wait in the backlog
}

// DefaultLimits returns bounds for an administration server.
func DefaultLimits() Limits {
	return Limits{
		Body:        16 << 20,
		Header:      64 << 10,
		HeaderTime:  5 * time.Second,
		Idle:        2 * time.Minute,
		Connections: 4096,
	}
}
