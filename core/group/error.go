package group

import "fmt"

// NotLeaderError reports a call on a replica that is not the leader. The command
// was not and will not be applied.
type NotLeaderError struct {
	Leader uint64 // ID of the leader, zero if unknown
}

// Error names the leader.
func (e *NotLeaderError) Error() string {
	if e.Leader == 0 {
		return "group: no leader"
	}
	return fmt.Sprintf("group: replica %d leads", e.Leader)
}

// UnknownError reports that a command may or may not be applied.
type UnknownError struct {
	Err error // why the wait ended, nil if leadership was lost
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

// ShutdownError reports a call on a group that has stopped. The command was not
// and will not be applied.
type ShutdownError struct{}

// Error implements error.
func (*ShutdownError) Error() string { return "group: shut down" }

// SizeError reports a command that exceeds the maximum size in bytes.
type SizeError struct{ Size, Max int }

// Error gives the size and the limit.
func (e *SizeError) Error() string {
	return fmt.Sprintf("group: command of %d bytes exceeds %d", e.Size, e.Max)
}

// ChangeError reports a refused membership change or leadership transfer.
type ChangeError struct{ Reason string }

// Error gives the reason.
func (e *ChangeError) Error() string { return "group: " + e.Reason }
