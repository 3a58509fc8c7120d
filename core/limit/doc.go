// Package limit admits requests to a service, queues them and sheds them.
//
// An entry owns one Gate per service. All methods are safe for concurrent use.
// They hold a mutex while they process the queue, which is bounded. A traffic
// goroutine calls Acquire. If the decision is Admitted, it sends the request; if
// it is Refused, it answers with Ticket.Reason and run "no"; if it is Waiting, it
// receives from Ticket.Wake, a channel with a buffer of one decision that the
// goroutine made itself. Methods that decide other tickets return them, and the
// caller sends each one's Decision to its Wake. During the request, the goroutine
// calls RecordLoad with the Galenalock-Load of the response, and RecordShed if
// the target shed the request; when it has ended, it calls Release. If the caller
// disconnects while the request waits, the goroutine calls Cancel; if that
// returns false, a decision is about to arrive, and an Admitted one needs Release.
//
// The control goroutine calls SetCapacity when the targets in service change,
// and Tick every 100 ms.
//
// The limit on requests in flight lies between half of the entry's fair share of
// the slots in service and all of them; WithMinLimit raises both bounds. It
// decreases by a tenth if targets shed requests or report on average more than
// 1.5 requests per slot. It increases by a tenth of its lower bound while it is
// nearly used up, or by a tenth of itself while the targets report a low
// utilization.
//
// The queue is ordered by rank, then by deadline. If a request in it could not end by
// its deadline, the one with the lowest weight per slot-second among it and those of
// its rank before it is refused immediately. Among requests of one rank, this is the
// greedy rule for maximizing the total weight of the answered requests.
//
// Where many entries share the targets, the limit on requests in flight rarely binds
// and requests queue at the targets, which know no ranks. The gate therefore also
// limits the rate of admissions while the targets queue requests (package room). A
// request that is not admitted waits, if it would then still meet its latency goal;
// otherwise it is refused immediately with the time after which room is expected. If
// targets further away have room, it is admitted to them instead (Ticket.Tier). For this,
// the goroutine also calls ObserveTarget and ObserveShed, and the control goroutine
// SetTiers. Without reports of the targets, only the limit on requests in flight applies.
package limit
