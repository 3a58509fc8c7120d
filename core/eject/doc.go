// Package eject decides which targets are taken out of service, and keeps the
// healthy capacity of each service at its floor.
//
// On control, the control goroutine of the leading replica owns one Leader,
// created when the replica becomes leader. It calls SetService and RemoveService
// as the service text changes, UpdateTarget with every record of a target,
// Restore once per service with the replicated set of grants, AddEvidence with
// every wire.Evidence, and Step every 50 ms. Step returns the sets to propose to
// the replicated log. When a set has been applied, the goroutine calls
// ProposalApplied. It sends Orders to all entries after each ProposalApplied and
// whenever OrdersChanged reports true. A replica that loses the leadership drops
// its Leader.
//
// On an entry, the control goroutine owns one LeaseTable. It calls SetFloor,
// RemoveService and UpdateTarget as above, SetOrders with every wire.Orders, and
// Step every 50 ms. Ejected and Watched then return what core/route and
// core/health need. A target that is both granted and watched is in probation:
// it gets a few repeatable requests and nothing else. A target that Ejected no
// longer lists returns with slow start.
//
// A grant is a lease of 10 s that the entry counts from its arrival. The leader
// counts a target as ejected until every lease that it has sent for it has
// expired, including the bounded delay of messages, so that the union of the
// sets in force on all entries stays within the budget. A new leader does not
// know the leases of its predecessor and ejects nothing during that time. Each
// entry also checks the floor against the targets that it knows.
package eject
