// Package raft is the pure core of a leader-based replicated log: election
// with pre-vote and check-quorum, replication with flow control, snapshots,
// read barriers, leadership transfer, learners, membership change and the
// recovery of a replica that lost its disk.
//
// A Core has no goroutine, clock, file or socket. Its owner passes events to
// Step and carries out the actions that Step returns, in order. A Persist
// action is acknowledged with a Persisted event; messages that depend on it
// leave the core only after that.
package raft
