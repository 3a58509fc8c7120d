// Package agent manages the control state of an entry: the active
// configuration, the instances and targets of the fleet, the leases on ejected
// targets, and the snapshots that the data path reads.
//
// A single goroutine, Run, owns this state and processes events from one bounded
// queue. It publishes immutable snapshots, which traffic goroutines read without
// locks; they update counters with atomic operations.
package agent
