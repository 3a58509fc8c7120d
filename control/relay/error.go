package relay

import (
	"context"
	"fmt"
)

// UnknownError reports a command that may or may not have been applied.
type UnknownError struct{ Reason string }

// Error includes the reason.
func (e *UnknownError) Error() string { return "outcome unknown: " + e.Reason }

// NoQuorumError reports a command that was not applied, or a read that was not
// confirmed, because no leader with a majority could be reached in time.
type NoQuorumError struct{ Reason string }

// Error includes the reason.
func (e *NoQuorumError) Error() string { return "no quorum: " + e.Reason }

// deadlineError refuses a caller whose context has ended. The reason is the error of the
// last attempt if there is one.
func deadlineError(ctx context.Context, lastErr error) *NoQuorumError {
	if lastErr == nil {
		lastErr = ctx.Err()
	}
	return &NoQuorumError{Reason: lastErr.Error()}
}

// MalformedError reports a command that cannot be encoded or that the state machine
// rejected as invalid.
type MalformedError struct{ Reason string }

// Error includes the reason.
func (e *MalformedError) Error() string { return "malformed command: " + e.Reason }

// SizeError reports a command that is too large for the log. Its sizes are in
// bytes.
type SizeError struct{ Size, Max int }

// Error includes both sizes.
func (e *SizeError) Error() string {
	return fmt.Sprintf("command of %d bytes exceeds %d", e.Size, e.Max)
}

// StoppedError reports a command that was not applied because this replica is
// shutting down.
type StoppedError struct{}

// Error describes the failure.
func (*StoppedError) Error() string { return "the replica is shutting down" }

// notLeaderError reports that a replica is not the leader. The field leader is
// the number of the replica that is, or 0 if none is known.
type notLeaderError struct{ leader uint64 }

func (e *notLeaderError) Error() string { return fmt.Sprintf("replica %d leads", e.leader) }
