// Package health detects unhealthy targets from the requests that one entry sends.
//
// # Use
//
// The control goroutine owns one Monitor per service. It calls Target for every
// target that it learns of (the same incarnation returns the same handle), Forget
// for those that are gone, SetWatched with the watch list of the control leader,
// Tick every 50 ms to 100 ms, and Evidence after each Tick; it sends the rows that
// Evidence returns. After a Tick it reads Target.Weight and passes it to
// core/route.
//
// A traffic goroutine calls Target.Start when it sends a request, Call.Finish once
// when the attempt has ended, and Target.RecordLoad with the load that a response
// reports. These methods use atomic operations only. For connections it calls
// Target.OpenConn, Conn.Sent, Conn.Received and Conn.Close; the control goroutine
// calls Target.SilentConns for those to close.
//
// # Test
//
// Each attempt gives one observation, which is bad if the attempt failed or took
// longer than the 90th percentile of the peers, and good otherwise. The peers are
// the other targets of the same region that are not suspect. A pending attempt
// counts as bad as soon as it exceeds the percentile. The cumulative sum of
// log-likelihood ratios compares an exceedance probability of 0.6 with 0.1, or with
// the recent rate of the peers if that is higher, so that a change common to all
// targets is evidence against none of them.
//
// # Overload
//
// While the reported slots of the peers are in use, queues of two to five times the
// slots form at single healthy targets for 0.2 s to 0.5 s. The requests in such a
// queue are slow together, not independently, and their sum exceeds the fast
// threshold. In that state the test therefore allows a healthy target an exceedance
// rate of 0.4. Only the load of the peers counts, so that a slow target cannot
// raise its own allowance by its own queue or by a wrong report.
//
// # False alarms
//
// A cumulative sum with threshold h has at most exp(-h) false alarms per
// observation of a healthy target whose observations are independent.
// Policy.Threshold is h, which the leader applies to the pooled evidence: fast (18)
// gives at most 1.6e-8 per observation, one in about 5 hours at 3,600 requests per
// second; careful (28) at most 7e-13, one in about 12 years. Observations from a
// pause that delays many requests at once are not independent, so the leader bounds
// the evidence of one interval.
package health
