package command

import (
	"context"
	"errors"
	"fmt"

	"github.com/galenalock/galenalock/core/spec"
)

// Exit codes of galenactl.
const (
	ExitDone     = 0
	ExitFailed   = 1 // any other failure
	ExitInvalid  = 2 // invalid arguments, service text or other file
	ExitConflict = 3 // another change has the same base, or the change identifier was used before
	ExitUnknown  = 4 // the change may have been accepted; resend it
	ExitNoQuorum = 5 // not accepted: no majority, or no replica could be reached
	ExitDenied   = 6 // the token is missing or lacks the permission
	ExitDiffers  = 7 // diff found differences
	ExitLagging  = 8 // accepted, but not in force everywhere in time
)

// InvalidError reports an invalid argument, or a file that is invalid or can't be
// accessed.
type InvalidError struct{ Reason string }

// Error returns the reason.
func (e *InvalidError) Error() string { return e.Reason }

// UnknownError reports a request that a replica may have executed, without a
// response that tells its outcome.
type UnknownError struct{ Reason string }

// Error returns the reason with a prefix.
func (e *UnknownError) Error() string { return "outcome unknown: " + e.Reason }

// UnreachableError reports a request that was not executed: no replica responded,
// or no majority confirmed the base revision.
type UnreachableError struct{ Reason string }

// Error returns the reason with a prefix.
func (e *UnreachableError) Error() string { return "not carried out: " + e.Reason }

// DiffersError reports that the diff command found differences, which it has
// printed already.
type DiffersError struct{}

// Error implements the error interface; Main doesn't print this message.
func (*DiffersError) Error() string { return "texts differ" }

// LaggingError reports a revision that was accepted but did not come into force
// everywhere in time.
type LaggingError struct {
	Revision uint64
	Instance string // the slowest; empty if unknown
}

// Error returns a message with the revision and the slowest instance.
func (e *LaggingError) Error() string {
	if e.Instance == "" {
		return fmt.Sprintf("accepted as revision %d; the status does not tell whether it is in force", e.Revision)
	}
	return fmt.Sprintf("accepted as revision %d, which is not in force at %s yet", e.Revision, e.Instance)
}

// exitCode maps an error to an exit code.
func exitCode(err error) int {
	var problem *ProblemError
	var invalidErr *InvalidError
	var textErrs spec.Errors
	var unknownErr *UnknownError
	var unreachableErr *UnreachableError
	var differsErr *DiffersError
	var laggingErr *LaggingError
	switch {
	case err == nil:
		return ExitDone
	case errors.As(err, &laggingErr):
		return ExitLagging
	case errors.As(err, &problem):
		return problem.exitCode()
	case errors.As(err, &invalidErr), errors.As(err, &textErrs):
		return ExitInvalid
	case errors.As(err, &unknownErr):
		return ExitUnknown
	case errors.As(err, &unreachableErr), errors.Is(err, context.DeadlineExceeded):
		return ExitNoQuorum
	case errors.As(err, &differsErr):
		return ExitDiffers
	}
	return ExitFailed
}

// ProblemError is the error document in a response of a replica.
type ProblemError struct {
	Status   int         `json:"status"`
	Title    string      `json:"title"`
	Reason   string      `json:"reason"`
	Detail   string      `json:"detail"`
	Request  string      `json:"request"`
	Run      string      `json:"run"`
	Revision uint64      `json:"revision"`
	Change   string      `json:"change"`
	Newest   uint64      `json:"newest"`
	Leader   uint64      `json:"leader"`
	Address  string      `json:"address"`
	Errors   []textError `json:"errors"`
}

type textError struct {
	Line   int    `json:"line"`
	Key    string `json:"key"`
	Reason string `json:"reason"`
}

// Error returns the title, detail and request identifier in one line.
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
