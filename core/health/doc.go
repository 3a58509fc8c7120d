// Package health judges targets from the requests that one entry sends.
//
// Call pattern. The control goroutine owns one Monitor per service. It calls
// Target for every target that it learns of (the same incarnation returns the
// same handle), Forget for those that are gone, Watch with the watch list of
// the control leader, Tick every 50 ms to 100 ms, and Evidence after each Tick;
// it sends the rows that Evidence returns. After a Tick it reads
// Target.Weight and passes it to core/route.
//
// A traffic goroutine calls Target.Start when it sends a request and
// Call.Finish once when the attempt has ended, and Target.Load with the load
// that a response reports. All use atomics only. For connections it calls
// Target.Open, Conn.Send, Conn.Hear and Conn.Close; the control goroutine asks
// Target.Silent which of them to close.
//
// The test. Each attempt gives one observation: it failed or took longer than
// the 90th percentile of the peers, or it did neither. The peers are the other
// targets of the same region that are not suspect. A pending attempt counts as
// soon as it passes the percentile. The cumulative sum of log-likelihood ratios
// compares exceedance probability 0.6 with 0.1, or with the peers' recent rate
// when that is higher, so that a change common to all is evidence against none.
//
// Overload. While the peers' reported slots are in use, a queue of two to five
// times the slots forms at one healthy target or another for 0.2 s to 0.5 s.
// The requests in it are slow together, not independently, and sums of them
// pass the fast threshold. In that state the test therefore allows a healthy
// target a rate of 0.4. Only the load of the peers counts, so that a slow
// target's own queue, or a wrong report of its own, is no excuse.
//
// False alarms. A cumulative sum with threshold h has at most exp(-h) false
// alarms per observation of a healthy target with independent observations.
// Policy.Threshold is h, applied by the leader to the pooled evidence: fast
// (18) gives at most 1.6e-8 per observation, one in about 5 hours at 3,600
// requests per second; careful (28) at most 7e-13, one in about 12 years.
// Pauses that delay many requests at once are not independent observations;
// the leader bounds the evidence of one interval for that reason.
package health
