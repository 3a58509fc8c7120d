package command

import (
	"context"
	"errors"
	"fmt"

	"github.com/galenalock/galenalock/core/spec"
)

// Exit codes of the program.
const (
	ExitDone     = 0
	ExitFailed   = 1 // a fault that no other code names
	ExitInvalid  = 2 // the arguments, the service text or another file
	ExitConflict = 3 // another change was made from the same base, or the identifier was used before
	ExitUnknown  = 4 // the change may have been accepted: resend
	ExitNoQuorum = 5 // not accepted: no majority, or no replica could be reached
	ExitDenied   = 6 // the token is missing or does not allow it
	ExitDiffers  = 7 // diff found differences
	ExitLagging  = 8 // accepted, but not in force everywhere in time
)

// InvalidError is an argument or a file that cannot be used.
type InvalidError struct{ Reason string }

// Error gives the reason.
func (e *InvalidError) Error() string { return e.Reason }

// UnknownError is a change whose outcome did not arrive.
type UnknownError struct{ Reason string }

// Error gives the reason.
func (e *UnknownError) Error() string { return "outcome unknown: " + e.Reason }

// UnreachableError is a request that was not carried out because no replica
// answered it.
type UnreachableError struct{ Reason string }

// Error gives the reason.
func (e *UnreachableError) Error() string { return "not carried out: " + e.Reason }

// DiffersError is the difference that diff has found and shown.
type DiffersError struct{}

// Error is shown by nobody.
func (*DiffersError) Error() string { return "texts differ" }

// LaggingError is a revision that was accepted and is not in force everywhere.
type LaggingError struct {
	Revision uint64
	Instance string // the slowest
}

// Error names the revision and the slowest instance.
func (e *LaggingError) Error() string {
	if e.Instance == "" {
		return fmt.Sprintf("accepted as revision %d; the status does not tell whether it is in force", e.Revision)
	}
	return fmt.Sprintf("accepted as revision %d, which is not in force at %s yet", e.Revision, e.Instance)
}

// exitCode returns the code for an error.
func exitCode(err error) int {
	var problem *ProblemError
	var invalid *InvalidError
	var faults spec.Errors
	var unknown *UnknownError
	var unreachable *UnreachableError
	var differs *DiffersError
	var lagging *LaggingError
	switch {
	case err == nil:
		return ExitDone
	case errors.As(err, &lagging):
		return ExitLagging
	case errors.As(err, &problem):
		return problem.exitCode()
	case errors.As(err, &invalid), errors.As(err, &faults):
		return ExitInvalid
	case errors.As(err, &unknown):
		return ExitUnknown
	case errors.As(err, &unreachable), errors.Is(err, context.DeadlineExceeded):
		return ExitNoQuorum
	case errors.As(err, &differs):
		return ExitDiffers
	}
	return ExitFailed
}

// ProblemError is an error that a replica answered.
type ProblemError struct {
	Status   int     `json:"status"`
	Title    string  `json:"title"`
	Reason   string  `json:"reason"`
	Detail   string  `json:"detail"`
	Request  string  `json:"request"`
	Run      string  `json:"run"`
	Revision uint64  `json:"revision"`
	Change   string  `json:"change"`
	Newest   uint64  `json:"newest"`
	Leader   uint64  `json:"leader"`
	Address  string  `json:"address"`
	Errors   []fault `json:"errors"`
}

type fault struct {
	Line   int    `json:"line"`
	Key    string `json:"key"`
	Reason string `json:"reason"`
}

// Error describes the problem in one line.
func (p *ProblemError) Error() string {
	s := p.Title
	if p.Detail != "" {
		s += ": " + p.Detail
	}
	if p.Request != "" {
		s += fmt.Sprintf(" (%s, request %s)", p.Reason, p.Request)
	}
	return s
}

func (p *ProblemError) exitCode() int {
	switch p.Reason {
	case "conflict", "reused", "refused":
		return ExitConflict
	case "unknown":
		return ExitUnknown
	case "noquorum", "notleader", "draining":
		return ExitNoQuorum
	case "notoken", "norole":
		return ExitDenied
	case "badtext", "badrequest", "toolarge", "norevision":
		return ExitInvalid
	}
	return ExitFailed
}
