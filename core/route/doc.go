// Package route chooses the target of a request.
//
// Call pattern. The control goroutine owns one Router per service. It calls
// Update with the targets it knows and the instances of the fleet whenever
// one of them changes and at least once a second, because slow start and the
// age of reported load move with time. Update publishes an immutable snapshot.
//
// A traffic goroutine calls Pick with the time, a random draw and an optional
// endpoint to avoid (the target of the first attempt). For the first attempt of
// a repeatable request it asks Probe and then Sample before, which return a
// target in probation or a suspect that needs evidence, mostly nil. It then calls
// Endpoint.Begin before it opens or takes a connection, Endpoint.Load when a
// response carries Galenalock-Load, Endpoint.Bytes when bytes were exchanged,
// and Endpoint.End once the attempt has ended. Endpoint.Limit is the number of
// connections that this instance may hold to the target. An endpoint stays
// valid after an Update that removes it.
//
// Order of the choice: targets of the same data centre, then of the same
// region, then elsewhere. A farther tier is considered when the better of two
// candidates of the nearer tier is used above the spill bound or has lost
// weight, and wins when its expected cost is lower. Within a tier two
// candidates are drawn by weight and the one with the lower expected cost is
// taken (power of two choices).
//
// Choose takes the place of Pick where an entry sends a few requests a second to
// many targets. It weighs all of them by expected cost, and a share of the first
// attempts tests targets that are avoided when so many are that the floor of the
// service would break.
package route
