// Package eject decides which targets are taken out of service, and keeps the
// healthy capacity of each service at its floor.
//
// The leader's side. The control goroutine of the leading control replica owns
// one Leader, created when it becomes leader. It calls Service and Drop with
// the service text, Target with every record of a target, Restore once per
// service with the replicated set of grants, Evidence with every wire.Evidence,
// and Step every 50 ms. Step returns the sets to propose to the replicated log.
// When a set has been applied, the leader calls Applied, and it sends Orders to
// all entries after each Applied and whenever Changed reports true. A replica
// that loses the leadership drops its Leader.
//
// The entry's side. The control goroutine of an entry owns one Keeper. It calls
// Service, Drop and Target as above, Orders with every wire.Orders, and Step
// every 50 ms; Out and Watched then give what core/route and core/health need.
// A target that is both granted and watched is in probation: it gets a few
// repeatable requests and nothing else. A target that Out no longer lists
// starts with slow start.
//
// Safety. A grant is a lease of 10 s counted by the entry from its arrival. The
// leader counts a target as ejected until every lease that it has ever sent
// has expired, including the bounded delay of messages, so that the union of
// the sets in force anywhere stays within the budget. A new leader does not know the
// leases of its predecessor and ejects nothing new for that time. The entry
// checks the floor again against the targets that it knows.
package eject
