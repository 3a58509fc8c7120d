// Package susp estimates how likely a target is in a phase of failures.
//
// The load it answers: a target that gets a few requests a second from all
// entries together, under 0.1 a second from each, and that fails most of them
// for some seconds while its health check is good. Statistics of one entry find
// such a target after it has recovered.
//
// A target is in one of two states, sound or failing, and changes between them
// by chance. Target is the filter for this model: each sign moves the
// probability of the failing state by its likelihood ratio, and with time the
// probability returns to that of a target of which nothing is known. A single
// failure makes the failing state likely, and the target is avoided for a while;
// after that it counts as little risk until a request has tested it, so that a
// sound target that failed once is soon in use again. An answer ends the
// avoidance early when it outweighs the failure. Signs of other entries of the
// region count as well, but less where a fault of the path explains them too.
//
// All methods of Target are safe for concurrent use and take the time as an
// argument.
package susp
