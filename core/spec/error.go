package spec

import (
	"fmt"
	"strings"
)

// Error is one fault of a service text.
type Error struct {
	Line   int    // counted from 1, 0: the text as a whole
	Key    string // such as service[0].floor
	Reason string
}

// Error names line, key and reason.
func (e *Error) Error() string {
	switch {
	case e.Line == 0:
		return e.Reason
	case e.Key == "":
		return fmt.Sprintf("line %d: %s", e.Line, e.Reason)
	default:
		return fmt.Sprintf("line %d: %s: %s", e.Line, e.Key, e.Reason)
	}
}

// Errors are all faults of a service text in the order of their lines.
type Errors []*Error

// Error joins the faults, one a line.
func (e Errors) Error() string {
	lines := make([]string, len(e))
	for i, one := range e {
		lines[i] = one.Error()
	}
	return strings.Join(lines, "\n")
}
