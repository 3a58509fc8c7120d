// Package claim implements the entry side of claims. A claim is the right to
// dispatch a keyed request that must not be repeated; control commits it before
// the first byte of the request is sent.
//
// Core is a state machine without a clock, goroutines or connections, and is not
// safe for concurrent use. Its caller performs the returned actions: it sends
// claims to control, dispatches requests and records their outcomes.
package claim
