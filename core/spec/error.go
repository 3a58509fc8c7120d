package spec

import (
	"fmt"
	"strings"
)

// Error is one error in a service text.
type Error struct {
	Line   int    // starts at 1; 0: the text as a whole
	Key    string // key path, such as service[0].floor
	Reason string
}

// Error returns the line, the key and the reason.
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

// Errors holds all errors in a service text, ordered by line.
type Errors []*Error

// Error returns the errors, one per line.
func (e Errors) Error() string {
	lines := make([]string, len(e))
	for i, fault := range e {
		lines[i] = fault.Error()
	}
	return strings.Join(lines, "\n")
}
