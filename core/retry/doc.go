// Package retry decides whether a further attempt of a request is made.
//
// Call pattern. The program owns one Budget per service; all methods are safe
// for concurrent use. For each request a traffic goroutine calls Request once.
// For a repeatable request it calls Hedge after the first attempt is sent and
// waits for that long; when no answer has come it calls Allow with Hedging, and
// when an attempt has failed it calls Allow with the reason. It makes the
// further attempt only when Allow reports true, with the deadline that is left.
// It calls Observe with the latency of each answered attempt and
// with the age of each attempt that is given up, such as the loser of a hedge. The control goroutine
// calls Busy with whether requests wait at the gate of core/limit.
//
// Each request adds a share of a token (10%), each further attempt takes a
// whole one. A small reserve refills with time, so that a service with little
// traffic can retry at all.
package retry
