// Package drain accounts for requests in flight and ends a process without
// cutting them off.
//
// After Stop the instance still accepts requests for the grace period, in
// which the balancer learns that it is not ready; then it refuses new requests
// and waits until none is in flight, until the time limit, or until a second
// Stop. What is then still in flight is reported by Cut.
package drain
