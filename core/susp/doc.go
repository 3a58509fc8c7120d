// Package susp suspects targets of a service on little evidence and for a short
// time.
//
// The load it answers: a target that gets a few requests a second from all
// entries together, under 0.1 a second from each, and that fails most of them
// for a second or several while its health check is good. Statistics of one
// entry find such a target after it has recovered. One failed request is already
// evidence enough to prefer another target: with failures of 1 in 100 at a sound
// target and of 3 in 4 at a failing one, a single failure makes the second case
// the likely one, and with spare capacity the preference costs nothing.
//
// Each bad sign adds to a score that halves every HalfLife. A target is suspect
// while its score is above a bound, so that signs in a row lead to a longer
// absence. Signs of other entries of the region count as well, but less where
// the path between the two may be at fault. A suspect is chosen only when no
// other target is left, and when most targets of a service are suspect the cause
// lies elsewhere and none is avoided: the package can never take capacity away.
//
// All methods of Target are safe for concurrent use and take the time as an
// argument.
package susp
