// Package limit admits requests to a service, queues them and sheds them.
//
// Call pattern. An entry owns one Gate per service; all methods are safe for
// concurrent use and hold a mutex for at most one pass over the bounded queue.
// A traffic goroutine calls Ask. When the verdict is Admitted it dispatches at
// once; when Refused it answers with Ticket.Reason and run "no"; when Waiting it
// receives from Ticket.Wake, a channel with room for one verdict that it made.
// Every method returns the other tickets that it decided, and its caller sends
// each one's Verdict to its Wake. When the request has ended the goroutine calls
// Report with the Galenalock-Load of the response, Shed when the target shed
// it, and then Done. When the caller disconnects while it waits, it calls Leave;
// if that reports false the verdict is on its way and an Admitted one needs Done.
//
// The control goroutine calls Capacity when the targets in service change and
// Tick every 100 ms.
//
// The limit on requests in flight lies between half of the entry's fair share
// of the slots in service and all of them. It falls by a tenth when targets
// report on average half again as many requests as slots, or shed; it grows by a
// tenth of its lower bound while it is used up.
//
// The queue is ordered by deadline. When a request in it could not end by its
// deadline, the one with the lowest weight per slot-second up to there is
// refused at once, which is the greedy rule for the greatest weight answered.
package limit
