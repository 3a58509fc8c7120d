package relay

import "fmt"

// UnknownError is a command that may or may not be applied.
type UnknownError struct{ Reason string }

// Error gives the reason.
func (e *UnknownError) Error() string { return "outcome unknown: " + e.Reason }

// NoQuorumError is a command that was not applied, or a question that was not
// answered, because no leader with a majority could be reached in time.
type NoQuorumError struct{ Reason string }

// Error gives the reason.
func (e *NoQuorumError) Error() string { return "no quorum: " + e.Reason }

// MalformedError is a command that the state machine refuses.
type MalformedError struct{ Reason string }

// Error gives the reason.
func (e *MalformedError) Error() string { return "malformed command: " + e.Reason }

// SizeError is a command that is too large for the log.
type SizeError struct{ Size, Max int }

// Error names both sizes.
func (e *SizeError) Error() string {
	return fmt.Sprintf("command of %d bytes exceeds %d", e.Size, e.Max)
}

// StoppedError is a command that was not applied because this replica stops.
type StoppedError struct{}

// Error describes the refusal.
func (*StoppedError) Error() string { return "the replica is shutting down" }

// notLeaderError sends the caller to another replica.
type notLeaderError struct{ leader uint64 }

func (e *notLeaderError) Error() string { return fmt.Sprintf("replica %d leads", e.leader) }
