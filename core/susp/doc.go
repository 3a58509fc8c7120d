// Package susp estimates the probability that a target is in a phase of failures.
//
// It is made for targets that get a few requests a second from all entries
// together, under 0.1 a second from each, and that fail most of them for some
// seconds while their health check passes. The statistics of a single entry
// detect such a target only after it has recovered.
//
// The model is a hidden Markov model with two states, healthy and failing. Target
// is the filter for it: each observation changes the odds of the failing state by
// its likelihood ratio, and with time the probability returns to that of a target
// of which nothing is known. A single failure makes the failing state
// likely, and the target is avoided for a while. After that its risk counts as
// low until a request has tested it, so that a healthy target that failed once is
// soon in use again. Answers end the avoidance early when they outweigh the
// failure. Observations of other entries of the region count as well, but less
// where a fault of the network path explains them too. An entry that sends a
// request to an avoided target tells the others, so that they need not test it.
//
// All methods of Target are safe for concurrent use and take the time as an
// argument.
package susp
