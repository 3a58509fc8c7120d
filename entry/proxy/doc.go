// Package proxy is the data path of an entry: it matches a request to a
// service and kind, sends it to a target and streams the response.
//
// It reads the configuration and uses targets, claims and budgets through the
// function fields of Hooks; every field but View and Pick may be nil.
//
// A refusal states that a request was not run only if no byte of it can have
// reached a target, or if the target declared that it did not run it. The
// statement covers this request, not earlier requests with the same key.
// A request that must not be repeated is written to at most one target, once.
// A truncated response or upload never ends cleanly on the other side.
//
// # Headers
//
// If the configuration has keys, Authorization from callers holds the key of the
// workspace. It is removed, and Galenalock-Workspace names the workspace to targets,
// whatever the caller sent in it. Without keys they are forwarded unchanged.
//
// From callers: Galenalock-Workspace names the workspace; Galenalock-Deadline
// gives the time left in milliseconds, which can shorten the timeout of the
// kind but not extend it.
//
// To targets: Galenalock-Deadline holds the milliseconds left and
// Galenalock-Request the identifier of the request, which consists of the trace
// and parent identifiers of Traceparent.
//
// From targets: Galenalock-Load reports load. Galenalock-Limit names the requests a
// second that the target accepts from the whole fleet. Galenalock-Run: no on a 503
// declares that the request was not run, and Retry-After on a 503 that the target
// wants no request from this entry for that many seconds. Galenalock-Leaving: 1 tells
// that it wants none any more. Galenalock-Shed: service adds that the
// other targets of the service are full too, so the request is not retried.
//
// Between entries: Galenalock-Relay marks a request that an entry without a path to
// the targets passes on, and the response to it.
//
// To callers: Galenalock-Request on refusals, Galenalock-Replayed: true on a
// response recorded for an earlier request with the same key, and
// Galenalock-Stored: false when its body was too large to be kept.
package proxy
