// Package agent owns the control state of an entry: the configuration in
// force, the instances and targets of the fleet, leases on ejected targets,
// and what the data path needs of them.
//
// One goroutine, Run, owns that state and drains one bounded queue of events.
// It publishes immutable snapshots; traffic goroutines read them and count
// into atomics.
package agent
