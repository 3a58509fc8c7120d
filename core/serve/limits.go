package serve

import "time"

// Limits holds the limits of a server.
type Limits struct {
	MaxRequestBodyBytes   int64         // size of a request body, 0: no limit
	MaxRequestHeaderBytes int           // size of a request header
	HeaderTimeout         time.Duration // time to read a request header; HTTP/1 only
	IdleConnTimeout       time.Duration // time until an idle connection is closed
	MaxConnections        int           // open connections, 0: no limit; at the limit one that is idle or whose body has stopped is closed
	StallTimeout          time.Duration // time for which the rest of a request body may not go on, 0: no limit
}

// DefaultLimits returns the limits of an administration server.
func DefaultLimits() Limits {
	return Limits{
		MaxRequestBodyBytes:   16 << 20,
		MaxRequestHeaderBytes: 64 << 10,
		HeaderTimeout:         5 * time.Second,
		IdleConnTimeout:       2 * time.Minute,
		MaxConnections:        4096,
		StallTimeout:          15 * time.Second,
	}
}
