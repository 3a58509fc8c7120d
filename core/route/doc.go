// Package route chooses the target of a request.
//
// The control goroutine owns one Router per service. It calls Update with the
// known targets and the instances of the fleet whenever one of them changes, and
// at least once a second, because the weights of slow start change with time.
// Update publishes an immutable snapshot.
//
// A traffic goroutine calls Pick with the time, a random draw and an optional
// endpoint to avoid (the target of the first attempt). For the first attempt of
// a repeatable request it calls PickProbation and then PickSuspect before, which
// return a target in probation or a suspect that needs evidence, but mostly nil.
// It then calls Endpoint.Begin before it opens or reuses a connection,
// Endpoint.RecordLoad when a response carries Galenalock-Load,
// Endpoint.RecordBytes when bytes were exchanged, and Endpoint.End when the
// attempt has ended. Endpoint.Limit is the number of connections that this
// instance may hold to the target. An endpoint stays valid after an Update that
// removes it.
//
// Pick considers targets of the same data centre first, then of the same region,
// then of other regions. A farther tier is considered when the better of two
// candidates of the nearer tier is used above the spill bound or has lost
// weight, and is chosen when its expected cost is lower. Within a tier, two
// candidates are drawn by weight and the one with the lower expected cost is
// taken (power of two choices).
//
// PickByCost replaces Pick where an entry sends a few requests a second to many
// targets. It compares all of them by expected cost. When so many targets are
// avoided that the floor of the service would be violated, it uses a share of
// the first attempts to test avoided targets. The cost of distance follows
// Endpoint.RecordConnect and Request.Bytes. Among targets of similar cost,
// PickByCost prefers those with an idle connection (WithIdleConnections).
//
// Target.Quota holds the limit that a target names. All ways of choosing pass over
// a target for which this instance has no token; the caller takes the token when it
// sends the request. A target that is not in the subset of this instance is used
// nevertheless if the instance has a share of its limit.
package route
