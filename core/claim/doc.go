// Package claim is the entry side of claims: the right to dispatch a keyed
// request that must not be repeated, committed by control before the first
// byte is sent.
//
// The Core decides and keeps accounts; it has no clock, no goroutines and no
// connections, and it is not safe for concurrent use. Its user asks control,
// dispatches and records as the returned actions say.
package claim
