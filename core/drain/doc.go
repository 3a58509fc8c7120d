// Package drain tracks requests in flight and controls the graceful shutdown of a
// process.
//
// After Stop the instance still accepts requests for the grace period, during
// which the load balancer detects that it is not ready. Then it refuses new
// requests and waits until none is in flight, until the time limit, or until a
// second Stop. Interrupted returns the requests that are still in flight then.
package drain
