// Package proxy is the data path of an entry: it matches a request to a
// service and kind, sends it to a target and streams the response.
//
// What it knows about the configuration, the targets, claims and budgets comes
// from the function fields of Hooks; every field but View and Pick may be nil.
//
// A refusal says that a request was not run only when no byte of it can have
// reached a target, or when the target declared that it did not run it. It
// speaks of this request, not of earlier requests with the same key.
// A request that must not be repeated is written to at most one target, once.
// A response or upload that is cut never ends cleanly on the other side.
//
// # Headers
//
// From callers: Galenalock-Workspace names the workspace, Galenalock-Deadline
// bounds the time in milliseconds below the timeout of the kind.
//
// To targets: Galenalock-Deadline holds the milliseconds left and
// Galenalock-Request the identifier of the request, which is made of the trace
// and parent identifiers of Traceparent.
//
// From targets: Galenalock-Load reports load. Galenalock-Run: no on a 503
// declares that the request was not run, and Galenalock-Shed: service adds
// that other targets are full too, so that nothing is retried.
//
// To callers: Galenalock-Request on refusals, Galenalock-Replayed: true on a
// response recorded for an earlier request with the same key, and
// Galenalock-Stored: false when its body was too large to be kept.
package proxy
