package group

import "fmt"

// NotLeaderError refuses a call on a replica that does not lead. The command
// was not and will not be applied.
type NotLeaderError struct {
	Leader uint64 // where to send the call, zero if unknown
}

// Error names the leader.
func (e *NotLeaderError) Error() string {
	if e.Leader == 0 {
		return "group: no leader"
	}
	return fmt.Sprintf("group: replica %d leads", e.Leader)
}

// UnknownError ends a call whose command may or may not be applied.
type UnknownError struct {
	Err error // why the wait ended, nil if the leadership was lost
}

// Error describes why the wait ended.
func (e *UnknownError) Error() string {
	if e.Err == nil {
		return "group: outcome unknown: leadership lost"
	}
	return "group: outcome unknown: " + e.Err.Error()
}

// Unwrap returns why the wait ended.
func (e *UnknownError) Unwrap() error { return e.Err }

// ShutdownError refuses a call on a group that does not run any more. The
// command was not and will not be applied.
type ShutdownError struct{}

// Error describes the refusal.
func (*ShutdownError) Error() string { return "group: shut down" }

// SizeError refuses a command that is too large.
type SizeError struct{ Size, Max int }

// Error names both sizes.
func (e *SizeError) Error() string {
	return fmt.Sprintf("group: command of %d bytes exceeds %d", e.Size, e.Max)
}

// ChangeError refuses a membership change or a transfer.
type ChangeError struct{ Reason string }

// Error describes the refusal.
func (e *ChangeError) Error() string { return "group: " + e.Reason }
