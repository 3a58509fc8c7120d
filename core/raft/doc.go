// Package raft implements the Raft consensus algorithm as a state machine without
// I/O: election with pre-vote and check-quorum, replication with flow control,
// snapshots, read barriers, leadership transfer, learners, membership changes and
// the recovery of a replica that lost its disk.
//
// A Core has no goroutine, clock, file or socket. Its owner passes events to
// Step and carries out the returned actions in order. It acknowledges a Persist
// action with a Persisted event. The core holds back messages that depend on a
// Persist until then.
package raft
