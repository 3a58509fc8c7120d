// Package limit admits requests to a service, queues them and sheds them.
//
// Call pattern. An entry owns one Gate per service; all methods are safe for
// concurrent use and hold a mutex for at most one pass over the bounded queue.
// A traffic goroutine calls Ask. A ticket that is Admitted is dispatched at
// once, a Refused one is answered with Ticket.Reason and run "no", and for a
// Waiting one the goroutine waits on a channel of its own that it stored with
// the ticket. Every method returns the other tickets that it decided; the
// caller wakes their goroutines. When the request has ended the goroutine calls
// Done; when the caller disconnects while it waits, Leave. A response with
// Galenalock-Load goes to Report, a response that the target shed to Shed.
//
// The control goroutine calls Capacity when the targets in service change and
// Tick every 100 ms.
//
// The limit on requests in flight lies between the entry's fair share of the
// slots in service and all of them. It falls by a tenth when targets report
// more requests than slots or shed, and grows by one while it is used up.
//
// The queue is ordered by deadline. When a request in it could not end by its
// deadline, the one with the lowest weight per slot-second up to there is
// refused at once, which is the greedy rule for the greatest weight answered.
package limit
