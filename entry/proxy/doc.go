// Package proxy is the data path of an entry: it matches a request to a
// service and kind, sends it to a target and streams the response.
//
// What it knows about the configuration, the targets, claims and budgets comes
// from the function fields of Hooks; every field but View and Pick may be nil.
//
// A refusal says that a request was not run only when no byte of it can have
// reached a target, or when the target declared that it did not run it. A
// request that must not be repeated is written to at most one target, once.
// A response or upload that is cut never ends cleanly on the other side.
package proxy
