// Package retry decides whether a request gets another attempt.
//
// The program owns one Budget per service; all methods are safe for concurrent
// use. A traffic goroutine calls AddRequest (AddRequestAt for a budget with a
// window) once for each request. For a repeatable request it waits for
// HedgeDelay after the first attempt was sent. If no answer has come by then, it
// calls Allow with Hedging; if an attempt has failed, it calls Allow with the
// reason. It makes another attempt only if Allow returns true, with the time
// that is left until the deadline. It calls ObserveLatency with the latency of
// each answered attempt and with the age of each abandoned attempt, such as the
// loser of a hedge. The control goroutine calls SetBusy, which says whether
// requests wait at the gate of package limit.
//
// Each request adds a fraction of a token (10%), each extra attempt takes a whole
// one. A small reserve refills with time, so that a service with little traffic
// can retry at all.
package retry
